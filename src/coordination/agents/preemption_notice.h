/* A worker's report may say that the cloud takes its machine soon. The machine is drained then, and
 * its tasks end as suits each of them in the time that is left. Leader only. */
#pragma once
#include "coordination/state.h"

/* What becomes of a task whose machine is about to be taken. */
typedef enum {
  HR_NOTICE_LEAVE,      /* it ends in time, or is being stopped already */
  HR_NOTICE_END_GANG,   /* the attempt of its whole gang ends */
  HR_NOTICE_CHECKPOINT, /* stopped with time for a checkpoint */
  HR_NOTICE_STOP        /* stopped at once, to start elsewhere */
} HrNoticeVerdict;

/**
 * hr_preemption_notice_verdict:
 * @notice_s: seconds until the machine is taken
 *
 * Returns: what becomes of the task, which is on @machine.
 */
HrNoticeVerdict hr_preemption_notice_verdict (HrCore *core, const HrJob *job, const HrTask *task,
                                              const HrMachine *machine, double notice_s);

/**
 * hr_preemption_notice_take:
 * @report: a current report of the machine
 *
 * Acts on the notice in the report; does nothing where it has none.
 */
void hr_preemption_notice_take (HrCore *core, HrMachine *machine, const HrHeartbeat *report);
