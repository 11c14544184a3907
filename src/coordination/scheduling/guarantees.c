/* Guarantees of teams. */
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/free_capacity.h"

int
hr_by_submission (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (x->submitted_at != y->submitted_at)
    return x->submitted_at < y->submitted_at ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

/* What a job within its team's guarantee may keep others waiting for, s: by then what was
 * stopped for it is gone, or no machine is to be had. The pause that follows doubles; it is long
 * enough for a boot. */
#define RECLAIM_S 45.0
#define RECLAIM_PAUSE_S 90.0
#define MAX_RECLAIM_PAUSE_S 360.0

/* May the others borrow nothing, as this job waits? */
static gboolean
is_reclaiming (HrCore *c, HrJob *j)
{
  if (!j->quota.within_guarantee || j->run.n_live + j->n_done >= j->n_tasks ||
      c->now < j->run.retry_at || !hr_quotas_granted (c, j)) {
    j->quota.reclaiming_since = 0;
    return FALSE;
  }
  if (c->now < j->quota.next_reclaim_at)
    return FALSE;
  if (!j->quota.reclaiming_since)
    j->quota.reclaiming_since = c->now;
  if (c->now - j->quota.reclaiming_since <= RECLAIM_S)
    return TRUE;
  j->quota.reclaiming_since = 0;
  j->quota.reclaim_pause_s =
      CLAMP (2 * j->quota.reclaim_pause_s, RECLAIM_PAUSE_S, MAX_RECLAIM_PAUSE_S);
  j->quota.next_reclaim_at = c->now + j->quota.reclaim_pause_s;
  g_message ("%s is within its team's guarantee and finds no machine; others go on for %.0f s",
             j->id, j->quota.reclaim_pause_s);
  return FALSE;
}

/* Marks the jobs that fit into their team's guarantee together with its earlier unfinished
 * ones: they need not wait for other teams. With one team there is nobody to wait for. */
void
hr_guarantees_mark_jobs (HrCore *c)
{
  c->scheduling.guaranteed_job_waits = FALSE;
  if (c->settings->teams->len < 2)
    return;
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    j->quota.within_guarantee = j->quota.reclaims_guarantee = FALSE;
    if (j->state == HR_JOB_QUEUED && j->tasks)
      g_ptr_array_add (jobs, j);
  }
  g_ptr_array_sort (jobs, hr_by_submission);
  for (guint k = 0; k < c->settings->teams->len; k++) {
    const HrTeam *t = &g_array_index (c->settings->teams, HrTeam, k);
    double cpus = 0, gpus = 0;
    for (guint i = 0; i < jobs->len; i++) {
      HrJob *j = jobs->pdata[i];
      if (j->spec.team != t->team)
        continue;
      cpus += (j->n_tasks - j->n_done) * j->spec.cpus;
      gpus += (j->n_tasks - j->n_done) * j->spec.gpus;
      j->quota.within_guarantee = cpus <= t->cpus + 1e-6 && gpus <= t->gpus + 1e-6;
      j->quota.reclaims_guarantee = is_reclaiming (c, j);
      c->scheduling.guaranteed_job_waits |= j->quota.reclaims_guarantee;
    }
  }
}

/* What a team is guaranteed it gets from those that run beyond theirs. Gangs of several tasks
 * begin when all their places are there, so a part of them makes room for nothing. */
void
hr_guarantees_preempt (HrCore *c, HrFreeCapacity *capacities)
{
  for (guint i = 0; c->scheduling.guaranteed_job_waits && i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    if (!j->quota.reclaims_guarantee || j->state != HR_JOB_QUEUED || j->spec.shape == HR_SERVICE ||
        j->run.attempt_ending || c->now < j->run.retry_at)
      continue;
    for (guint32 k = j->run.n_live + j->n_done; k < j->n_tasks; k++)
      if (!hr_preempt (c, j, capacities, TRUE))
        break;
  }
}

/* May n more tasks of the job be on machines, as far as limits and guarantees go? */
gboolean
hr_team_allows_start (HrCore *c, const HrJob *j, guint n)
{
  /* While a job within its team's guarantee waits, the others borrow nothing more: what is
   * stopped or ends makes room for that job. */
  if (c->scheduling.guaranteed_job_waits && !j->quota.within_guarantee &&
      hr_team_exceeds_guarantee (c, j, n))
    return FALSE;
  return hr_quotas_granted (c, j) >= n;
}

/* Does the team run more than it is guaranteed (over), or would n more tasks stay within? */
gboolean
hr_team_exceeds_guarantee (HrCore *c, const HrJob *j, guint n)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  if (!t)
    return TRUE;
  HrQuota used = hr_team_usage (c, j->spec.team)->used;
  return used.cpus + n * j->spec.cpus > t->cpus + 1e-6 ||
         used.gpus + n * j->spec.gpus > t->gpus + 1e-6;
}
