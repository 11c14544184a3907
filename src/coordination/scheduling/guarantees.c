/* Guarantees of teams: other teams may borrow an unused guarantee, until a job reclaims it. */
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/start_check.h"

/* How long a waiting job within its team's guarantee may keep other teams from borrowing, s: by
 * then the tasks that were preempted for it have ended, or no machine is available for it. */
#define RECLAIM_TIMEOUT_S 45.0
/* How long the job's reclaim then pauses, s; doubled each time, up to the maximum. Long enough for
 * a boot. */
#define RECLAIM_PAUSE_S 90.0
#define MAX_RECLAIM_PAUSE_S 360.0

/* Pauses the reclaim of a job that has found no machine for too long: other teams may borrow again
 * for a while. */
static void
pause_reclaim (HrCore *core, HrJob *job)
{
  HrJobQuota *quota = &job->quota;
  quota->reclaiming_since = 0;
  quota->reclaim_pause_s = CLAMP (2 * quota->reclaim_pause_s, RECLAIM_PAUSE_S, MAX_RECLAIM_PAUSE_S);
  quota->next_reclaim_at = core->now + quota->reclaim_pause_s;
  g_message ("job %s is within its team's guarantee but found no machine; "
             "other teams may borrow again for %.0f s",
             job->id, quota->reclaim_pause_s);
}

/* Returns whether the job reclaims its team's guarantee, so that other teams may not borrow while
 * it waits. */
static gboolean
is_reclaiming (HrCore *core, HrJob *job)
{
  HrJobQuota *quota = &job->quota;
  if (!quota->within_guarantee || job->run.n_live + job->n_done >= job->n_tasks ||
      core->now < job->run.retry_at || !hr_quotas_granted (core, job)) {
    quota->reclaiming_since = 0;
    return FALSE;
  }
  if (core->now < quota->next_reclaim_at)
    return FALSE;
  if (!quota->reclaiming_since)
    quota->reclaiming_since = core->now;
  if (core->now - quota->reclaiming_since <= RECLAIM_TIMEOUT_S)
    return TRUE;
  pause_reclaim (core, job);
  return FALSE;
}

/* Clears the marks of all open jobs. Returns those that wait or run, in the order of submission. */
static GPtrArray *
clear_marks_and_collect (HrCore *core)
{
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    job->quota.within_guarantee = job->quota.reclaims_guarantee = FALSE;
    if (job->state == HR_JOB_QUEUED && job->tasks)
      g_ptr_array_add (jobs, job);
  }
  g_ptr_array_sort (jobs, hr_compare_by_submission);
  return jobs;
}

static HrQuota
guarantee_of (const HrTeam *team)
{
  return (HrQuota){team->cpus, team->gpus};
}

/* Marks the jobs of one team. jobs: the jobs of all teams, in the order of submission. */
static void
mark_jobs_of_team (HrCore *core, const HrTeam *team, GPtrArray *jobs)
{
  HrQuota cumulative = {0, 0};
  for (guint i = 0; i < jobs->len; i++) {
    HrJob *job = jobs->pdata[i];
    if (job->spec.team != team->team)
      continue;
    hr_quota_add (&cumulative, hr_quota_of (&job->spec, job->n_tasks - job->n_done));
    job->quota.within_guarantee = hr_quota_covers (guarantee_of (team), cumulative);
    job->quota.reclaims_guarantee = is_reclaiming (core, job);
    core->scheduling.guaranteed_job_waits |= job->quota.reclaims_guarantee;
  }
}

void
hr_guarantees_mark_jobs (HrCore *core)
{
  core->scheduling.guaranteed_job_waits = FALSE;
  if (core->settings->teams->len < 2)
    return; /* there is no other team that could borrow */
  g_autoptr (GPtrArray) jobs = clear_marks_and_collect (core);
  for (guint k = 0; k < core->settings->teams->len; k++)
    mark_jobs_of_team (core, &g_array_index (core->settings->teams, HrTeam, k), jobs);
}

static gboolean
preempts_other_teams (const HrCore *core, const HrJob *job)
{
  return job->quota.reclaims_guarantee && job->spec.shape != HR_SERVICE &&
         hr_job_is_waiting (core, job);
}

/* Frees machines one by one, also for a gang, which starts once there are enough of them. */
void
hr_guarantees_preempt (HrCore *core, HrFleetCapacity *fleet)
{
  if (!core->scheduling.guaranteed_job_waits)
    return;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (!preempts_other_teams (core, job))
      continue;
    for (guint32 k = job->run.n_live + job->n_done; k < job->n_tasks; k++)
      if (!hr_preempt (core, job, fleet, HR_PREEMPT_OTHER_TEAMS))
        break;
  }
}

gboolean
hr_team_allows_start (HrCore *core, const HrJob *job, guint n)
{
  /* While a job within its team's guarantee waits, other teams may not borrow more: capacity that
   * becomes free is meant for that job. */
  if (core->scheduling.guaranteed_job_waits && !job->quota.within_guarantee &&
      hr_team_exceeds_guarantee (core, job, n))
    return FALSE;
  return hr_quotas_granted (core, job) >= n;
}

gboolean
hr_team_exceeds_guarantee (HrCore *core, const HrJob *job, guint n)
{
  const HrTeam *team = hr_team (core, job->spec.team);
  if (!team)
    return TRUE;
  HrQuota used = hr_team_usage (core, job->spec.team)->used;
  hr_quota_add (&used, hr_quota_of (&job->spec, n));
  return !hr_quota_covers (guarantee_of (team), used);
}
