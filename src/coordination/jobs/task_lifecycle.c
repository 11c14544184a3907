/* What happens to a task: assigned, recorded, seen, gone, done. */
#include "coordination/jobs/task_lifecycle.h"
#include "bookkeeping/record_writer.h"
#include "coordination/jobs/arrivals.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/state.h"
#include <math.h>
#include <string.h>

/* A class's correction is the mean of about this many samples' effect at the most. */
#define CORRECTION_WINDOW 40

static HrMachine *
machine_of (HrCore *core, const HrTask *task)
{
  return core->store.tables.machines->pdata[task->placement.machine];
}

/* Its orders go out with the next step. */
static void
mark_urgent (HrCore *core, HrMachine *machine)
{
  machine->agent.has_urgent_orders = core->agents.has_urgent_orders = TRUE;
}

static void
note_freed (HrCore *core, HrMachine *machine)
{
  if (machine->tasks->len == 0)
    machine->idle_since = core->now;
  core->scheduling.plan_is_stale = TRUE;
}

guint32
hr_job_next_attempt (const HrJob *job)
{
  guint32 attempt = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    attempt = MAX (attempt, MAX (job->tasks[i].placement.attempt, job->tasks[i].recorded.attempt));
  return attempt + 1;
}

void
hr_task_assign (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine, guint32 attempt)
{
  HrTask *task = &job->tasks[task_index];
  HrTaskRef ref = {job->index, task_index};
  task->placement.machine = machine->index;
  task->placement.incarnation = machine->agent.incarnation;
  task->placement.attempt = attempt;
  task->state = HR_TASK_ASSIGNING;
  task->reported_state = HR_NOT_REPORTED;
  task->stop_wanted = task->from_earlier_term = 0;
  task->stop_sent_at = task->running_since = 0;
  task->bound_since = core->now;
  task->expected_fetch_s = hr_estimate_fetch_time (core, job, machine);
  job->run.n_live++;
  hr_machine_allocate (machine, &job->spec, ref);
  hr_record_writer_mark (&core->store, job, task_index);
  g_debug ("%s/%u attempt %u goes to %s", job->id, task_index, attempt, machine->name);
}

/* Takes the task off its machine's tasks. */
static void
release_machine (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  HrMachine *machine = machine_of (core, task);
  HrTaskRef ref = {job->index, task_index};
  hr_machine_release (machine, &job->spec, ref);
  job->run.n_live--;
  task->stop_wanted = 0;
  note_freed (core, machine);
  if (job->run.n_live)
    return;
  job->run.attempt_ending = FALSE;
  job->run.gang_incomplete_since = 0;
  if (job->state != HR_JOB_QUEUED)
    hr_record_writer_mark (&core->store, job, 0); /* all are gone: the record can shrink */
}

void
hr_task_unassign (HrCore *core, HrJob *job, guint32 task_index)
{
  job->tasks[task_index].state = HR_TASK_IDLE;
  release_machine (core, job, task_index);
}

gboolean
hr_gang_ready (const HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state != HR_TASK_BOUND ||
        job->tasks[i].placement.attempt != job->tasks[0].placement.attempt)
      return FALSE;
  return TRUE;
}

void
hr_task_bound (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  HrMachine *machine = machine_of (core, task);
  task->state = HR_TASK_BOUND;
  if (machine->state != HR_MACHINE_UP ||
      machine->agent.incarnation != task->placement.incarnation) {
    /* The machine went, or began a new incarnation, while we wrote; nothing was sent. */
    hr_task_gone (core, job, task_index, HR_EXIT_NONE, "its machine changed before the launch");
    return;
  }
  if (job->spec.shape == HR_GANG && job->n_done) {
    /* A replacement for a gang that turned out to be done while we wrote; nothing was sent. */
    hr_task_done (core, job, task_index);
    return;
  }
  mark_urgent (core, machine);
  if (job->spec.shape == HR_GANG && hr_gang_ready (job)) {
    job->run.gang_ready_at = core->now;
    for (guint32 i = 0; i < job->n_tasks; i++)
      mark_urgent (core, machine_of (core, &job->tasks[i]));
  }
}

/* A task that has its image at once would wait for those that fetch it, and give up after
 * gang_wait_s; with it they would lose their fetches, attempt after attempt. So it is
 * launched later: half of that wait before the longest fetch should end. */
gboolean
hr_gang_delays_launch (const HrCore *core, const HrJob *job, const HrTask *task)
{
  double longest = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].reported_state == HR_NOT_REPORTED ||
        job->tasks[i].reported_state == HR_REPORTED_FETCHING)
      longest = MAX (longest, job->tasks[i].expected_fetch_s);
  return core->now < job->run.gang_ready_at + longest - task->expected_fetch_s -
                         core->settings->gang_wait_s / 2;
}

void
hr_gang_end_attempt (HrCore *core, HrJob *job, double grace)
{
  job->run.attempt_ending = TRUE;
  job->run.gang_incomplete_since = 0;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    HrTask *task = &job->tasks[i];
    if (task->state == HR_TASK_ASSIGNING && !task->write_in_flight)
      hr_task_unassign (core, job, i);
    else if (task->state == HR_TASK_BOUND && !task->stop_wanted)
      hr_task_stop (core, job, i, grace);
  }
}

static void
note_failure (HrCore *core, HrJob *job, HrMachine *machine, HrExitCause why)
{
  job->run.last_failure = why;
  job->run.failed_machine = machine->index;
  job->run.failures++;
  /* Mostly the machine is at fault, so the first try elsewhere is at once; a job
   * that keeps failing waits longer and longer. */
  job->run.retry_pause_s =
      job->run.failures < 2 ? 0
                            : MIN (core->policy.retry_most_s,
                                   core->policy.retry_s * pow (2, MIN (job->run.failures - 2, 20)));
  job->run.retry_at = core->now + job->run.retry_pause_s;
  job->run.failed_machine_avoided_until = core->now + MAX (60, 2 * job->run.retry_pause_s);
  if (machine->last_failed_job != job->index) {
    machine->last_failed_job = job->index;
    machine->failures++;
  }
  g_info ("%s failed on %s (%s), %u in a row; next try in %.0f s", job->id, machine->name,
          hr_exit_name (why), job->run.failures, job->run.retry_pause_s);
  if (machine->failures >= core->policy.error_limit && !machine->is_draining) {
    g_message ("%s fails task after task; it is drained and returned", machine->name);
    machine->is_draining = TRUE;
  }
}

/* Has the attempt begun, as far as its workers have said? */
static gboolean
gang_has_begun (const HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == HR_TASK_BOUND &&
        (job->tasks[i].running_since || job->tasks[i].from_earlier_term ||
         job->tasks[i].stop_wanted))
      return TRUE;
  return FALSE;
}

void
hr_task_gone (HrCore *core, HrJob *job, guint32 task_index, HrExitCause why, const char *proof)
{
  HrTask *task = &job->tasks[task_index];
  HrMachine *machine = machine_of (core, task);
  if (task->state != HR_TASK_BOUND)
    return;
  /* The others of a gang that has not begun keep waiting; a replacement with the same
   * attempt number completes it. A task that failed would most likely fail again. */
  gboolean replace = (why == HR_EXIT_NONE || why == HR_EXIT_FULL) && !gang_has_begun (job);
  g_debug ("%s/%u attempt %u is off %s: %s", job->id, task_index, task->placement.attempt,
           machine->name, proof);
  task->state = HR_TASK_IDLE;
  if (why == HR_EXIT_ERROR || why == HR_EXIT_UNKNOWN)
    note_failure (core, job, machine, why);
  else if (why == HR_EXIT_FULL || why == HR_EXIT_IN_USE) {
    machine->full_until = core->now + 3;
    job->run.last_failure = why;
  }
  gboolean gang = job->spec.shape == HR_GANG && job->run.n_live > 1;
  if (job->spec.shape == HR_SERVICE)
    core->scheduling.planned_at = 0; /* a replica is down: plan at once */
  release_machine (core, job, task_index);
  if (!gang || job->run.attempt_ending || job->state != HR_JOB_QUEUED)
    return;
  if (!replace)
    hr_gang_end_attempt (core, job, 0);
  else if (!job->run.gang_incomplete_since)
    job->run.gang_incomplete_since = core->now;
}

static void
learn_run_time (HrCore *core, HrJob *job, HrTask *task, HrMachine *machine)
{
  HrClassStats *stats = hr_class_stats (core, job->spec.job_class);
  double ran = core->now - task->running_since;
  if (!task->running_since || job->spec.estimate_s <= 0 || job->spec.shape == HR_SERVICE)
    return;
  double ratio = CLAMP (ran / job->spec.estimate_s, core->policy.correction_least,
                        core->policy.correction_most);
  /* One task counts little: jobs differ far more than a class drifts. */
  stats->run_time_samples++;
  double k = 1.0 / MIN (2 * stats->run_time_samples + 1, CORRECTION_WINDOW);
  stats->run_time_correction += k * (ratio - stats->run_time_correction);
}

void
hr_gang_done (HrCore *core, HrJob *job, guint32 attempt, gboolean any)
{
  for (guint32 i = 0; i < job->n_tasks; i++) {
    HrTask *task = &job->tasks[i];
    if (task->placement.attempt != attempt && !any)
      continue;
    if (task->state == HR_TASK_ASSIGNING && !task->write_in_flight)
      hr_task_unassign (core, job, i);
    if (task->state == HR_TASK_BOUND)
      hr_task_done (core, job, i);
    else if (task->state == HR_TASK_IDLE) {
      task->state = HR_TASK_DONE;
      job->n_done++;
      hr_record_writer_mark (&core->store, job, i);
    }
  }
}

void
hr_task_done (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  if (task->state != HR_TASK_BOUND)
    return;
  HrMachine *machine = machine_of (core, task);
  learn_run_time (core, job, task, machine);
  machine->failures = 0;
  machine->last_failed_job = HR_NONE;
  job->run.failures = 0;
  g_debug ("%s/%u ends on %s", job->id, task_index, machine->name);
  task->state = HR_TASK_DONE;
  job->n_done++;
  release_machine (core, job, task_index);
  hr_record_writer_mark (&core->store, job, task_index);
  if (job->spec.shape == HR_GANG)
    hr_gang_done (core, job, task->placement.attempt, FALSE);
}

void
hr_task_stop (HrCore *core, HrJob *job, guint32 task_index, double grace)
{
  HrTask *task = &job->tasks[task_index];
  if (task->state != HR_TASK_BOUND || (task->stop_wanted && task->stop_grace_s <= grace))
    return;
  task->stop_wanted = 1;
  task->stop_grace_s = grace;
  task->stop_sent_at = 0;
  mark_urgent (core, machine_of (core, task));
}

guint
hr_job_bound_tasks (const HrJob *job)
{
  guint n = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    n += job->tasks[i].state == HR_TASK_BOUND;
  return n;
}

void
hr_job_cancelled (HrCore *core, HrJob *job)
{
  g_info ("%s is cancelled", job->id);
  core->metrics.counters.withdrawals++;
  if (!job->cancellation.unknown_until)
    job->cancellation.unknown_until =
        core->store.replica.confirmed_at; /* of the last reading that did not show it */
  g_info ("cancelled: job=%s revision=%" G_GUINT64_FORMAT " reading_age=%.2f bound=%u", job->id,
          core->store.replica.applied_revision, core->now - core->store.replica.confirmed_at,
          hr_job_bound_tasks (job));
  for (guint32 i = 0; i < job->n_tasks; i++) {
    HrTask *task = &job->tasks[i];
    if (task->state == HR_TASK_ASSIGNING && !task->write_in_flight)
      hr_task_unassign (core, job, i);
    else if (task->state == HR_TASK_BOUND)
      hr_task_stop (core, job, i, 0);
  }
  if (!job->run.n_live)
    hr_record_writer_mark (&core->store, job, 0);
}
