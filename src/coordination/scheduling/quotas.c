/* Limits of teams: what they let start, in which order, and for whom room is made.
 *
 * Each pass hands out what a team's limit leaves to the jobs that wait, by rank, then by
 * deadline; gangs get all or nothing. Plans, rentals and spare room count these grants alone,
 * so no machine is rented or kept for what the limit holds back. What the first job that does
 * not fit leaves over is reserved for it: others get of it what ends, by estimate, before
 * running work makes room for that job, or what fits beside it then (EASY backfilling: Lifka,
 * The ANL/IBM SP scheduling system). */
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/free_capacity.h"

/* A job keeps its grant for so long without a start, s: with places in lists (a boot, mostly),
 * and where no machine of the fleet has one. Then its share is lent, for a pause that doubles
 * and is long enough for a boot: meanwhile nothing is kept or stopped for the job. */
#define GRANT_HOLD_S 75.0
#define GRANT_HOLD_UNPLANNED_S 30.0
#define LENDING_PAUSE_S 90.0
#define MAX_LENDING_PAUSE_S 360.0
/* A job that a reservation alone has held back for so long gets one start, s. */
#define MAX_RESERVATION_WAIT_S 60.0

HrTeamUsage *
hr_team_usage (HrCore *c, guint32 team)
{
  if (team >= c->scheduling.team_usage->len)
    g_array_set_size (c->scheduling.team_usage, team + 1);
  return &g_array_index (c->scheduling.team_usage, HrTeamUsage, team);
}

/* What each team uses: every task that is not proven gone, those of withdrawn jobs and those
 * that an earlier owner's record binds included. */
static void
count_usage (HrCore *c)
{
  g_array_set_size (c->scheduling.team_usage, 0);
  for (guint i = 0; i < c->settings->teams->len; i++) {
    const HrTeam *t = &g_array_index (c->settings->teams, HrTeam, i);
    HrTeamUsage *u = hr_team_usage (c, t->team);
    u->is_limited = t->cpus_max > 0 || t->gpus_max > 0;
    u->limit.cpus = t->cpus_max > 0 ? t->cpus_max : INFINITY;
    u->limit.gpus = t->gpus_max > 0 ? t->gpus_max : INFINITY;
    u->shadow_time = INFINITY;
  }
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    HrTeamUsage *u = hr_team_usage (c, j->spec.team);
    guint n = j->run.n_live;
    /* Its tasks may be anywhere; none is known. */
    if (j->record.tasks_unreadable && c->now < j->run.retry_at)
      n = j->n_tasks - j->n_done;
    hr_quota_add (&u->used, hr_quota_of (&j->spec, n));
    if (j->state != HR_JOB_QUEUED || !j->tasks || !u->is_limited)
      continue;
    for (guint32 k = 0; k < j->n_tasks && j->run.n_live; k++)
      if (j->tasks[k].state == HR_TASK_BOUND && j->tasks[k].stop_wanted)
        hr_quota_add (&u->ending, hr_quota_of (&j->spec, 1));
  }
  for (guint i = 0; i < c->scheduling.team_usage->len; i++) {
    HrTeamUsage *u = &g_array_index (c->scheduling.team_usage, HrTeamUsage, i);
    u->available = u->is_limited ? u->limit : (HrQuota){INFINITY, INFINITY};
    hr_quota_subtract (&u->available, u->used);
    u->backfill = u->available;
  }
}

guint
hr_job_idle_tasks (const HrJob *j)
{
  return j->n_tasks - MIN (j->n_tasks, j->run.n_live + j->n_done);
}

static gboolean
is_waiting (const HrCore *c, const HrJob *j)
{
  return j->state == HR_JOB_QUEUED && j->tasks && !j->run.attempt_ending && hr_job_idle_tasks (j) &&
         c->now >= j->run.retry_at;
}

/* What starts at once or not at all: a gang; of other jobs, and of a gang that lost tasks
 * before its start, one task. */
guint
hr_job_start_unit (const HrJob *j)
{
  guint whole = j->spec.shape == HR_GANG && !j->run.n_live ? hr_job_idle_tasks (j) : 1;
  return MAX (whole, 1); /* what waits has a task to start; callers divide by this */
}

/* A gang that lost a task occupies the places of the others meanwhile, so it goes first. */
static int
by_start (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  gboolean short_x = x->run.gang_incomplete_since > 0, short_y = y->run.gang_incomplete_since > 0;
  if (short_x != short_y)
    return short_x ? -1 : 1;
  if (hr_job_priority (x) != hr_job_priority (y))
    return hr_job_priority (x) < hr_job_priority (y) ? -1 : 1;
  if (x->plan.deadline != y->plan.deadline)
    return x->plan.deadline < y->plan.deadline ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

/* Expected run time where the image has to be fetched; services have no end. */
static double
run_time (HrCore *c, const HrJob *j)
{
  double fetch = 0, run = j->spec.estimate_s > 0 ? j->spec.estimate_s : 60;
  if (j->spec.shape == HR_SERVICE)
    return INFINITY;
  for (guint i = 0; i < c->scaling.machine_types->len; i++)
    fetch = MAX (fetch, j->spec.image_gb /
                            g_array_index (c->scaling.machine_types, HrMachineType, i).fetch_rate);
  return run * hr_class_stats (c, j->spec.job_class)->run_time_correction + fetch;
}

/* A task of the team, and when its share of the limit is free again. */
typedef struct {
  double end;
  HrQuota quota;
} Release;

static int
by_end (gconstpointer a, gconstpointer b)
{
  double x = ((const Release *)a)->end, y = ((const Release *)b)->end;
  return x < y ? -1 : x > y;
}

static double
release_at (HrCore *c, HrJob *j, const HrTask *t)
{
  HrMachine *m = c->store.tables.machines->pdata[t->placement.machine];
  if (t->state == HR_TASK_BOUND && (t->stop_wanted || j->state != HR_JOB_QUEUED))
    return c->now + (hr_machine_is_reachable (c, m) ? t->stop_grace_s + PREEMPTION_S
                                                    : hr_lease_duration_s (c));
  return hr_estimate_running_end (c, j, t, m);
}

/* When does running work make room for the job, and what is left beside it then? */
static void
reserve (HrCore *c, HrTeamUsage *u, const HrJob *head)
{
  g_autoptr (GArray) releases = g_array_new (FALSE, FALSE, sizeof (Release));
  HrQuota need = hr_quota_of (&head->spec, hr_job_start_unit (head)), capacity = u->available;
  u->has_reservation = TRUE;
  u->shadow_time = INFINITY;
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    if (j->spec.team != head->spec.team || !j->tasks)
      continue;
    for (guint32 k = 0; k < j->n_tasks && j->run.n_live; k++) {
      const HrTask *t = &j->tasks[k];
      if (t->state != HR_TASK_ASSIGNING && t->state != HR_TASK_BOUND)
        continue;
      Release r = {release_at (c, j, t), hr_quota_of (&j->spec, 1)};
      g_array_append_val (releases, r);
    }
  }
  g_array_sort (releases, by_end);
  for (guint i = 0; i < releases->len && !isfinite (u->shadow_time); i++) {
    const Release *r = &g_array_index (releases, Release, i);
    if (!isfinite (r->end))
      break;
    hr_quota_add (&capacity, r->quota);
    if (hr_quota_covers (capacity, need))
      u->shadow_time = r->end;
  }
  if (isfinite (u->shadow_time)) {
    hr_quota_subtract (&capacity, need);
    u->backfill = hr_quota_min (u->available, capacity);
  }
}

/* The job has had its share for long enough and could not use it. */
static gboolean
grant_has_lapsed (HrCore *c, HrJob *j)
{
  /* Services stand in no list. */
  gboolean placed = j->plan.n_listed || j->spec.shape == HR_SERVICE;
  double hold = placed ? GRANT_HOLD_S : GRANT_HOLD_UNPLANNED_S;
  if (c->now < MAX (j->quota.lent_until, j->plan.next_scale_out_at))
    return TRUE;
  if (!j->quota.granted_since || c->now - j->quota.granted_since <= hold)
    return FALSE;
  j->quota.lending_pause_s =
      CLAMP (2 * j->quota.lending_pause_s, LENDING_PAUSE_S, MAX_LENDING_PAUSE_S);
  j->quota.lent_until = c->now + j->quota.lending_pause_s;
  return TRUE;
}

/* Hands the job as many starts as the team's limit leaves for it. */
static void
grant (HrCore *c, HrTeamUsage *u, HrJob *j)
{
  guint size = hr_job_start_unit (j), most = hr_job_idle_tasks (j) / size;
  HrQuota one = hr_quota_of (&j->spec, size);
  gboolean behind = u->has_reservation && c->now + run_time (c, j) > u->shadow_time;
  guint n = hr_quota_multiples (behind ? hr_quota_min (u->available, u->backfill) : u->available,
                                one, most);
  if (behind && !n && hr_quota_multiples (u->available, one, 1)) {
    if (!j->quota.kept_out_since)
      j->quota.kept_out_since = c->now;
    n = c->now - j->quota.kept_out_since > MAX_RESERVATION_WAIT_S;
  } else
    j->quota.kept_out_since = 0;
  j->quota.granted = n * size;
  j->quota.grant_lent = grant_has_lapsed (c, j);
  if (!n || j->quota.grant_lent)
    j->quota.granted_since = 0;
  else if (!j->quota.granted_since)
    j->quota.granted_since = c->now;
  if (n && !j->quota.grant_lent) {
    HrQuota all = hr_quota_of (&j->spec, j->quota.granted);
    hr_quota_subtract (&u->available, all);
    if (behind || !u->has_reservation)
      hr_quota_subtract (&u->backfill, all);
  }
  if (n < most && !u->has_reservation && !j->quota.grant_lent)
    reserve (c, u, j);
}

/* Of spare room for the next arrivals only what their teams' limits leave counts. */
static void
limit_headroom (HrCore *c)
{
  for (HrPriority priority = HR_PRIORITY_PRODUCTION; priority <= HR_PRIORITY_LOW; priority++)
    for (guint k = 0; k < c->scheduling.class_stats->len; k++) {
      HrClassStats *s = &g_array_index (c->scheduling.class_stats, HrClassStats, k);
      guint wanted = s->priority == priority ? hr_headroom_wanted (c, k) : 0, n = 0;
      if (s->priority != priority)
        continue;
      for (guint t = 0; t < c->scheduling.team_usage->len && n < wanted; t++) {
        HrTeamUsage *u = &g_array_index (c->scheduling.team_usage, HrTeamUsage, t);
        HrQuota one = {s->cpus, s->gpus}, capacity = hr_quota_min (u->available, u->backfill);
        if (!(s->teams >> t % 64 & 1))
          continue;
        guint more = u->is_limited ? hr_quota_multiples (capacity, one, wanted - n) : wanted - n;
        HrQuota all = {more * one.cpus, more * one.gpus};
        hr_quota_subtract (&u->available, all);
        hr_quota_subtract (&u->backfill, all);
        n += more;
      }
      s->headroom = n;
    }
}

void
hr_quotas_pass (HrCore *c)
{
  if (!c->scaling.machine_types)
    return;
  count_usage (c);
  g_ptr_array_set_size (c->scheduling.waiting_jobs, 0);
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    j->quota.granted = 0;
    if (!hr_team_usage (c, j->spec.team)->is_limited)
      continue;
    if (is_waiting (c, j))
      g_ptr_array_add (c->scheduling.waiting_jobs, j);
    else
      j->quota.granted_since = j->quota.kept_out_since = 0;
  }
  g_ptr_array_sort (c->scheduling.waiting_jobs, by_start);
  for (guint i = 0; i < c->scheduling.waiting_jobs->len; i++) {
    HrJob *j = c->scheduling.waiting_jobs->pdata[i];
    grant (c, hr_team_usage (c, j->spec.team), j);
  }
  limit_headroom (c);
}

void
hr_quotas_task_started (HrCore *c, HrJob *j)
{
  HrTeamUsage *u = hr_team_usage (c, j->spec.team);
  hr_quota_add (&u->used, hr_quota_of (&j->spec, 1));
  j->quota.granted -= j->quota.granted > 0;
  j->quota.granted_since = j->quota.kept_out_since = j->quota.lent_until =
      j->quota.lending_pause_s = 0;
  j->quota.reclaiming_since = j->quota.reclaim_pause_s = 0;
}

guint
hr_quotas_granted (HrCore *c, const HrJob *j)
{
  HrTeamUsage *u = hr_team_usage (c, j->spec.team);
  if (!u->is_limited)
    return G_MAXUINT;
  HrQuota now = u->limit;
  hr_quota_subtract (&now, u->used);
  return hr_quota_multiples (now, hr_quota_of (&j->spec, 1), j->quota.granted);
}
