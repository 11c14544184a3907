/* Scales out ahead of the next steps of pipelines. */
#include "coordination/scaling/next_steps.h"
#include "coordination/scaling/capacity_search.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scaling/headroom.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/resources.h"
#include <math.h>

/* Limit on the tasks of one step for which capacity is sought ahead of time. */
#define MAX_NEXT_STEP_TASKS 200

/* Returns when the job is expected to be done, monotonic time in seconds; INFINITY unless all its
 * remaining tasks are on machines. */
static double
projected_end (HrCore *core, const HrJob *job)
{
  double end = core->now;
  if (job->state != HR_JOB_QUEUED || !job->tasks || job->run.n_live + job->n_done < job->n_tasks)
    return INFINITY;
  for (guint32 i = 0; i < job->n_tasks && isfinite (end); i++) {
    const HrTask *task = &job->tasks[i];
    if (!hr_task_is_placed (task))
      continue;
    const HrMachine *machine = hr_machine_by_index (core, task->run->placement.machine);
    end = MAX (end, hr_estimate_running_end (core, job, task, machine));
  }
  return end;
}

/* Returns how many tasks with this need fit into the freed resources, at most @n. */
static guint
tasks_that_fit (HrResources freed, HrResources need, guint n)
{
  double fit = n;
  if (need.cpus > 0)
    fit = MIN (fit, floor (freed.cpus / need.cpus));
  if (need.gpus > 0)
    fit = MIN (fit, floor (freed.gpus / need.gpus));
  if (need.memory_gb > 0)
    fit = MIN (fit, floor (freed.memory_gb / need.memory_gb));
  return (guint)fit;
}

/* Returns whether the awaited job is expected to end by @horizon, so that its dependents need
 * capacity by then. */
static gboolean
is_ending (const HrJob *awaited, double horizon)
{
  return awaited->run.is_open && awaited->plan.expected_end <= horizon;
}

/* Returns whether the job still meets its deadline if a machine boots for it only after @ready. */
static gboolean
can_wait_for_boot (const HrCore *core, const HrJob *job, double ready)
{
  return ready + hr_longest_boot_s (core) + job->spec.estimate_s <=
         job->plan.deadline - core->wall_time + core->now;
}

/* Returns the number of tasks of the job that do not fit into the resources that its awaited jobs
 * free; 0 while one of these is not about to end, or if there is time for a boot afterwards. The
 * caller visits a job once for each awaited job that ends (@ending); to count it once, the result
 * is 0 unless @ending is the first awaited job that is not done. */
static guint
tasks_without_capacity (const HrCore *core, const HrJob *job, const HrJob *ending, double horizon)
{
  HrResources freed = {0, 0, 0};
  double ready = core->now;
  gboolean is_first = TRUE;
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    const HrJob *awaited = job->dependencies.awaited[i];
    if (awaited->state == HR_JOB_DONE)
      continue;
    if (!is_ending (awaited, horizon) || (is_first && awaited != ending))
      return 0;
    is_first = FALSE;
    ready = MAX (ready, awaited->plan.expected_end);
    hr_resources_add (
        &freed, hr_resources_multiply (hr_resources_of_task (&awaited->spec), awaited->run.n_live));
  }
  if (can_wait_for_boot (core, job, ready))
    return 0;
  return job->n_tasks - tasks_that_fit (freed, hr_resources_of_task (&job->spec), job->n_tasks);
}

/* Sets the expected end of each open job that other jobs await. */
static void
set_expected_ends (HrCore *core)
{
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    job->plan.expected_end = job->dependencies.dependents ? projected_end (core, job) : INFINITY;
  }
}

/* Reserves free capacity or demands instances for tasks of a step. Tasks within the headroom of
 * their class (@headroom, reduced by their number) already have capacity. */
static void
scale_out_for_step (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand,
                    const HrJob *dependent, guint n_tasks, guint *headroom)
{
  HrTaskNeed need = hr_task_need_of_job (&dependent->spec);
  HrCapacityCursor cursor = {0};
  guint from_headroom = MIN (n_tasks, *headroom);
  *headroom -= from_headroom;
  guint left = MIN (n_tasks - from_headroom, MAX_NEXT_STEP_TASKS);
  for (; left > 0 && hr_team_allows_start (core, dependent, 1); left--)
    if (!hr_capacity_find (core, fleet, fleet->n, &cursor, NULL, &need))
      hr_demand_plan_add (core, demand, &need);
}

void
hr_scale_out_for_next_steps (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand)
{
  double horizon = core->now + hr_longest_boot_s (core);
  g_autofree guint *headroom = g_new0 (guint, core->names->classes.names->len + 1);
  for (guint k = 0; k < core->scheduling.class_stats->len; k++)
    headroom[k] = hr_headroom (core, k);
  set_expected_ends (core);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    const HrJob *job = hr_open_job (core, i);
    if (job->plan.expected_end > horizon)
      continue;
    for (guint k = 0; k < job->dependencies.dependents->len; k++) {
      const HrJob *dependent = job->dependencies.dependents->pdata[k];
      if (dependent->state != HR_JOB_QUEUED || !dependent->tasks)
        continue;
      guint n_tasks = tasks_without_capacity (core, dependent, job, horizon);
      scale_out_for_step (core, fleet, demand, dependent, n_tasks,
                          &headroom[dependent->spec.job_class]);
    }
  }
}
