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
#include "coordination/scheduling/tabu.h"
#include "coordination/scheduling/task_lists.h"

/* Tasks of one job that stand in lists at a time. */
#define MAX_LISTED_TASKS 64

/* May the task stay in the machine's list? Gangs are placed anew in each pass: their common start
 * moves with every list. */
static gboolean
stays_listed (HrCore *core, const HrMachine *machine, HrTaskRef ref)
{
  const HrJob *job = hr_job_of_task (core, ref);
  return job->tasks && job->state == HR_JOB_QUEUED && job->tasks[ref.task].state == HR_TASK_IDLE &&
         !job->run.attempt_ending && hr_job_allows_machine (core, job, machine) &&
         hr_job_allows_zone (core, job, machine) && job->spec.shape != HR_GANG &&
         job->plan.n_listed <= hr_quotas_granted (core, job);
}

/* Takes out of the machine's list what may not stay there. */
static void
prune_list (HrCore *core, HrMachine *machine, gboolean is_plannable)
{
  GArray *list = machine->plan.list;
  for (guint k = 0; k < list->len;) {
    HrTaskRef ref = g_array_index (list, HrTaskRef, k);
    if (is_plannable && stays_listed (core, machine, ref)) {
      k++;
      continue;
    }
    hr_task_unplan (hr_job_of_task (core, ref), ref.task);
    g_array_remove_index (list, k);
  }
}

/* Prunes all lists. Returns the machines whose lists are planned, projected. */
static GPtrArray *
refresh_lists (HrCore *core)
{
  GPtrArray *lists = g_ptr_array_new ();
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    gboolean is_plannable = hr_machine_is_plannable (core, machine);
    prune_list (core, machine, is_plannable);
    if (is_plannable) {
      hr_project_list (core, machine, NULL);
      g_ptr_array_add (lists, machine);
    }
  }
  return lists;
}

/* Lists hold what the team's limit lets start; what it holds up would seem late there. */
static guint
max_listed (HrCore *core, const HrJob *job)
{
  return MIN (MAX_LISTED_TASKS, hr_quotas_granted (core, job));
}

/* Services stand in no list. */
static gboolean
needs_lists (HrCore *core, const HrJob *job)
{
  return hr_job_is_waiting (core, job) && job->spec.shape != HR_SERVICE &&
         hr_team_allows_start (core, job, 1);
}

/* A job without a shard, or whose shard is gone, gets one. */
static void
ensure_shard (HrCore *core, HrJob *job)
{
  if (!job->plan.shard_chosen ||
      (job->plan.shard != HR_NONE && job->plan.shard >= core->scheduling.n_shards))
    hr_shard_choose (core, job);
}

/* How many placements the job needs: one for a whole gang, one for each other task. */
static guint
tasks_to_place (HrCore *core, const HrJob *job)
{
  guint unlisted = job->n_tasks - job->run.n_live - job->n_done - job->plan.n_listed;
  return job->spec.shape == HR_GANG ? 1 : MIN (unlisted, max_listed (core, job));
}

/* The jobs with tasks to place, by deadline. Jobs that are compacted leave the list of open jobs.
 * queued: set to how many tasks there are to place. */
static GPtrArray *
collect_jobs (HrCore *core, guint *queued)
{
  GArray *open_jobs = core->store.tables.open_jobs;
  GPtrArray *jobs = g_ptr_array_new ();
  *queued = 0;
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
      *queued += tasks_to_place (core, job);
    }
  }
  g_ptr_array_sort (jobs, hr_by_deadline);
  return jobs;
}

/* Places the job's tasks that stand in no list, while lists may have more of them. */
static void
place_tasks (HrCore *core, GPtrArray *lists, HrJob *job, guint tries)
{
  g_autoptr (GPtrArray) order = NULL;
  guint most = max_listed (core, job);
  for (guint32 k = 0; k < job->n_tasks && job->plan.n_listed < most; k++) {
    if (job->tasks[k].state != HR_TASK_IDLE || job->tasks[k].is_listed)
      continue;
    if (!order)
      order = hr_mtedf_order (core, lists, job);
    if (!hr_mtedf_task (core, order, job, k, tries)) {
      job->plan.shard = HR_NONE; /* its shard cannot hold it after all: any list may */
      return;
    }
  }
}

void
hr_planner_pass (HrCore *core)
{
  guint queued;
  hr_shards_assign (core);
  hr_reserve_for_services (core);
  g_autoptr (GPtrArray) lists = refresh_lists (core);
  g_autoptr (GPtrArray) jobs = collect_jobs (core, &queued);
  /* Trials are what a pass costs: with more to place, each task gets fewer. */
  guint tries = MAX (core->policy.sample_lists, core->policy.pass_trials / MAX (1, queued));
  for (guint i = 0; i < jobs->len; i++) {
    HrJob *job = jobs->pdata[i];
    if (job->spec.shape != HR_GANG)
      place_tasks (core, lists, job, tries);
    else if (job->run.n_live == 0)
      hr_mtedf_gang (core, lists, job, MAX (tries, 2 * job->n_tasks));
  }
  hr_tabu_search (core, lists);
}
