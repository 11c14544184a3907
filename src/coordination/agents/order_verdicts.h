/* Which orders a worker gets for a task that is recorded on its machine. These functions change
 * nothing; orders.c acts on their verdicts. Leader only. Times: steady, in seconds. */
#pragma once
#include "coordination/state.h"

/* Whether a recorded task is launched on its machine. */
typedef enum {
  HR_LAUNCH_NOW,
  HR_LAUNCH_NODE_MAY_NOT,     /* this controller cannot read what others confirm */
  HR_LAUNCH_REPORTED_ALREADY, /* its worker has it */
  HR_LAUNCH_JOB_OVER,
  HR_LAUNCH_JOB_WAITS, /* for jobs that it awaits */
  HR_LAUNCH_STOP_WANTED,
  HR_LAUNCH_FROM_EARLIER_TERM, /* it may have ended and made place for others since */
  HR_LAUNCH_GANG_ENDING,
  HR_LAUNCH_GANG_INCOMPLETE, /* not all of its tasks are recorded */
  HR_LAUNCH_GANG_TOO_EARLY   /* others still fetch their image */
} HrLaunchVerdict;

/* Whether a stop is sent for a recorded task. */
typedef enum {
  HR_STOP_NOW,
  HR_STOP_WITHOUT_GRACE, /* its checkpoint takes far longer than it was given */
  HR_STOP_NOT_WANTED,
  HR_STOP_SENT_ALREADY, /* a direct call brought it a moment ago */
  HR_STOP_IS_SAVING     /* it is writing its checkpoint, for which it was given time */
} HrStopVerdict;

/* Why a worker is told to stop a task. */
typedef enum {
  HR_STOP_REASON_CANCELLED, /* its job is */
  HR_STOP_REASON_GANG_OVER, /* its gang's attempt ends */
  HR_STOP_REASON_WANTED,    /* it is to leave the machine */
  HR_STOP_REASON_NOT_RECORDED,
  HR_STOP_REASON_JOB_OVER /* its job is cancelled or done: a lease is renewed with this stop */
} HrStopReason;

/**
 * hr_launch_allowed_here:
 *
 * Returns: whether this controller may launch anything at present.
 */
gboolean hr_launch_allowed_here (const HrCore *core);

/**
 * hr_launch_verdict:
 * @allowed_here: hr_launch_allowed_here()
 * @task: a task of @job that is recorded on a machine, in its present incarnation
 *
 * Returns: whether the task is launched.
 */
HrLaunchVerdict hr_launch_verdict (const HrCore *core, gboolean allowed_here, const HrJob *job,
                                   const HrTask *task);

/**
 * hr_stop_verdict:
 * @task: a task that is recorded on a machine, in its present incarnation
 * @is_direct: by a direct call; else in the answer to a report
 *
 * Returns: whether a stop is sent, and how.
 */
HrStopVerdict hr_stop_verdict (const HrCore *core, const HrTask *task, gboolean is_direct);

/**
 * hr_stop_reason:
 *
 * Returns: why a recorded task of the job is stopped.
 */
HrStopReason hr_stop_reason (const HrJob *job);

/**
 * hr_stop_reason_name:
 *
 * Returns: the reason as the log has it.
 */
const char *hr_stop_reason_name (HrStopReason reason);
