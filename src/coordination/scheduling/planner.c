/* The planning pass: brings the lists of the plan up to date. */
#include "coordination/scheduling/planner.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/mtedf.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/service_reservations.h"
#include "coordination/scheduling/shards.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/starvation_reservations.h"
#include "coordination/scheduling/tabu.h"
#include "coordination/scheduling/task_lists.h"

/* Maximum number of tasks of one job in the lists of the plan. */
#define MAX_LISTED_TASKS 64

/* Returns whether the task may stay in the machine's list. Gangs are placed again in each pass,
 * because their common start depends on every list that they are in; so are tasks of starving jobs,
 * because capacity is reserved for them anew. */
static gboolean
may_stay_listed (HrCore *core, const HrMachine *machine, HrTaskRef ref)
{
  const HrJob *job = hr_job_of_task (core, ref);
  return job->tasks && job->state == HR_JOB_QUEUED && job->tasks[ref.task].state == HR_TASK_IDLE &&
         !job->tasks[ref.task].has_reservation && !job->run.attempt_ending &&
         hr_job_allows_machine (core, job, machine) && hr_job_allows_zone (core, job, machine) &&
         job->spec.shape != HR_GANG && job->plan.n_listed <= hr_quotas_granted (core, job);
}

/* Removes the tasks that may not stay in the machine's list. */
static void
prune_list (HrCore *core, HrMachine *machine, gboolean is_plannable)
{
  GArray *list = machine->plan.list;
  for (guint k = 0; k < list->len;) {
    HrTaskRef ref = g_array_index (list, HrTaskRef, k);
    if (is_plannable && may_stay_listed (core, machine, ref)) {
      k++;
      continue;
    }
    hr_task_mark_unlisted (hr_job_of_task (core, ref), ref.task);
    g_array_remove_index (list, k);
  }
}

/* Prunes all lists. Returns the plannable machines. */
static GPtrArray *
prune_lists (HrCore *core)
{
  GPtrArray *lists = g_ptr_array_new ();
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    gboolean is_plannable = hr_machine_is_plannable (core, machine);
    prune_list (core, machine, is_plannable);
    if (is_plannable)
      g_ptr_array_add (lists, machine);
  }
  return lists;
}

static void
project_lists (HrCore *core, GPtrArray *lists)
{
  for (guint i = 0; i < lists->len; i++)
    hr_project_list (core, lists->pdata[i], NULL);
}

/* Returns how many tasks of the job may be listed. Tasks that the team's limit does not let start
 * are not listed, because they would be projected as late. */
static guint
max_listed (HrCore *core, const HrJob *job)
{
  return MIN (MAX_LISTED_TASKS, hr_quotas_granted (core, job));
}

/* Returns whether the job has tasks to place in lists. Services are never listed. */
static gboolean
needs_lists (HrCore *core, const HrJob *job)
{
  return hr_job_is_waiting (core, job) && job->spec.shape != HR_SERVICE &&
         hr_team_allows_start (core, job, 1);
}

/* Chooses a shard for the job if none was chosen yet or if the chosen one no longer exists. */
static void
ensure_shard (HrCore *core, HrJob *job)
{
  if (!job->plan.shard_chosen ||
      (job->plan.shard != HR_NONE && job->plan.shard >= core->scheduling.n_shards))
    hr_shard_choose (core, job);
}

/* Returns how many placements the job needs: one for a whole gang, one per task otherwise. */
static guint
tasks_to_place (HrCore *core, const HrJob *job)
{
  guint unlisted = job->n_tasks - job->run.n_live - job->n_done - job->plan.n_listed;
  return job->spec.shape == HR_GANG ? 1 : MIN (unlisted, max_listed (core, job));
}

/* Returns the jobs with tasks to place, by deadline, and removes compacted jobs from the list of
 * open jobs. n_placements: set to the number of placements that these jobs need. */
static GPtrArray *
collect_jobs (HrCore *core, guint *n_placements)
{
  GArray *open_jobs = core->store.tables.open_jobs;
  GPtrArray *jobs = g_ptr_array_new ();
  *n_placements = 0;
  for (guint i = 0; i < open_jobs->len;) {
    HrJob *job = hr_open_job (core, i);
    if (job->record.is_compacted || !job->tasks) {
      job->run.is_open = FALSE;
      g_array_remove_index_fast (open_jobs, i);
      continue;
    }
    i++;
    ensure_shard (core, job);
    if (needs_lists (core, job)) {
      g_ptr_array_add (jobs, job);
      *n_placements += tasks_to_place (core, job);
    }
  }
  g_ptr_array_sort (jobs, hr_compare_by_deadline);
  return jobs;
}

/* Places the job's unlisted tasks, up to the number that may be listed. */
static void
place_tasks (HrCore *core, GPtrArray *lists, HrJob *job, guint max_trials)
{
  g_autoptr (GPtrArray) candidates = NULL;
  guint max_tasks = max_listed (core, job);
  for (guint32 k = 0; k < job->n_tasks && job->plan.n_listed < max_tasks; k++) {
    if (job->tasks[k].state != HR_TASK_IDLE || job->tasks[k].is_listed)
      continue;
    if (!candidates)
      candidates = hr_mtedf_candidates (core, lists, job);
    if (!hr_mtedf_place_task (core, candidates, job, k, max_trials)) {
      job->plan.shard = HR_NONE; /* its shard has no suitable list: allow all shards */
      return;
    }
  }
}

void
hr_planner_pass (HrCore *core)
{
  guint n_placements;
  hr_shards_assign (core);
  hr_reserve_for_waiting_replicas (core);
  g_autoptr (GPtrArray) lists = prune_lists (core);
  hr_reserve_for_starving_jobs (core, lists);
  hr_reserve_headroom (core);
  project_lists (core, lists);
  g_autoptr (GPtrArray) jobs = collect_jobs (core, &n_placements);
  /* Trial placements dominate the cost of a pass: the more tasks there are to place, the fewer
   * trials each of them gets. */
  guint max_trials =
      MAX (core->policy.sample_lists, core->policy.pass_trials / MAX (1, n_placements));
  for (guint i = 0; i < jobs->len; i++) {
    HrJob *job = jobs->pdata[i];
    if (job->spec.shape != HR_GANG)
      place_tasks (core, lists, job, max_trials);
    else if (job->run.n_live == 0 && !job->plan.n_listed)
      hr_mtedf_place_gang (core, lists, job, MAX (max_trials, 2 * job->n_tasks));
  }
  hr_tabu_search (core, lists);
}
