/* Decides which orders a worker gets for a task that is recorded on its machine. These functions
 * change nothing; orders.c acts on their verdicts. Leader only. Times are monotonic, in seconds. */
#pragma once
#include "coordination/state.h"

/* Whether a recorded task is launched on its machine. */
typedef enum {
  HR_LAUNCH_NOW,
  HR_LAUNCH_STORE_NOT_READABLE,   /* cancellations by other controllers cannot be read */
  HR_LAUNCH_REPORTED_ALREADY,     /* the worker already reports it */
  HR_LAUNCH_JOB_FINAL,            /* its job is cancelled or done */
  HR_LAUNCH_DEPENDENCIES_PENDING, /* jobs that its job awaits are not done */
  HR_LAUNCH_STOP_WANTED,          /* a stop of the task is requested */
  HR_LAUNCH_FROM_EARLIER_TERM,    /* an earlier leader placed it, and it may have exited since */
  HR_LAUNCH_GANG_ENDING,          /* the attempt of its gang is ending */
  HR_LAUNCH_GANG_INCOMPLETE,      /* not all tasks of the gang are recorded */
  HR_LAUNCH_GANG_TOO_EARLY        /* other tasks of the gang still fetch their image */
} HrLaunchVerdict;

/* Whether a stop is sent for a recorded task. */
typedef enum {
  HR_STOP_NOW,
  HR_STOP_WITHOUT_GRACE,         /* its checkpoint takes far longer than the grace period */
  HR_STOP_NOT_WANTED,            /* no stop of the task is requested */
  HR_STOP_SENT_ALREADY,          /* a stop was sent a moment ago */
  HR_STOP_CHECKPOINT_IN_PROGRESS /* it is writing its checkpoint within the grace period */
} HrStopVerdict;

/* Why a worker is ordered to stop a task. */
typedef enum {
  HR_STOP_REASON_CANCELLED,    /* its job is cancelled */
  HR_STOP_REASON_GANG_ENDING,  /* the attempt of its gang is ending */
  HR_STOP_REASON_WANTED,       /* its stop was requested otherwise, for example by a preemption */
  HR_STOP_REASON_NOT_RECORDED, /* no record has it on the machine */
  HR_STOP_REASON_JOB_FINAL     /* its job is cancelled or done; sent with a lease renewal */
} HrStopReason;

/**
 * hr_launch_allowed_here:
 *
 * Returns: whether this controller may launch tasks now.
 */
gboolean hr_launch_allowed_here (const HrCore *core);

/**
 * hr_launch_verdict:
 * @allowed_here: the result of hr_launch_allowed_here()
 * @task: a task of @job that is recorded on a machine in its current incarnation
 *
 * Returns: whether to launch the task, or why not.
 */
HrLaunchVerdict hr_launch_verdict (const HrCore *core, gboolean allowed_here, const HrJob *job,
                                   const HrTask *task);

/**
 * hr_stop_verdict:
 * @task: a task that is recorded on a machine in its current incarnation
 * @is_direct: %TRUE for a direct call, %FALSE for the answer to a heartbeat
 *
 * Returns: whether to send a stop and with which grace period, or why not.
 */
HrStopVerdict hr_stop_verdict (const HrCore *core, const HrTask *task, gboolean is_direct);

/**
 * hr_stop_reason:
 *
 * Returns: the reason for stopping a recorded task of the job.
 */
HrStopReason hr_stop_reason (const HrJob *job);

/**
 * hr_stop_reason_name:
 *
 * Returns: the name of the reason in the log.
 */
const char *hr_stop_reason_name (HrStopReason reason);
