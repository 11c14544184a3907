/* Limits of teams: grants the starts that each team's limit allows in a pass. */
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

/* How long a job may leave its grant unused before the grant is lent to other jobs, s: a service or
 * a job with tasks in machines' lists (these mostly wait for a machine to boot), and any other job.
 */
#define GRANT_HOLD_S 75.0
#define GRANT_HOLD_UNPLANNED_S 30.0
/* How long a grant is lent, s; doubled each time, up to the maximum. Long enough for a boot.
 * Meanwhile no quota is reserved and no task is stopped for the job. */
#define MIN_LENDING_S 90.0
#define MAX_LENDING_S 360.0
/* A job that only a reservation has delayed for this long gets one start unit (all tasks of a
 * gang), s. */
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
  guint n = job->spec.shape == HR_GANG && !job->run.n_live ? hr_job_idle_tasks (job) : 1;
  return MAX (n, 1); /* callers divide by it, so it must not be 0 */
}

/* Compares by the order of grants: incomplete gangs first, because their remaining tasks occupy
 * machines while they wait for a replacement; then by priority, then by deadline. */
static int
compare_by_grant_order (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  gboolean first_incomplete = first->run.gang_incomplete_since > 0;
  gboolean second_incomplete = second->run.gang_incomplete_since > 0;
  if (first_incomplete != second_incomplete)
    return first_incomplete ? -1 : 1;
  return hr_compare_by_priority_and_deadline (left, right);
}

/* Starts lending the job's grant to other jobs if the job has not used it for too long, and doubles
 * the lending time. Returns whether the grant is lent now. */
static gboolean
update_lending (HrCore *core, HrJob *job)
{
  HrJobQuota *quota = &job->quota;
  /* Services are never in lists, and count as planned. */
  gboolean is_planned = job->plan.n_listed || job->spec.shape == HR_SERVICE;
  double hold = is_planned ? GRANT_HOLD_S : GRANT_HOLD_UNPLANNED_S;
  /* A gang that waits until it requests instances again cannot use its grant before then. */
  if (core->now < MAX (quota->lent_until, job->plan.next_scale_out_at))
    return TRUE;
  if (!quota->granted_since || core->now - quota->granted_since <= hold)
    return FALSE;
  quota->lending_s = CLAMP (2 * quota->lending_s, MIN_LENDING_S, MAX_LENDING_S);
  quota->lent_until = core->now + quota->lending_s;
  return TRUE;
}

/* Returns whether the reservation for an earlier job restricts this job, which is so unless this
 * job is expected to end before the earlier one can start. */
static gboolean
is_restricted_by_reservation (HrCore *core, const HrTeamUsage *usage, const HrJob *job)
{
  return usage->has_reservation &&
         core->now + hr_estimate_longest_run_time (core, job) > usage->shadow_time;
}

/* Returns how many start units (hr_job_start_unit()) of the job may start under the limit, at most
 * `max_units`. is_restricted: the result of is_restricted_by_reservation(). */
static guint
startable_units (HrCore *core, const HrTeamUsage *usage, HrJob *job, gboolean is_restricted,
                 guint max_units)
{
  HrQuota unit = hr_quota_of (&job->spec, hr_job_start_unit (job)), available = usage->available;
  if (is_restricted)
    available = hr_quota_min (available, usage->backfill);
  guint n = hr_quota_multiples (available, unit, max_units);
  if (!is_restricted || n || !hr_quota_multiples (usage->available, unit, 1)) {
    job->quota.blocked_by_reservation_since = 0;
    return n;
  }
  if (!job->quota.blocked_by_reservation_since)
    job->quota.blocked_by_reservation_since = core->now;
  return core->now - job->quota.blocked_by_reservation_since > MAX_RESERVATION_WAIT_S;
}

/* Records the grant, and since when the job could have used it. */
static void
set_grant (HrCore *core, HrJob *job, guint granted)
{
  job->quota.granted = granted;
  job->quota.grant_lent = update_lending (core, job);
  if (!granted || job->quota.grant_lent)
    job->quota.granted_since = 0;
  else if (!job->quota.granted_since)
    job->quota.granted_since = core->now;
}

/* Grants the job as many starts as the team's limit leaves for it. */
static void
grant_starts (HrCore *core, HrTeamUsage *usage, HrJob *job)
{
  guint unit = hr_job_start_unit (job), max_units = hr_job_idle_tasks (job) / unit;
  gboolean is_restricted = is_restricted_by_reservation (core, usage, job);
  guint n = startable_units (core, usage, job, is_restricted, max_units);
  set_grant (core, job, n * unit);
  if (job->quota.grant_lent)
    return; /* its quota stays available to other jobs */
  if (n) {
    HrQuota granted = hr_quota_of (&job->spec, job->quota.granted);
    hr_quota_subtract (&usage->available, granted);
    if (is_restricted || !usage->has_reservation)
      hr_quota_subtract (&usage->backfill, granted);
  }
  if (n < max_units && !usage->has_reservation)
    hr_quota_reserve (core, usage, job);
}

/* Subtracts the headroom of a class from the quota that its teams' limits leave. Returns how many
 * of the wanted tasks fit. */
static guint
allocate_headroom (HrCore *core, const HrClassStats *stats, guint wanted)
{
  guint n = 0;
  for (guint team = 0; team < core->scheduling.team_usage->len && n < wanted; team++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, team);
    HrQuota one = {stats->cpus, stats->gpus};
    /* Teams with the same index modulo TEAM_BITS share a bit, so a team without jobs of the class
     * may be included. */
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

/* Limits the headroom of each class to the quota that its teams' limits leave, higher priorities
 * first. */
static void
limit_headroom (HrCore *core)
{
  for (HrPriority priority = HR_PRIORITY_PRODUCTION; priority <= HR_PRIORITY_LOW; priority++)
    for (guint k = 0; k < core->scheduling.class_stats->len; k++) {
      HrClassStats *stats = &g_array_index (core->scheduling.class_stats, HrClassStats, k);
      if (stats->priority == priority)
        stats->headroom = allocate_headroom (core, stats, hr_headroom_wanted (core, k));
    }
}

/* Collects the waiting jobs of limited teams, in the order of grants. */
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
  g_ptr_array_sort (waiting, compare_by_grant_order);
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
    grant_starts (core, hr_team_usage (core, job->spec.team), job);
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
  quota->lent_until = quota->lending_s = 0;
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
