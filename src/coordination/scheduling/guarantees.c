/* Guarantees of teams. */
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"

int
hr_by_submission (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (first->submitted_at != second->submitted_at)
    return first->submitted_at < second->submitted_at ? -1 : 1;
  return first->index < second->index ? -1 : first->index > second->index;
}

/* What a job within its team's guarantee may keep others waiting for, s: by then what was
 * stopped for it is gone, or no machine is to be had. The pause that follows doubles; it is long
 * enough for a boot. */
#define RECLAIM_S 45.0
#define RECLAIM_PAUSE_S 90.0
#define MAX_RECLAIM_PAUSE_S 360.0

/* May the others borrow nothing, as this job waits? */
static gboolean
is_reclaiming (HrCore *core, HrJob *job)
{
  if (!job->quota.within_guarantee || job->run.n_live + job->n_done >= job->n_tasks ||
      core->now < job->run.retry_at || !hr_quotas_granted (core, job)) {
    job->quota.reclaiming_since = 0;
    return FALSE;
  }
  if (core->now < job->quota.next_reclaim_at)
    return FALSE;
  if (!job->quota.reclaiming_since)
    job->quota.reclaiming_since = core->now;
  if (core->now - job->quota.reclaiming_since <= RECLAIM_S)
    return TRUE;
  job->quota.reclaiming_since = 0;
  job->quota.reclaim_pause_s =
      CLAMP (2 * job->quota.reclaim_pause_s, RECLAIM_PAUSE_S, MAX_RECLAIM_PAUSE_S);
  job->quota.next_reclaim_at = core->now + job->quota.reclaim_pause_s;
  g_message ("%s is within its team's guarantee and finds no machine; others go on for %.0f s",
             job->id, job->quota.reclaim_pause_s);
  return FALSE;
}

/* Marks the jobs that fit into their team's guarantee together with its earlier unfinished
 * ones: they need not wait for other teams. With one team there is nobody to wait for. */
void
hr_guarantees_mark_jobs (HrCore *core)
{
  core->scheduling.guaranteed_job_waits = FALSE;
  if (core->settings->teams->len < 2)
    return;
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    job->quota.within_guarantee = job->quota.reclaims_guarantee = FALSE;
    if (job->state == HR_JOB_QUEUED && job->tasks)
      g_ptr_array_add (jobs, job);
  }
  g_ptr_array_sort (jobs, hr_by_submission);
  for (guint k = 0; k < core->settings->teams->len; k++) {
    const HrTeam *team = &g_array_index (core->settings->teams, HrTeam, k);
    double cpus = 0, gpus = 0;
    for (guint i = 0; i < jobs->len; i++) {
      HrJob *job = jobs->pdata[i];
      if (job->spec.team != team->team)
        continue;
      cpus += (job->n_tasks - job->n_done) * job->spec.cpus;
      gpus += (job->n_tasks - job->n_done) * job->spec.gpus;
      job->quota.within_guarantee = cpus <= team->cpus + 1e-6 && gpus <= team->gpus + 1e-6;
      job->quota.reclaims_guarantee = is_reclaiming (core, job);
      core->scheduling.guaranteed_job_waits |= job->quota.reclaims_guarantee;
    }
  }
}

/* What a team is guaranteed it gets from those that run beyond theirs. Gangs of several tasks
 * begin when all their places are there, so a part of them makes room for nothing. */
void
hr_guarantees_preempt (HrCore *core, HrFreeCapacity *capacities)
{
  for (guint i = 0; core->scheduling.guaranteed_job_waits && i < core->store.tables.open_jobs->len;
       i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    if (!job->quota.reclaims_guarantee || job->state != HR_JOB_QUEUED ||
        job->spec.shape == HR_SERVICE || job->run.attempt_ending || core->now < job->run.retry_at)
      continue;
    for (guint32 k = job->run.n_live + job->n_done; k < job->n_tasks; k++)
      if (!hr_preempt (core, job, capacities, TRUE))
        break;
  }
}

/* May n more tasks of the job be on machines, as far as limits and guarantees go? */
gboolean
hr_team_allows_start (HrCore *core, const HrJob *job, guint n)
{
  /* While a job within its team's guarantee waits, the others borrow nothing more: what is
   * stopped or ends makes room for that job. */
  if (core->scheduling.guaranteed_job_waits && !job->quota.within_guarantee &&
      hr_team_exceeds_guarantee (core, job, n))
    return FALSE;
  return hr_quotas_granted (core, job) >= n;
}

/* Does the team run more than it is guaranteed (over), or would n more tasks stay within? */
gboolean
hr_team_exceeds_guarantee (HrCore *core, const HrJob *job, guint n)
{
  const HrTeam *team = hr_team (core, job->spec.team);
  if (!team)
    return TRUE;
  HrQuota used = hr_team_usage (core, job->spec.team)->used;
  return used.cpus + n * job->spec.cpus > team->cpus + 1e-6 ||
         used.gpus + n * job->spec.gpus > team->gpus + 1e-6;
}
