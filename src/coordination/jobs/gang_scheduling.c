/* Gang scheduling: readiness, loss of a task, end of an attempt, and completion. */
#include "coordination/jobs/gang_scheduling.h"
#include "bookkeeping/record_writer.h"
#include "coordination/jobs/task_lifecycle.h"

gboolean
hr_gang_ready (const HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state != HR_TASK_BOUND ||
        job->tasks[i].run->placement.attempt != job->tasks[0].run->placement.attempt)
      return FALSE;
  return TRUE;
}

/* Returns the longest expected fetch time among the tasks that do not have their image yet, in
 * seconds. */
static double
longest_expected_fetch (const HrJob *job)
{
  double longest_s = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].reported_state == HR_NOT_REPORTED ||
        job->tasks[i].reported_state == HR_REPORTED_FETCHING)
      longest_s = MAX (longest_s, job->tasks[i].run->expected_fetch_s);
  return longest_s;
}

gboolean
hr_gang_delays_launch (const HrCore *core, const HrJob *job, const HrTask *task)
{
  return core->now < job->run.gang_ready_at + longest_expected_fetch (job) -
                         task->run->expected_fetch_s - core->settings->gang_wait_s / 2;
}

/* Checks whether the attempt may have begun: a task was reported running, is being stopped, or was
 * placed by an earlier leader. */
static gboolean
has_begun (const HrJob *job)
{
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == HR_TASK_BOUND &&
        (job->tasks[i].run->running_since || job->tasks[i].from_earlier_term ||
         job->tasks[i].stop_wanted))
      return TRUE;
  return FALSE;
}

HrGangLoss
hr_gang_decide_loss (const HrJob *job, HrExitCause cause)
{
  gboolean has_others = job->spec.shape == HR_GANG && job->run.n_live > 1;
  if (!has_others || job->run.attempt_ending || job->state != HR_JOB_QUEUED)
    return HR_GANG_LOSS_NONE;
  /* A task that ran and failed would most likely fail again in the same attempt, so only one that
   * never ran is replaced. */
  gboolean never_ran = cause == HR_EXIT_NONE || cause == HR_EXIT_FULL;
  return never_ran && !has_begun (job) ? HR_GANG_LOSS_REPLACE : HR_GANG_LOSS_END_ATTEMPT;
}

void
hr_gang_end_attempt (HrCore *core, HrJob *job, double grace_s)
{
  job->run.attempt_ending = TRUE;
  job->run.gang_incomplete_since = 0;
  for (guint32 i = 0; i < job->n_tasks; i++)
    if (!job->tasks[i].stop_wanted)
      hr_task_cancel (core, job, i, grace_s);
}

/* Marks an idle task as done because another task of its gang is done. */
static void
complete_idle_task (HrCore *core, HrJob *job, guint32 task_index)
{
  job->tasks[task_index].state = HR_TASK_DONE;
  job->n_done++;
  hr_record_writer_mark (&core->store, job, task_index);
}

void
hr_gang_done (HrCore *core, HrJob *job, guint32 attempt, gboolean all_attempts)
{
  for (guint32 i = 0; i < job->n_tasks; i++) {
    HrTask *task = &job->tasks[i];
    if (task->run->placement.attempt != attempt && !all_attempts)
      continue;
    if (task->state == HR_TASK_ASSIGNING && !task->write_in_flight)
      hr_task_unassign (core, job, i);
    if (task->state == HR_TASK_BOUND)
      hr_task_done (core, job, i);
    else if (task->state == HR_TASK_IDLE)
      complete_idle_task (core, job, i);
  }
}
