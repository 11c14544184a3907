#include "coordination/agents/reported_tasks.h"
#include "coordination/agents/orders.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/state.h"

/* Ended attempts that a worker may hold before the fencing token is raised to clear them. */
#define MAX_UNCLEARED 12

static HrTask *
find_reported_task (const HrMachine *machine, const HrReportedTask *reported, HrJob *job)
{
  if (!job || !job->tasks || reported->task >= job->n_tasks)
    return NULL;
  HrTask *task = &job->tasks[reported->task];
  gboolean is_here = task->placement.machine == machine->index &&
                     task->placement.incarnation == machine->agent.incarnation &&
                     task->placement.attempt == reported->attempt;
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
  HrClearVerdict clear = hr_termination_may_clear (core, machine, job ? job->index : HR_NONE,
                                                   reported->task, reported->attempt);
  return clear == HR_CLEAR_ALLOWED ? HR_REPORTED_TASK_CLEAR : HR_REPORTED_TASK_ENDED;
}

/* The task's state shows that the machine has its image. One that was stopped, or refused,
 * may have ended before that: the fetch is given up with it. */
static gboolean
shows_image (const HrReportedTask *reported)
{
  if (reported->state == HR_REPORTED_EXITED)
    return reported->cause == HR_EXIT_DONE || reported->cause == HR_EXIT_INCOMPLETE ||
           reported->cause == HR_EXIT_PEERS;
  return reported->state != HR_REPORTED_FETCHING;
}

static void
note_exit (HrCore *core, HrJob *job, const HrReportedTask *reported)
{
  if (reported->cause == HR_EXIT_DONE && job->state == HR_JOB_QUEUED)
    hr_task_done (core, job, reported->task);
  else
    hr_task_gone (core, job, reported->task, reported->cause, hr_exit_name (reported->cause));
}

/* The task is where its record has it. */
static void
take_recorded_task (HrCore *core, HrMachine *machine, HrJob *job, HrTask *task,
                    const HrReportedTask *reported)
{
  task->from_earlier_term = 0;
  /* Records tell a new leader where an image should be; one that is still being fetched
   * at the second look is not there. */
  if (reported->state == HR_REPORTED_FETCHING && task->reported_state == HR_REPORTED_FETCHING)
    hr_machine_remove_image (machine, job->spec.image);
  if (task->reported_state != reported->state)
    core->scheduling.plan_is_stale = TRUE;
  task->reported_state = reported->state;
  if (reported->state == HR_REPORTED_RUNNING && !task->running_since) {
    task->running_since = core->now;
    g_debug ("%s/%u runs on %s", job->id, reported->task, machine->name);
  }
  if (shows_image (reported))
    hr_machine_touch_image (machine, job->spec.image);
  if (reported->state == HR_REPORTED_EXITED)
    note_exit (core, job, reported);
}

static void
clear_ended_task (HrCore *core, HrMachine *machine, const HrJob *job,
                  const HrReportedTask *reported, GArray *orders)
{
  hr_termination_forget_direct_launch (machine, job ? job->index : HR_NONE, reported->task,
                                       reported->attempt);
  hr_orders_clear (core, machine, orders, reported->job, reported->task, reported->attempt);
}

static void
stop_unrecorded_task (HrCore *core, HrMachine *machine, const HrJob *job,
                      const HrReportedTask *reported, GArray *orders)
{
  /* It uses capacity until it is gone. */
  if (job && job->is_known && job->n_tasks) {
    machine->unrecognized.cpus += job->spec.cpus;
    machine->unrecognized.gpus += job->spec.gpus;
    machine->unrecognized.memory_gb += job->spec.memory_gb;
  }
  hr_orders_stop (core, machine, orders, reported->job, reported->task, reported->attempt,
                  job && job->state == HR_JOB_CANCELLED ? HR_STOP_REASON_CANCELLED
                                                        : HR_STOP_REASON_NOT_RECORDED);
}

/* What of one message was taken so far. */
typedef struct {
  GHashTable *recorded; /* HrTask, a set: shown where they are recorded */
  guint n_uncleared;    /* ended attempts that may not be cleared yet */
} ReportSummary;

static void
take_reported_task (HrCore *core, HrMachine *machine, const HrReportedTask *reported,
                    ReportSummary *seen, GArray *orders)
{
  HrJob *job = hr_job_find (&core->store.tables, reported->job);
  HrTask *task = find_reported_task (machine, reported, job);
  switch (hr_reported_task_verdict (core, machine, reported, job, task)) {
  case HR_REPORTED_TASK_RECORDED:
    g_hash_table_add (seen->recorded, task);
    take_recorded_task (core, machine, job, task, reported);
    break;
  case HR_REPORTED_TASK_END_UNRECORDED: /* no clear before that */
  case HR_REPORTED_TASK_ASSIGNING:
    break;
  case HR_REPORTED_TASK_CLEAR:
    clear_ended_task (core, machine, job, reported, orders);
    break;
  case HR_REPORTED_TASK_ENDED:
    if (++seen->n_uncleared >= MAX_UNCLEARED)
      hr_leadership_raise_token (core,
                                 "a worker holds many ended attempts that cannot be cleared yet");
    break;
  case HR_REPORTED_TASK_STOP:
    stop_unrecorded_task (core, machine, job, reported, orders);
    break;
  }
}

/* A current report lacks the task, which was recorded on the machine. */
static void
take_absence (HrCore *core, const HrMachine *machine, HrTaskRef ref, const HrHeartbeat *report)
{
  HrJob *job = core->store.tables.jobs->pdata[ref.job];
  HrTask *task = &job->tasks[ref.task];
  HrAbsenceVerdict verdict = hr_termination_absence (core, machine, job, task, report);
  if (verdict != HR_ABSENCE_NOT_EXPECTED)
    task->reported_state = HR_NOT_REPORTED;
  if (verdict == HR_ABSENCE_PROVEN)
    hr_task_gone (core, job, ref.task, HR_EXIT_NONE,
                  hr_termination_proof_text (HR_PROOF_ABSENT_FROM_REPORT));
  else if (verdict == HR_ABSENCE_TOKEN_NEEDED)
    hr_leadership_raise_token (core, "an order to a worker got no answer");
}

void
hr_reported_tasks_take (HrCore *core, HrMachine *machine, const HrHeartbeat *message,
                        gboolean is_report, GArray *orders)
{
  g_autoptr (GArray) before = g_array_copy (machine->tasks);
  g_autoptr (GHashTable) recorded = g_hash_table_new (g_direct_hash, g_direct_equal);
  ReportSummary seen = {recorded, 0};
  machine->unrecognized = (HrResources){0};
  for (guint i = 0; i < message->tasks->len; i++)
    take_reported_task (core, machine, &g_array_index (message->tasks, HrReportedTask, i), &seen,
                        orders);
  for (guint i = 0; is_report && i < before->len; i++) {
    HrTaskRef ref = g_array_index (before, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    if (job->tasks && !g_hash_table_contains (recorded, &job->tasks[ref.task]))
      take_absence (core, machine, ref, message);
  }
}
