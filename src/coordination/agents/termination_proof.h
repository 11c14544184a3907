/* Proofs that a task runs nowhere, and what may be concluded without one.
 *
 * A recorded task is placed anew only after one of: its worker showed its exit; its worker's
 * current report lacks it, with no launch of ours that may still take effect; a later incarnation
 * of the worker; the cloud's 200 to the machine's deletion; a lease that has surely expired. See
 * docs/design.md, "Proof that a task is not on a machine".
 *
 * The verdicts change nothing; the callers act on them. Leader only. Times: steady, in seconds. */
#pragma once
#include "coordination/state.h"

/* Why a task that was recorded on a machine surely runs there no more. An exit that the worker
 * showed is one more proof; it goes by its HrExitCause. */
typedef enum {
  HR_PROOF_ABSENT_FROM_REPORT,
  HR_PROOF_LATER_INCARNATION,
  HR_PROOF_MACHINE_DELETED,
  HR_PROOF_LEASE_EXPIRED,
  HR_PROOF_LEASE_EXPIRED_IN_DELETION
} HrTerminationProof;

/* What follows where a current report lacks a task. */
typedef enum {
  HR_ABSENCE_NOT_EXPECTED, /* no record has the task in this incarnation of the machine */
  HR_ABSENCE_TO_LAUNCH,    /* it is launched, or launched again, where it is recorded */
  HR_ABSENCE_PROVEN,
  HR_ABSENCE_TOKEN_NEEDED, /* a direct launch got no answer: only a newer token makes it void */
  HR_ABSENCE_NOT_PROVEN    /* an order may still take effect; a later report will tell */
} HrAbsenceVerdict;

/* Whether a worker may forget an attempt that has ended. */
typedef enum {
  HR_CLEAR_ALLOWED,
  HR_CLEAR_ORDERS_UNSETTLED, /* a launch of ours may still take effect */
  HR_CLEAR_TOKEN_NOT_SEEN,   /* an earlier leader's launch may still take effect */
  HR_CLEAR_COPY_MAY_COME     /* a late copy of its direct launch would start it again */
} HrClearVerdict;

/**
 * hr_termination_proof_text:
 *
 * Returns: the words for the proof in the log.
 */
const char *hr_termination_proof_text (HrTerminationProof proof);

/**
 * hr_lease_duration_s:
 *
 * Returns: a lease and its margin, the longest that a worker may keep tasks after an answer.
 */
double hr_lease_duration_s (const HrCore *core);

/**
 * hr_lease_has_expired:
 *
 * Returns: whether the lease of the machine's worker is surely over, whichever leader renewed it.
 */
gboolean hr_lease_has_expired (const HrCore *core, const HrMachine *machine);

/**
 * hr_termination_cancelled_may_start:
 *
 * Returns: whether a launch that is still on its way may start a task of a cancelled job on the
 * machine. Its worker's lease has to run out then.
 */
gboolean hr_termination_cancelled_may_start (const HrCore *core, const HrMachine *machine);

/**
 * hr_termination_absence:
 * @job: the job of a task that @machine was recorded to have
 * @report: a current report of the machine, which does not list the task
 *
 * Returns: what follows for the task.
 */
HrAbsenceVerdict hr_termination_absence (const HrCore *core, const HrMachine *machine,
                                         const HrJob *job, const HrTask *task,
                                         const HrHeartbeat *report);

/**
 * hr_termination_may_clear:
 * @job_index: HR_NONE: no job that is known
 *
 * Returns: whether the worker may forget the attempt, which it has shown as ended.
 */
HrClearVerdict hr_termination_may_clear (const HrCore *core, const HrMachine *machine,
                                         guint32 job_index, guint32 task_index, guint32 attempt);

/**
 * hr_termination_note_direct_launch:
 * @token: of the direct call that launches the attempt
 *
 * Notes that copies of the call may come late.
 */
void hr_termination_note_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                        guint32 attempt, guint64 token);

/**
 * hr_termination_forget_direct_launch:
 *
 * Drops the note of a direct launch, if there is one: the attempt is about to be cleared.
 */
void hr_termination_forget_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                          guint32 attempt);

/**
 * hr_termination_incarnations_over:
 * @upto: the last incarnation that is over; G_MAXUINT32: all
 *
 * Takes every task of these incarnations off the machine.
 */
void hr_termination_incarnations_over (HrCore *core, HrMachine *machine, guint32 upto,
                                       HrTerminationProof proof);
