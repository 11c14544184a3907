/* The plan: one deadline-ordered list of tasks per machine. New tasks are placed
 * by MT-EDF; a bounded tabu search then moves tardy ones (Klusacek, Matyska,
 * Rudova: Local Search for Deadline Driven Grid Scheduling, figures 1 to 3). */
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/plan.h"

#define WINDOW 64 /* tasks of one job that stand in lists at a time */

static gboolean
stands (HrCore *c, HrMachine *m, HrTaskRef r)
{
  HrJob *j = hr_job_of_task (c, r);
  return j->tasks && j->state == HR_JOB_QUEUED && j->tasks[r.task].state == HR_TASK_IDLE &&
         !j->run.attempt_ending && hr_job_allows_machine (c, j, m) && hr_job_allows_zone (c, j, m);
}

/* Lists hold what the team's limit lets start; what it holds back would seem late there. */
static guint
most_listed (HrCore *c, const HrJob *j)
{
  return MIN (WINDOW, hr_quotas_granted (c, j));
}

static int
by_deadline (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (x->plan.deadline != y->plan.deadline)
    return x->plan.deadline < y->plan.deadline ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

void
hr_planner_pass (HrCore *c)
{
  g_autoptr (GPtrArray) lists = g_ptr_array_new ();
  guint queued = 0;
  hr_shards_assign (c);
  hr_reserve_for_services (c);
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    for (guint k = 0; k < m->plan.list->len;) {
      HrTaskRef r = g_array_index (m->plan.list, HrTaskRef, k);
      HrJob *j = hr_job_of_task (c, r);
      /* Gangs are placed anew in each pass: their common start moves with every list. */
      if (hr_machine_is_plannable (c, m) && stands (c, m, r) && j->spec.shape != HR_GANG &&
          j->plan.n_listed <= hr_quotas_granted (c, j)) {
        k++;
        continue;
      }
      hr_task_unplan (j, r.task);
      g_array_remove_index (m->plan.list, k);
    }
    if (hr_machine_is_plannable (c, m)) {
      hr_project_list (c, m, NULL);
      g_ptr_array_add (lists, m);
    }
  }
  g_autoptr (GPtrArray) fresh = g_ptr_array_new ();
  for (guint i = 0; i < c->store.tables.open_jobs->len;) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    if (j->record.is_compacted || !j->tasks) {
      j->run.is_open = FALSE;
      g_array_remove_index_fast (c->store.tables.open_jobs, i);
      continue;
    }
    i++;
    if (!j->plan.shard_chosen ||
        (j->plan.shard != HR_NONE && j->plan.shard >= c->scheduling.n_shards))
      hr_shard_choose (c, j);
    if (j->state == HR_JOB_QUEUED && j->spec.shape != HR_SERVICE && !j->run.attempt_ending &&
        j->run.retry_at <= c->now && hr_team_allows_start (c, j, 1) &&
        j->run.n_live + j->n_done < j->n_tasks) {
      g_ptr_array_add (fresh, j);
      guint left = j->n_tasks - j->run.n_live - j->n_done - j->plan.n_listed;
      queued += j->spec.shape == HR_GANG ? 1 : MIN (left, most_listed (c, j));
    }
  }
  g_ptr_array_sort (fresh, by_deadline);
  /* Trials are what a pass costs: with more to place, each task gets fewer. */
  guint tries = MAX (c->policy.sample_lists, c->policy.pass_trials / MAX (1, queued));
  for (guint i = 0; i < fresh->len; i++) {
    HrJob *j = fresh->pdata[i];
    if (j->spec.shape == HR_GANG) {
      if (j->run.n_live == 0)
        hr_mtedf_gang (c, lists, j, MAX (tries, 2 * j->n_tasks));
      continue;
    }
    g_autoptr (GPtrArray) order = NULL;
    guint most = most_listed (c, j);
    for (guint32 k = 0; k < j->n_tasks && j->plan.n_listed < most; k++) {
      if (j->tasks[k].state != HR_TASK_IDLE || j->tasks[k].is_listed)
        continue;
      if (!order)
        order = hr_mtedf_order (c, lists, j);
      if (!hr_mtedf_task (c, order, j, k, tries)) {
        j->plan.shard = HR_NONE; /* its part cannot hold it after all: any list may */
        break;
      }
    }
  }
  hr_tabu_search (c, lists);
}
