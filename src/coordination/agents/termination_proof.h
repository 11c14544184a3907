/* Proofs that a task does not run on a machine, and the decisions that depend on them.
 *
 * A recorded task is placed again only after one of these proofs: its worker reported its exit; a
 * current heartbeat of its worker does not list it, and no launch that this leader sent may still
 * take effect; its worker started a later incarnation; the cloud answered 200 to the machine's
 * deletion; the worker's lease has certainly expired. See docs/design.md, "Proof that a task is not
 * on a machine".
 *
 * The functions that return verdicts change nothing; their callers act on them. Leader only. Times
 * are monotonic, in seconds. */
#pragma once
#include "coordination/state.h"

/* The proof that a task recorded on a machine no longer runs there. A reported exit is a proof too;
 * it is represented by its HrExitCause. */
typedef enum {
  HR_PROOF_ABSENT_FROM_HEARTBEAT,
  HR_PROOF_LATER_INCARNATION,        /* its worker started a later incarnation */
  HR_PROOF_MACHINE_DELETED,          /* the cloud confirmed the deletion of the machine */
  HR_PROOF_LEASE_EXPIRED,            /* the lease of a silent worker expired */
  HR_PROOF_LEASE_EXPIRED_IN_DELETION /* the lease expired while the machine was being deleted */
} HrTerminationProof;

/* Conclusion from a current heartbeat that does not list a task. */
typedef enum {
  HR_ABSENCE_NOT_EXPECTED,   /* the task is not recorded in this incarnation of the machine */
  HR_ABSENCE_LAUNCH_PENDING, /* the task is still to be launched, or launched again, there */
  HR_ABSENCE_PROVEN,         /* the task does not run on the machine */
  HR_ABSENCE_TOKEN_NEEDED,   /* a direct launch got no answer: only a newer token voids it */
  HR_ABSENCE_NOT_PROVEN      /* an order may still take effect; a later heartbeat decides */
} HrAbsenceVerdict;

/* Whether a worker may be told to clear (forget) an attempt that has ended. */
typedef enum {
  HR_CLEAR_ALLOWED,
  HR_CLEAR_LAUNCH_OUTSTANDING, /* a launch that this leader sent may still take effect */
  HR_CLEAR_TOKEN_NOT_SEEN,     /* a launch by an earlier leader may still take effect */
  HR_CLEAR_LATE_COPY_POSSIBLE  /* a late copy of its direct launch would restart it */
} HrClearVerdict;

/**
 * hr_termination_proof_text:
 *
 * Returns: the description of the proof for the log.
 */
const char *hr_termination_proof_text (HrTerminationProof proof);

/**
 * hr_lease_duration_s:
 *
 * Returns: the longest time that a worker may keep tasks after an answer, in seconds: the lease
 * with the clock drift and the margin.
 */
double hr_lease_duration_s (const HrCore *core);

/**
 * hr_lease_has_expired:
 *
 * Returns: whether the lease of the machine's worker has certainly expired, whichever leader
 * renewed it.
 */
gboolean hr_lease_has_expired (const HrCore *core, const HrMachine *machine);

/**
 * hr_termination_cancelled_task_may_start:
 *
 * Returns: whether a direct launch without an answer may still start a task of a cancelled job on
 * the machine. If so, the worker's lease must not be renewed.
 */
gboolean hr_termination_cancelled_task_may_start (const HrCore *core, const HrMachine *machine);

/**
 * hr_termination_absence_verdict:
 * @job: the job of @task
 * @task: a task that was recorded on @machine
 * @heartbeat: a current heartbeat of the machine, which does not list the task
 *
 * Returns: what the absence means for the task.
 */
HrAbsenceVerdict hr_termination_absence_verdict (const HrCore *core, const HrMachine *machine,
                                                 const HrJob *job, const HrTask *task,
                                                 const HrHeartbeat *heartbeat);

/**
 * hr_termination_clear_verdict:
 * @job_index: HR_NONE if the job is unknown
 *
 * Returns: whether the worker may forget the attempt, which it has reported as ended.
 */
HrClearVerdict hr_termination_clear_verdict (const HrCore *core, const HrMachine *machine,
                                             guint32 job_index, guint32 task_index,
                                             guint64 attempt);

/**
 * hr_termination_track_direct_launch:
 * @token: the fencing token of the direct call that launches the attempt
 *
 * Records the launch, because copies of the call may reach the worker late.
 */
void hr_termination_track_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                         guint64 attempt, guint64 token);

/**
 * hr_termination_untrack_direct_launch:
 *
 * Removes the record of a direct launch, if there is one. Called when the attempt is about to be
 * cleared.
 */
void hr_termination_untrack_direct_launch (HrMachine *machine, guint32 job_index,
                                           guint32 task_index, guint64 attempt);

/**
 * hr_termination_end_incarnations:
 * @last_incarnation: the last incarnation that has ended; G_MAXUINT32 for all
 * @proof: why no task of these incarnations still runs
 *
 * Removes every task of the incarnations up to @last_incarnation from the machine.
 */
void hr_termination_end_incarnations (HrCore *core, HrMachine *machine, guint64 last_incarnation,
                                      HrTerminationProof proof);
