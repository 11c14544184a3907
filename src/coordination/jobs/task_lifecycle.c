/* The state transitions of a task; see the table in the header. */
#include "coordination/jobs/task_lifecycle.h"
#include "bookkeeping/record_writer.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_failures.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/state.h"

static HrMachine *
machine_of (HrCore *core, const HrTask *task)
{
  return core->store.tables.machines->pdata[task->run->placement.machine];
}

/* Lets the machine's orders be sent in the next step, without waiting for its heartbeat. */
static void
mark_urgent (HrCore *core, HrMachine *machine)
{
  machine->agent.has_urgent_orders = core->agents.has_urgent_orders = TRUE;
}

static void
on_capacity_freed (HrCore *core, HrMachine *machine)
{
  if (machine->tasks->len == 0)
    machine->idle_since = core->now;
  core->scheduling.plan_is_stale = TRUE;
}

/* Releases the capacity that the task holds on its machine. */
static void
release_capacity (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  HrMachine *machine = machine_of (core, task);
  HrTaskRef ref = {job->index, task_index};
  hr_machine_release (machine, &job->spec, ref);
  job->run.n_live--;
  task->stop_wanted = 0;
  on_capacity_freed (core, machine);
  if (job->run.n_live)
    return;
  job->run.attempt_ending = FALSE;
  job->run.gang_incomplete_since = 0;
  if (job->state != HR_JOB_QUEUED)
    hr_record_writer_mark (&core->store, job, 0); /* no task is live: the record can be compacted */
}

/* ---- assignment ---- */

void
hr_task_assign (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine, guint32 attempt)
{
  HrTask *task = &job->tasks[task_index];
  HrTaskRef ref = {job->index, task_index};
  HrTaskRun *run = hr_task_edit_run (task);
  run->placement = (HrPlacement){machine->agent.incarnation, machine->index, attempt};
  run->stop_sent_at = run->running_since = 0;
  run->bound_since = core->now;
  run->expected_fetch_s = hr_estimate_fetch_time (core, job, machine);
  task->state = HR_TASK_ASSIGNING;
  task->reported_state = HR_NOT_REPORTED;
  task->stop_wanted = task->from_earlier_term = 0;
  job->run.n_live++;
  hr_machine_allocate (machine, &job->spec, ref);
  hr_record_writer_mark (&core->store, job, task_index);
  g_debug ("task %s/%u: attempt %u is assigned to machine %s", job->id, task_index, attempt,
           machine->name);
}

void
hr_task_unassign (HrCore *core, HrJob *job, guint32 task_index)
{
  job->tasks[task_index].state = HR_TASK_IDLE;
  release_capacity (core, job, task_index);
}

typedef enum {
  RECORDED_LAUNCH,         /* launch the task */
  RECORDED_MACHINE_LOST,   /* during the write the machine was lost or began a new incarnation */
  RECORDED_GANG_DONE_SINCE /* during the write the gang completed without this replacement */
} RecordedVerdict;

/* Decides on a task whose assignment was just recorded; no order for it was sent yet. */
static RecordedVerdict
decide_after_recording (const HrJob *job, const HrTask *task, const HrMachine *machine)
{
  if (machine->state != HR_MACHINE_UP ||
      machine->agent.incarnation != task->run->placement.incarnation)
    return RECORDED_MACHINE_LOST;
  if (job->spec.shape == HR_GANG && job->n_done)
    return RECORDED_GANG_DONE_SINCE;
  return RECORDED_LAUNCH;
}

/* Requests the launch of a bound task. For a gang, the last assignment that is recorded releases
 * the launch of all its tasks. */
static void
order_launch (HrCore *core, HrJob *job, HrMachine *machine)
{
  mark_urgent (core, machine);
  if (job->spec.shape != HR_GANG || !hr_gang_ready (job))
    return;
  job->run.gang_ready_at = core->now;
  for (guint32 i = 0; i < job->n_tasks; i++)
    mark_urgent (core, machine_of (core, &job->tasks[i]));
}

void
hr_task_bound (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  HrMachine *machine = machine_of (core, task);
  task->state = HR_TASK_BOUND;
  switch (decide_after_recording (job, task, machine)) {
  case RECORDED_LAUNCH:
    order_launch (core, job, machine);
    break;
  case RECORDED_MACHINE_LOST:
    hr_task_terminated (core, job, task_index, HR_EXIT_NONE,
                        "its machine was lost or its worker restarted before the launch");
    break;
  case RECORDED_GANG_DONE_SINCE:
    hr_task_done (core, job, task_index);
    break;
  }
}

/* ---- termination and completion ---- */

void
hr_task_terminated (HrCore *core, HrJob *job, guint32 task_index, HrExitCause cause,
                    const char *proof)
{
  HrTask *task = &job->tasks[task_index];
  if (task->state != HR_TASK_BOUND)
    return;
  HrMachine *machine = machine_of (core, task);
  HrGangLoss loss = hr_gang_decide_loss (job, cause);
  g_debug ("task %s/%u: attempt %u is released from machine %s: %s", job->id, task_index,
           task->run->placement.attempt, machine->name, proof);
  task->state = HR_TASK_IDLE;
  hr_task_failures_note_exit (core, job, machine, cause);
  if (job->spec.shape == HR_SERVICE)
    core->scheduling.planned_at = 0; /* a replica is down: plan immediately */
  release_capacity (core, job, task_index);
  if (loss == HR_GANG_LOSS_END_ATTEMPT)
    hr_gang_end_attempt (core, job, 0);
  else if (loss == HR_GANG_LOSS_REPLACE && !job->run.gang_incomplete_since)
    job->run.gang_incomplete_since = core->now;
}

void
hr_task_done (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  if (task->state != HR_TASK_BOUND)
    return;
  HrMachine *machine = machine_of (core, task);
  hr_class_note_run_time (core, job, task);
  hr_task_failures_note_success (job, machine);
  g_debug ("task %s/%u is done on machine %s", job->id, task_index, machine->name);
  task->state = HR_TASK_DONE;
  job->n_done++;
  release_capacity (core, job, task_index);
  hr_record_writer_mark (&core->store, job, task_index);
  if (job->spec.shape == HR_GANG)
    hr_gang_done (core, job, task->run->placement.attempt, FALSE);
}

/* ---- stops ---- */

/* Checks whether a stop takes effect: the task must be bound, and a stop that was requested before
 * is replaced only by one with a shorter grace time. */
static gboolean
stop_takes_effect (const HrTask *task, double grace_s)
{
  return task->state == HR_TASK_BOUND && !(task->stop_wanted && task->run->stop_grace_s <= grace_s);
}

void
hr_task_stop (HrCore *core, HrJob *job, guint32 task_index, double grace_s)
{
  HrTask *task = &job->tasks[task_index];
  if (!stop_takes_effect (task, grace_s))
    return;
  task->stop_wanted = 1;
  HrTaskRun *run = hr_task_edit_run (task);
  run->stop_grace_s = grace_s;
  run->stop_sent_at = 0;
  mark_urgent (core, machine_of (core, task));
}

void
hr_task_cancel (HrCore *core, HrJob *job, guint32 task_index, double grace_s)
{
  const HrTask *task = &job->tasks[task_index];
  if (task->state == HR_TASK_ASSIGNING && !task->write_in_flight)
    hr_task_unassign (core, job, task_index);
  else if (task->state == HR_TASK_BOUND)
    hr_task_stop (core, job, task_index, grace_s);
}

void
hr_job_cancelled (HrCore *core, HrJob *job)
{
  g_info ("job %s is cancelled", job->id);
  core->metrics.counters.cancellations++;
  if (!job->cancellation.last_uncancelled_read_at)
    job->cancellation.last_uncancelled_read_at =
        core->store.replica.confirmed_at; /* the last read that did not show the cancellation */
  g_info ("cancelled: job=%s revision=%" G_GUINT64_FORMAT " reading_age=%.2f bound=%u", job->id,
          core->store.replica.applied_revision, core->now - core->store.replica.confirmed_at,
          hr_job_bound_tasks (job));
  for (guint32 i = 0; i < job->n_tasks; i++)
    hr_task_cancel (core, job, i, 0);
  if (!job->run.n_live)
    hr_record_writer_mark (&core->store, job, 0);
}

/* ---- queries ---- */

guint32
hr_job_next_attempt (const HrJob *job)
{
  guint32 attempt = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    attempt = MAX (attempt,
                   MAX (job->tasks[i].run->placement.attempt, job->tasks[i].run->recorded.attempt));
  return attempt + 1;
}

guint
hr_job_bound_tasks (const HrJob *job)
{
  guint n = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    n += job->tasks[i].state == HR_TASK_BOUND;
  return n;
}
