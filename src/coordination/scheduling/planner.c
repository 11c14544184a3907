/* The plan: one deadline-ordered list of tasks per machine. New tasks are placed
 * by MT-EDF; a bounded tabu search then moves tardy ones (Klusacek, Matyska,
 * Rudova: Local Search for Deadline Driven Grid Scheduling, figures 1 to 3). */
#include "coordination/scheduling/planner.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/service_reservations.h"
#include "coordination/scheduling/shards.h"
#include "coordination/scheduling/tabu.h"
#include "coordination/state.h"

#define WINDOW 64 /* tasks of one job that stand in lists at a time */

static gboolean
stands (HrCore *core, HrMachine *machine, HrTaskRef ref)
{
  HrJob *job = hr_job_of_task (core, ref);
  return job->tasks && job->state == HR_JOB_QUEUED && job->tasks[ref.task].state == HR_TASK_IDLE &&
         !job->run.attempt_ending && hr_job_allows_machine (core, job, machine) &&
         hr_job_allows_zone (core, job, machine);
}

/* Lists hold what the team's limit lets start; what it holds back would seem late there. */
static guint
most_listed (HrCore *core, const HrJob *job)
{
  return MIN (WINDOW, hr_quotas_granted (core, job));
}

static int
by_deadline (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (first->plan.deadline != second->plan.deadline)
    return first->plan.deadline < second->plan.deadline ? -1 : 1;
  return first->index < second->index ? -1 : first->index > second->index;
}

void
hr_planner_pass (HrCore *core)
{
  g_autoptr (GPtrArray) lists = g_ptr_array_new ();
  guint queued = 0;
  hr_shards_assign (core);
  hr_reserve_for_services (core);
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    for (guint k = 0; k < machine->plan.list->len;) {
      HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, k);
      HrJob *job = hr_job_of_task (core, ref);
      /* Gangs are placed anew in each pass: their common start moves with every list. */
      if (hr_machine_is_plannable (core, machine) && stands (core, machine, ref) &&
          job->spec.shape != HR_GANG && job->plan.n_listed <= hr_quotas_granted (core, job)) {
        k++;
        continue;
      }
      hr_task_unplan (job, ref.task);
      g_array_remove_index (machine->plan.list, k);
    }
    if (hr_machine_is_plannable (core, machine)) {
      hr_project_list (core, machine, NULL);
      g_ptr_array_add (lists, machine);
    }
  }
  g_autoptr (GPtrArray) fresh = g_ptr_array_new ();
  for (guint i = 0; i < core->store.tables.open_jobs->len;) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    if (job->record.is_compacted || !job->tasks) {
      job->run.is_open = FALSE;
      g_array_remove_index_fast (core->store.tables.open_jobs, i);
      continue;
    }
    i++;
    if (!job->plan.shard_chosen ||
        (job->plan.shard != HR_NONE && job->plan.shard >= core->scheduling.n_shards))
      hr_shard_choose (core, job);
    if (job->state == HR_JOB_QUEUED && job->spec.shape != HR_SERVICE && !job->run.attempt_ending &&
        job->run.retry_at <= core->now && hr_team_allows_start (core, job, 1) &&
        job->run.n_live + job->n_done < job->n_tasks) {
      g_ptr_array_add (fresh, job);
      guint left = job->n_tasks - job->run.n_live - job->n_done - job->plan.n_listed;
      queued += job->spec.shape == HR_GANG ? 1 : MIN (left, most_listed (core, job));
    }
  }
  g_ptr_array_sort (fresh, by_deadline);
  /* Trials are what a pass costs: with more to place, each task gets fewer. */
  guint tries = MAX (core->policy.sample_lists, core->policy.pass_trials / MAX (1, queued));
  for (guint i = 0; i < fresh->len; i++) {
    HrJob *job = fresh->pdata[i];
    if (job->spec.shape == HR_GANG) {
      if (job->run.n_live == 0)
        hr_mtedf_gang (core, lists, job, MAX (tries, 2 * job->n_tasks));
      continue;
    }
    g_autoptr (GPtrArray) order = NULL;
    guint most = most_listed (core, job);
    for (guint32 k = 0; k < job->n_tasks && job->plan.n_listed < most; k++) {
      if (job->tasks[k].state != HR_TASK_IDLE || job->tasks[k].is_listed)
        continue;
      if (!order)
        order = hr_mtedf_order (core, lists, job);
      if (!hr_mtedf_task (core, order, job, k, tries)) {
        job->plan.shard = HR_NONE; /* its part cannot hold it after all: any list may */
        break;
      }
    }
  }
  hr_tabu_search (core, lists);
}
