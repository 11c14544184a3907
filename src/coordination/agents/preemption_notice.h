/* Handles the notice in a worker's heartbeat that the cloud will soon preempt its machine: the
 * machine is drained, and each of its tasks ends in the way that suits it in the remaining time.
 * Leader only. */
#pragma once
#include "coordination/state.h"

/* What to do with a task whose machine is about to be preempted. */
typedef enum {
  HR_NOTICE_NO_ACTION,  /* it ends in time, or is already being stopped */
  HR_NOTICE_END_GANG,   /* end the attempt of its whole gang */
  HR_NOTICE_CHECKPOINT, /* stop it with time for a checkpoint */
  HR_NOTICE_STOP        /* stop it at once, to restart it elsewhere */
} HrNoticeVerdict;

/**
 * hr_preemption_notice_verdict:
 * @machine: the machine that @task is on
 * @notice_s: seconds until the machine is preempted
 *
 * Returns: what to do with the task.
 */
HrNoticeVerdict hr_preemption_notice_verdict (HrCore *core, const HrJob *job, const HrTask *task,
                                              const HrMachine *machine, double notice_s);

/**
 * hr_preemption_notice_handle:
 * @heartbeat: a current heartbeat of the machine
 *
 * Acts on the preemption notice in the heartbeat, if it contains one.
 */
void hr_preemption_notice_handle (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat);
