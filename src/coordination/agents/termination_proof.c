#include "coordination/agents/termination_proof.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/state.h"

static const char *const proof_texts[] = {
    [HR_PROOF_ABSENT_FROM_HEARTBEAT] = "its worker's heartbeat does not list it",
    [HR_PROOF_LATER_INCARNATION] = "its worker is in a later incarnation",
    [HR_PROOF_MACHINE_DELETED] = "the cloud deleted its machine",
    [HR_PROOF_LEASE_EXPIRED] = "its machine's lease has expired",
    [HR_PROOF_LEASE_EXPIRED_IN_DELETION] =
        "its machine is being returned, and the lease has expired",
};

const char *
hr_termination_proof_text (HrTerminationProof proof)
{
  return proof_texts[proof];
}

double
hr_lease_duration_s (const HrCore *core)
{
  return core->settings->lease_s * HR_LEASE_DRIFT_FACTOR + core->policy.lease_margin_s;
}

gboolean
hr_lease_has_expired (const HrCore *core, const HrMachine *machine)
{
  /* Until the worker has shown this leader's token, an earlier leader may have renewed its lease,
   * for up to hold_s after this leader's record was written. After that only this leader can. */
  double base = machine->agent.lease_renewed_at;
  if (machine->agent.fencing_token < core->leadership.term_token)
    base = MAX (base, core->leadership.term_began_at + core->policy.hold_s);
  return core->now > base + hr_lease_duration_s (core);
}

/* Returns whether no launch that this leader sent to the machine may still take effect. */
static gboolean
no_launch_outstanding (const HrMachine *machine)
{
  return machine->agent.direct_calls_in_flight == 0 &&
         machine->agent.unanswered_launch_token == 0 &&
         machine->agent.launch_answered_sequence == 0;
}

/* Returns whether the task is recorded on the machine in its current incarnation. */
static gboolean
is_recorded_here (const HrMachine *machine, const HrTask *task)
{
  return task->state == HR_TASK_BOUND && task->run->placement.machine == machine->index &&
         task->run->placement.incarnation == machine->agent.incarnation;
}

/* A direct launch whose answer was lost may reach the worker at any time, even after its job was
 * cancelled, while the worker is in this incarnation and has seen no newer token. While the store
 * is unavailable, no newer token can be written; otherwise one is requested
 * (HR_ABSENCE_TOKEN_NEEDED), but its write may fail repeatedly. The wait is therefore bounded: the
 * worker's lease has to end within `cancel_s` after a user was told of the cancellation, which was
 * after the last read of the store that did not show it. */
gboolean
hr_termination_cancelled_task_may_start (const HrCore *core, const HrMachine *machine)
{
  if (!machine->agent.unanswered_launch_token && !machine->agent.direct_calls_in_flight)
    return FALSE;
  gboolean no_newer_token =
      machine->agent.unanswered_launch_token && !hr_replica_is_current (&core->store);
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    const HrTask *task = &job->tasks[ref.task];
    if (job->state != HR_JOB_CANCELLED || task->state != HR_TASK_BOUND ||
        task->run->placement.incarnation != machine->agent.incarnation ||
        task->reported_state != HR_NOT_REPORTED)
      continue;
    if (no_newer_token ||
        core->now - job->cancellation.last_uncancelled_read_at > core->policy.hold_s)
      return TRUE;
  }
  return FALSE;
}

HrAbsenceVerdict
hr_termination_absence_verdict (const HrCore *core, const HrMachine *machine, const HrJob *job,
                                const HrTask *task, const HrHeartbeat *heartbeat)
{
  if (!is_recorded_here (machine, task))
    return HR_ABSENCE_NOT_EXPECTED;
  if (job->state == HR_JOB_QUEUED && !task->stop_wanted && !task->from_earlier_term &&
      !job->run.attempt_ending)
    return HR_ABSENCE_LAUNCH_PENDING;
  if (no_launch_outstanding (machine) && heartbeat->fencing_token >= core->leadership.fencing_token)
    return HR_ABSENCE_PROVEN;
  return machine->agent.unanswered_launch_token ? HR_ABSENCE_TOKEN_NEEDED : HR_ABSENCE_NOT_PROVEN;
}

/* Returns the index of the attempt in the machine's direct launches, or -1 if there is none. */
static int
find_direct_launch (const HrMachine *machine, guint32 job_index, guint32 task_index,
                    guint64 attempt)
{
  for (guint i = 0; i < machine->agent.direct_launches->len; i++) {
    const HrDirectLaunch *launch =
        &g_array_index (machine->agent.direct_launches, HrDirectLaunch, i);
    if (launch->job == job_index && launch->task == task_index && launch->attempt == attempt)
      return i;
  }
  return -1;
}

/* A copy of a direct launch may arrive minutes late and would restart a cleared attempt; it is void
 * once the worker has seen a newer token than that of the launch. Orders in the answer to a
 * heartbeat never arrive late. */
HrClearVerdict
hr_termination_clear_verdict (const HrCore *core, const HrMachine *machine, guint32 job_index,
                              guint32 task_index, guint64 attempt)
{
  if (!no_launch_outstanding (machine))
    return HR_CLEAR_LAUNCH_OUTSTANDING;
  if (machine->agent.fencing_token < core->leadership.term_token)
    return HR_CLEAR_TOKEN_NOT_SEEN;
  int found = find_direct_launch (machine, job_index, task_index, attempt);
  if (found >= 0 &&
      g_array_index (machine->agent.direct_launches, HrDirectLaunch, found).fencing_token >=
          machine->agent.fencing_token)
    return HR_CLEAR_LATE_COPY_POSSIBLE;
  return HR_CLEAR_ALLOWED;
}

void
hr_termination_track_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                    guint64 attempt, guint64 token)
{
  int found = find_direct_launch (machine, job_index, task_index, attempt);
  if (found >= 0) {
    g_array_index (machine->agent.direct_launches, HrDirectLaunch, found).fencing_token = token;
    return;
  }
  HrDirectLaunch launch = {job_index, task_index, attempt, token};
  g_array_append_val (machine->agent.direct_launches, launch);
}

void
hr_termination_untrack_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                      guint64 attempt)
{
  int found = find_direct_launch (machine, job_index, task_index, attempt);
  if (found >= 0)
    g_array_remove_index_fast (machine->agent.direct_launches, found);
}

void
hr_termination_end_incarnations (HrCore *core, HrMachine *machine, guint64 last_incarnation,
                                 HrTerminationProof proof)
{
  g_autoptr (GArray) tasks = g_array_copy (machine->tasks);
  for (guint i = 0; i < tasks->len; i++) {
    HrTaskRef ref = g_array_index (tasks, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = job->tasks ? &job->tasks[ref.task] : NULL;
    if (task && task->state == HR_TASK_BOUND && task->run->placement.machine == machine->index &&
        task->run->placement.incarnation <= last_incarnation)
      hr_task_terminated (core, job, ref.task, HR_EXIT_NONE, hr_termination_proof_text (proof));
  }
}
