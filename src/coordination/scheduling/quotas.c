/* Limits of teams: what they let start in a pass, and in which order. */
#include "coordination/scheduling/quotas.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/headroom.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/quota_reservation.h"
#include "coordination/scheduling/start_check.h"

/* A grant lasts for so long without a start, s: where tasks of the job stand in lists (they wait
 * for a boot, mostly), and where none does. Then its share is lent, for a pause that doubles and is
 * long enough for a boot: meanwhile nothing is reserved or stopped for the job. */
#define GRANT_HOLD_S 75.0
#define GRANT_HOLD_UNPLANNED_S 30.0
#define LENDING_PAUSE_S 90.0
#define MAX_LENDING_PAUSE_S 360.0
/* A job that a reservation alone has held up for so long gets one start, s. */
#define MAX_RESERVATION_WAIT_S 60.0
/* Bits of the set of teams of a class (HrClassStats.teams). */
#define TEAM_BITS 64

guint
hr_job_idle_tasks (const HrJob *job)
{
  return job->n_tasks - MIN (job->n_tasks, job->run.n_live + job->n_done);
}

guint
hr_job_start_unit (const HrJob *job)
{
  guint whole = job->spec.shape == HR_GANG && !job->run.n_live ? hr_job_idle_tasks (job) : 1;
  return MAX (whole, 1); /* what waits has a task to start; callers divide by this */
}

/* A gang that lost a task occupies the machines of the others meanwhile, so it goes first. */
static int
by_grant (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  gboolean first_incomplete = first->run.gang_incomplete_since > 0;
  gboolean second_incomplete = second->run.gang_incomplete_since > 0;
  if (first_incomplete != second_incomplete)
    return first_incomplete ? -1 : 1;
  if (hr_job_priority (first) != hr_job_priority (second))
    return hr_job_priority (first) < hr_job_priority (second) ? -1 : 1;
  return hr_by_deadline (left, right);
}

/* Has the job had its share for long enough without using it? */
static gboolean
grant_has_lapsed (HrCore *core, HrJob *job)
{
  HrJobQuota *quota = &job->quota;
  /* Services stand in no list. */
  gboolean is_placed = job->plan.n_listed || job->spec.shape == HR_SERVICE;
  double hold = is_placed ? GRANT_HOLD_S : GRANT_HOLD_UNPLANNED_S;
  if (core->now < MAX (quota->lent_until, job->plan.next_scale_out_at))
    return TRUE;
  if (!quota->granted_since || core->now - quota->granted_since <= hold)
    return FALSE;
  quota->lending_pause_s = CLAMP (2 * quota->lending_pause_s, LENDING_PAUSE_S, MAX_LENDING_PAUSE_S);
  quota->lent_until = core->now + quota->lending_pause_s;
  return TRUE;
}

/* Does the reservation for an earlier job count for this one? Not where it should end before that
 * job can start. */
static gboolean
is_behind_reservation (HrCore *core, const HrTeamUsage *usage, const HrJob *job)
{
  return usage->has_reservation &&
         core->now + hr_estimate_longest_run_time (core, job) > usage->shadow_time;
}

/* How many units (hr_job_start_unit()) of the job the limit lets start, at most so many. */
static guint
startable_units (HrCore *core, const HrTeamUsage *usage, HrJob *job, gboolean is_behind, guint most)
{
  HrQuota unit = hr_quota_of (&job->spec, hr_job_start_unit (job)), available = usage->available;
  if (is_behind)
    available = hr_quota_min (available, usage->backfill);
  guint n = hr_quota_multiples (available, unit, most);
  if (!is_behind || n || !hr_quota_multiples (usage->available, unit, 1)) {
    job->quota.blocked_by_reservation_since = 0;
    return n;
  }
  if (!job->quota.blocked_by_reservation_since)
    job->quota.blocked_by_reservation_since = core->now;
  return core->now - job->quota.blocked_by_reservation_since > MAX_RESERVATION_WAIT_S;
}

/* Notes the grant, and since when the job could have used it. */
static void
set_grant (HrCore *core, HrJob *job, guint granted)
{
  job->quota.granted = granted;
  job->quota.grant_lent = grant_has_lapsed (core, job);
  if (!granted || job->quota.grant_lent)
    job->quota.granted_since = 0;
  else if (!job->quota.granted_since)
    job->quota.granted_since = core->now;
}

/* Hands the job as many starts as the team's limit leaves for it. */
static void
grant (HrCore *core, HrTeamUsage *usage, HrJob *job)
{
  guint unit = hr_job_start_unit (job), most = hr_job_idle_tasks (job) / unit;
  gboolean is_behind = is_behind_reservation (core, usage, job);
  guint n = startable_units (core, usage, job, is_behind, most);
  set_grant (core, job, n * unit);
  if (job->quota.grant_lent)
    return; /* others may use what it does not start with */
  if (n) {
    HrQuota granted = hr_quota_of (&job->spec, job->quota.granted);
    hr_quota_subtract (&usage->available, granted);
    if (is_behind || !usage->has_reservation)
      hr_quota_subtract (&usage->backfill, granted);
  }
  if (n < most && !usage->has_reservation)
    hr_quota_reserve (core, usage, job);
}

/* Takes the headroom of one class, as far as its teams' limits leave it. Returns how many tasks. */
static guint
take_headroom (HrCore *core, const HrClassStats *stats, guint wanted)
{
  guint n = 0;
  for (guint team = 0; team < core->scheduling.team_usage->len && n < wanted; team++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, team);
    HrQuota one = {stats->cpus, stats->gpus};
    if (!(stats->teams >> team % TEAM_BITS & 1))
      continue;
    guint more = wanted - n;
    if (usage->is_limited)
      more = hr_quota_multiples (hr_quota_min (usage->available, usage->backfill), one, more);
    HrQuota taken = hr_quota_multiply (one, more);
    hr_quota_subtract (&usage->available, taken);
    hr_quota_subtract (&usage->backfill, taken);
    n += more;
  }
  return n;
}

/* Headroom for the next arrivals counts only as far as their teams' limits leave it, higher
 * priorities first. */
static void
limit_headroom (HrCore *core)
{
  for (HrPriority priority = HR_PRIORITY_PRODUCTION; priority <= HR_PRIORITY_LOW; priority++)
    for (guint k = 0; k < core->scheduling.class_stats->len; k++) {
      HrClassStats *stats = &g_array_index (core->scheduling.class_stats, HrClassStats, k);
      if (stats->priority == priority)
        stats->headroom = take_headroom (core, stats, hr_headroom_wanted (core, k));
    }
}

/* The jobs of limited teams that wait, in the order of their grants. */
static void
collect_waiting_jobs (HrCore *core)
{
  GPtrArray *waiting = core->scheduling.waiting_jobs;
  g_ptr_array_set_size (waiting, 0);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    job->quota.granted = 0;
    if (!hr_team_usage (core, job->spec.team)->is_limited)
      continue;
    if (hr_job_is_waiting (core, job))
      g_ptr_array_add (waiting, job);
    else
      job->quota.granted_since = job->quota.blocked_by_reservation_since = 0;
  }
  g_ptr_array_sort (waiting, by_grant);
}

void
hr_quotas_pass (HrCore *core)
{
  if (!core->scaling.machine_types)
    return;
  hr_team_usage_count (core);
  collect_waiting_jobs (core);
  for (guint i = 0; i < core->scheduling.waiting_jobs->len; i++) {
    HrJob *job = core->scheduling.waiting_jobs->pdata[i];
    grant (core, hr_team_usage (core, job->spec.team), job);
  }
  limit_headroom (core);
}

void
hr_quotas_task_started (HrCore *core, HrJob *job)
{
  HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
  HrJobQuota *quota = &job->quota;
  hr_quota_add (&usage->used, hr_quota_of (&job->spec, 1));
  quota->granted -= quota->granted > 0;
  quota->granted_since = quota->blocked_by_reservation_since = 0;
  quota->lent_until = quota->lending_pause_s = 0;
  quota->reclaiming_since = quota->reclaim_pause_s = 0;
}

guint
hr_quotas_granted (HrCore *core, const HrJob *job)
{
  HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
  if (!usage->is_limited)
    return G_MAXUINT;
  HrQuota available = usage->limit;
  hr_quota_subtract (&available, usage->used);
  return hr_quota_multiples (available, hr_quota_of (&job->spec, 1), job->quota.granted);
}
