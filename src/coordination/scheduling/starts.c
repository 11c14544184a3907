/* Starting tasks: turns planned tasks into assignments to machines. */
#include "coordination/scheduling/starts.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/task_lists.h"
#include <math.h>

/* Run times that differ by no more than this count as equal, s. */
#define SAME_RUN_TIME_S 1

static void
start_attempt (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine, guint32 attempt)
{
  const HrTask *task = &job->tasks[task_index];
  if (task->is_listed) {
    hr_task_mark_unlisted (job, task_index);
    hr_list_remove (hr_machine_by_index (core, task->listed_on),
                    (HrTaskRef){job->index, task_index});
  }
  hr_task_assign (core, job, task_index, machine, attempt);
  hr_quotas_task_started (core, job);
}

void
hr_start_task (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine)
{
  const HrTask *task = &job->tasks[task_index];
  guint32 last_attempt = MAX (task->run->placement.attempt, task->run->recorded.attempt);
  start_attempt (core, job, task_index, machine, last_attempt + 1);
}

/* Returns the machine in whose list the gang's task is, if the task can start there now; otherwise
 * NULL. */
static HrMachine *
startable_listed_machine (HrCore *core, const HrJob *job, const HrTask *task)
{
  if (!task->is_listed || task->state != HR_TASK_IDLE)
    return NULL;
  HrMachine *machine = hr_machine_by_index (core, task->listed_on);
  return hr_start_check_machine (core, job, machine) == HR_START_OK ? machine : NULL;
}

gboolean
hr_start_gang (HrCore *core, HrJob *job)
{
  g_autofree HrMachine **machines = g_new0 (HrMachine *, job->n_tasks);
  if (hr_start_check_job (core, job, job->n_tasks) != HR_START_OK)
    return FALSE;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    machines[i] = startable_listed_machine (core, job, &job->tasks[i]);
    if (!machines[i])
      return FALSE;
  }
  guint32 attempt = hr_job_next_attempt (job);
  for (guint32 i = 0; i < job->n_tasks; i++)
    start_attempt (core, job, i, machines[i], attempt);
  return TRUE;
}

/* Returns the attempt number of the gang's tasks that are not lost. */
static guint32
attempt_of_gang (const HrJob *job)
{
  guint32 attempt = 0;
  for (guint32 k = 0; k < job->n_tasks; k++)
    if (job->tasks[k].state != HR_TASK_IDLE)
      attempt = job->tasks[k].run->placement.attempt;
  return attempt;
}

/* Returns the machine with the shortest image fetch for a lost task of a gang; NULL: there is none.
 */
static HrMachine *
replacement_machine (HrCore *core, const HrJob *job, const HrTask *task)
{
  HrMachine *best = NULL;
  if (hr_start_check_job (core, job, 1) != HR_START_OK)
    return NULL;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    /* The machine where the task was lost is excluded: the new start has the same attempt number
     * and would be mistaken for the attempt that was refused there. */
    if (machine->index == task->run->placement.machine ||
        hr_start_check_machine (core, job, machine) != HR_START_OK)
      continue;
    if (!best ||
        hr_estimate_fetch_time (core, job, machine) < hr_estimate_fetch_time (core, job, best))
      best = machine;
  }
  return best;
}

void
hr_start_lost_gang_tasks (HrCore *core, HrJob *job)
{
  guint32 attempt = attempt_of_gang (job);
  gboolean is_complete = TRUE;
  for (guint32 k = 0; k < job->n_tasks; k++) {
    if (job->tasks[k].state != HR_TASK_IDLE)
      continue;
    HrMachine *machine = replacement_machine (core, job, &job->tasks[k]);
    if (!machine) {
      is_complete = FALSE;
      continue;
    }
    g_info ("task %s/%u was lost before its gang started; starting it on machine %s instead",
            job->id, k, machine->name);
    start_attempt (core, job, k, machine, attempt);
  }
  if (is_complete)
    job->run.gang_incomplete_since = 0;
  else if (core->now - job->run.gang_incomplete_since > core->settings->gang_wait_s / 2)
    hr_gang_end_attempt (core, job, 0);
}

GPtrArray *
hr_machines_with_capacity (const HrCore *core)
{
  GPtrArray *machines = g_ptr_array_sized_new (core->scaling.fleet->len);
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state == HR_MACHINE_UP && !machine->is_draining &&
        hr_machine_unused (machine).cpus > 0)
      g_ptr_array_add (machines, machine);
  }
  return machines;
}

gboolean
hr_batch_machine_better (HrCore *core, const HrJob *job, const HrMachine *left,
                         const HrMachine *right)
{
  double first = hr_estimate_run_time (core, job, left);
  double second = hr_estimate_run_time (core, job, right);
  if (fabs (first - second) > SAME_RUN_TIME_S)
    return first < second;
  if (left->is_spot != right->is_spot)
    return left->is_spot;
  return left->tasks->len > right->tasks->len;
}
