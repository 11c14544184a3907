#include "coordination/agents/reported_tasks.h"
#include "coordination/agents/orders.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/state.h"

/* Number of uncleared ended attempts on a worker at which the fencing token is raised, so that they
 * can be cleared. */
#define MAX_UNCLEARED_ATTEMPTS 12

static HrTask *
find_reported_task (const HrMachine *machine, const HrReportedTask *reported, HrJob *job)
{
  if (!job || !job->tasks || reported->task >= job->n_tasks)
    return NULL;
  HrTask *task = &job->tasks[reported->task];
  gboolean is_here = task->run->placement.machine == machine->index &&
                     task->run->placement.incarnation == machine->agent.incarnation &&
                     task->run->placement.attempt == reported->attempt;
  return is_here ? task : NULL;
}

HrReportedTaskVerdict
hr_reported_task_verdict (const HrCore *core, const HrMachine *machine,
                          const HrReportedTask *reported, const HrJob *job, const HrTask *task)
{
  if (task && task->state == HR_TASK_BOUND)
    return HR_REPORTED_TASK_RECORDED;
  if (task && task->state == HR_TASK_DONE && !task->done_recorded && !job->record.is_compacted)
    return HR_REPORTED_TASK_END_UNRECORDED;
  if (task && task->state == HR_TASK_ASSIGNING)
    return HR_REPORTED_TASK_ASSIGNING;
  if (reported->state != HR_REPORTED_EXITED)
    return HR_REPORTED_TASK_STOP;
  HrClearVerdict clear = hr_termination_clear_verdict (core, machine, job ? job->index : HR_NONE,
                                                       reported->task, reported->attempt);
  return clear == HR_CLEAR_ALLOWED ? HR_REPORTED_TASK_CLEAR : HR_REPORTED_TASK_CLEAR_DEFERRED;
}

/* Returns whether the task's state implies that the machine has its image. A task that was stopped
 * or refused may have ended before its image was fetched, and the fetch ends with it. */
static gboolean
implies_image_present (const HrReportedTask *reported)
{
  if (reported->state == HR_REPORTED_EXITED)
    return reported->cause == HR_EXIT_DONE || reported->cause == HR_EXIT_INCOMPLETE ||
           reported->cause == HR_EXIT_PEERS;
  return reported->state != HR_REPORTED_FETCHING;
}

static void
apply_exit (HrCore *core, HrJob *job, const HrReportedTask *reported)
{
  if (reported->cause == HR_EXIT_DONE && job->state == HR_JOB_QUEUED)
    hr_task_done (core, job, reported->task);
  else
    hr_task_terminated (core, job, reported->task, reported->cause, hr_exit_name (reported->cause));
}

/* Updates a task that the worker reports where it is recorded. */
static void
apply_recorded_task (HrCore *core, HrMachine *machine, HrJob *job, HrTask *task,
                     const HrReportedTask *reported)
{
  task->from_earlier_term = 0;
  /* A new leader assumes from the records that a machine has an image. If a second message still
   * reports it as being fetched, the machine does not have it. */
  if (reported->state == HR_REPORTED_FETCHING && task->reported_state == HR_REPORTED_FETCHING)
    hr_machine_remove_image (machine, job->spec.image);
  if (task->reported_state != reported->state)
    core->scheduling.plan_is_stale = TRUE;
  task->reported_state = reported->state;
  if (reported->state == HR_REPORTED_RUNNING && !task->run->running_since) {
    hr_task_edit_run (task)->running_since = core->now;
    g_debug ("task %s/%u runs on machine %s", job->id, reported->task, machine->name);
  }
  if (implies_image_present (reported))
    hr_machine_touch_image (machine, job->spec.image);
  if (reported->state == HR_REPORTED_EXITED)
    apply_exit (core, job, reported);
}

static void
clear_ended_task (HrCore *core, HrMachine *machine, const HrJob *job,
                  const HrReportedTask *reported, GArray *orders)
{
  hr_termination_untrack_direct_launch (machine, job ? job->index : HR_NONE, reported->task,
                                        reported->attempt);
  hr_orders_append_clear (core, machine, orders, reported->job, reported->task, reported->attempt);
}

static void
stop_unrecorded_task (HrCore *core, HrMachine *machine, const HrJob *job,
                      const HrReportedTask *reported, GArray *orders)
{
  /* The task uses capacity until it has exited. */
  if (job && job->is_known && job->n_tasks) {
    machine->unrecognized.cpus += job->spec.cpus;
    machine->unrecognized.gpus += job->spec.gpus;
    machine->unrecognized.memory_gb += job->spec.memory_gb;
  }
  hr_orders_append_stop (core, machine, orders, reported->job, reported->task, reported->attempt,
                         job && job->state == HR_JOB_CANCELLED ? HR_STOP_REASON_CANCELLED
                                                               : HR_STOP_REASON_NOT_RECORDED);
}

/* Results gathered while the tasks of one message are processed. */
typedef struct {
  GHashTable *recorded; /* set of HrTask: reported by the machine that their record names */
  guint n_uncleared;    /* ended attempts that may not be cleared yet */
} MessageSummary;

static void
apply_reported_task (HrCore *core, HrMachine *machine, const HrReportedTask *reported,
                     MessageSummary *summary, GArray *orders)
{
  HrJob *job = hr_job_find (&core->store.tables, reported->job);
  HrTask *task = find_reported_task (machine, reported, job);
  switch (hr_reported_task_verdict (core, machine, reported, job, task)) {
  case HR_REPORTED_TASK_RECORDED:
    g_hash_table_add (summary->recorded, task);
    apply_recorded_task (core, machine, job, task, reported);
    break;
  case HR_REPORTED_TASK_END_UNRECORDED: /* not cleared before its end is recorded */
  case HR_REPORTED_TASK_ASSIGNING:
    break;
  case HR_REPORTED_TASK_CLEAR:
    clear_ended_task (core, machine, job, reported, orders);
    break;
  case HR_REPORTED_TASK_CLEAR_DEFERRED:
    if (++summary->n_uncleared >= MAX_UNCLEARED_ATTEMPTS)
      hr_leadership_raise_token (core,
                                 "a worker holds many ended attempts that cannot be cleared yet");
    break;
  case HR_REPORTED_TASK_STOP:
    stop_unrecorded_task (core, machine, job, reported, orders);
    break;
  }
}

/* Handles a task that was recorded on the machine and is absent from a current heartbeat. */
static void
handle_absence (HrCore *core, const HrMachine *machine, HrTaskRef ref, const HrHeartbeat *heartbeat)
{
  HrJob *job = core->store.tables.jobs->pdata[ref.job];
  HrTask *task = &job->tasks[ref.task];
  HrAbsenceVerdict verdict = hr_termination_absence_verdict (core, machine, job, task, heartbeat);
  if (verdict != HR_ABSENCE_NOT_EXPECTED)
    task->reported_state = HR_NOT_REPORTED;
  if (verdict == HR_ABSENCE_PROVEN)
    hr_task_terminated (core, job, ref.task, HR_EXIT_NONE,
                        hr_termination_proof_text (HR_PROOF_ABSENT_FROM_HEARTBEAT));
  else if (verdict == HR_ABSENCE_TOKEN_NEEDED)
    hr_leadership_raise_token (core, "a direct launch to a worker got no answer");
}

void
hr_reported_tasks_apply (HrCore *core, HrMachine *machine, const HrHeartbeat *message,
                         gboolean is_heartbeat, GArray *orders)
{
  g_autoptr (GArray) before = g_array_copy (machine->tasks);
  g_autoptr (GHashTable) recorded = g_hash_table_new (g_direct_hash, g_direct_equal);
  MessageSummary summary = {recorded, 0};
  machine->unrecognized = (HrResources){0};
  for (guint i = 0; i < message->tasks->len; i++)
    apply_reported_task (core, machine, &g_array_index (message->tasks, HrReportedTask, i),
                         &summary, orders);
  for (guint i = 0; is_heartbeat && i < before->len; i++) {
    HrTaskRef ref = g_array_index (before, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    if (job->tasks && !g_hash_table_contains (recorded, &job->tasks[ref.task]))
      handle_absence (core, machine, ref, message);
  }
}
