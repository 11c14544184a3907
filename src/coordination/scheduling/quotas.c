/* Limits of teams: what they let start, in which order, and for whom room is made.
 *
 * Each pass hands out what a team's limit leaves to the jobs that wait, by priority, then by
 * deadline; gangs get all or nothing. Plans, rentals and spare room count these grants alone,
 * so no machine is rented or kept for what the limit holds back. What the first job that does
 * not fit leaves over is reserved for it: others get of it what ends, by estimate, before
 * running work makes room for that job, or what fits beside it then (EASY backfilling: Lifka,
 * The ANL/IBM SP scheduling system). */
#include "coordination/scheduling/quotas.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quota.h"
#include "coordination/state.h"

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
hr_team_usage (HrCore *core, guint32 team)
{
  if (team >= core->scheduling.team_usage->len)
    g_array_set_size (core->scheduling.team_usage, team + 1);
  return &g_array_index (core->scheduling.team_usage, HrTeamUsage, team);
}

/* What each team uses: every task that is not proven gone, those of cancelled jobs and those
 * that an earlier leader's record binds included. */
static void
count_usage (HrCore *core)
{
  g_array_set_size (core->scheduling.team_usage, 0);
  for (guint i = 0; i < core->settings->teams->len; i++) {
    const HrTeam *team = &g_array_index (core->settings->teams, HrTeam, i);
    HrTeamUsage *usage = hr_team_usage (core, team->team);
    usage->is_limited = team->cpus_max > 0 || team->gpus_max > 0;
    usage->limit.cpus = team->cpus_max > 0 ? team->cpus_max : INFINITY;
    usage->limit.gpus = team->gpus_max > 0 ? team->gpus_max : INFINITY;
    usage->shadow_time = INFINITY;
  }
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
    guint n = job->run.n_live;
    /* Its tasks may be anywhere; none is known. */
    if (job->record.tasks_unreadable && core->now < job->run.retry_at)
      n = job->n_tasks - job->n_done;
    hr_quota_add (&usage->used, hr_quota_of (&job->spec, n));
    if (job->state != HR_JOB_QUEUED || !job->tasks || !usage->is_limited)
      continue;
    for (guint32 k = 0; k < job->n_tasks && job->run.n_live; k++)
      if (job->tasks[k].state == HR_TASK_BOUND && job->tasks[k].stop_wanted)
        hr_quota_add (&usage->ending, hr_quota_of (&job->spec, 1));
  }
  for (guint i = 0; i < core->scheduling.team_usage->len; i++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, i);
    usage->available = usage->is_limited ? usage->limit : (HrQuota){INFINITY, INFINITY};
    hr_quota_subtract (&usage->available, usage->used);
    usage->backfill = usage->available;
  }
}

guint
hr_job_idle_tasks (const HrJob *job)
{
  return job->n_tasks - MIN (job->n_tasks, job->run.n_live + job->n_done);
}

static gboolean
is_waiting (const HrCore *core, const HrJob *job)
{
  return job->state == HR_JOB_QUEUED && job->tasks && !job->run.attempt_ending &&
         hr_job_idle_tasks (job) && core->now >= job->run.retry_at;
}

/* What starts at once or not at all: a gang; of other jobs, and of a gang that lost tasks
 * before its start, one task. */
guint
hr_job_start_unit (const HrJob *job)
{
  guint whole = job->spec.shape == HR_GANG && !job->run.n_live ? hr_job_idle_tasks (job) : 1;
  return MAX (whole, 1); /* what waits has a task to start; callers divide by this */
}

/* A gang that lost a task occupies the places of the others meanwhile, so it goes first. */
static int
by_start (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  gboolean short_x = first->run.gang_incomplete_since > 0,
           short_y = second->run.gang_incomplete_since > 0;
  if (short_x != short_y)
    return short_x ? -1 : 1;
  if (hr_job_priority (first) != hr_job_priority (second))
    return hr_job_priority (first) < hr_job_priority (second) ? -1 : 1;
  if (first->plan.deadline != second->plan.deadline)
    return first->plan.deadline < second->plan.deadline ? -1 : 1;
  return first->index < second->index ? -1 : first->index > second->index;
}

/* Expected run time where the image has to be fetched; services have no end. */
static double
run_time (HrCore *core, const HrJob *job)
{
  double fetch = 0, run = job->spec.estimate_s > 0 ? job->spec.estimate_s : 60;
  if (job->spec.shape == HR_SERVICE)
    return INFINITY;
  for (guint i = 0; i < core->scaling.machine_types->len; i++)
    fetch =
        MAX (fetch, job->spec.image_gb /
                        g_array_index (core->scaling.machine_types, HrMachineType, i).fetch_rate);
  return run * hr_class_stats (core, job->spec.job_class)->run_time_correction + fetch;
}

/* A task of the team, and when its share of the limit is free again. */
typedef struct {
  double end;
  HrQuota quota;
} Release;

static int
by_end (gconstpointer left, gconstpointer right)
{
  double first = ((const Release *)left)->end, second = ((const Release *)right)->end;
  return first < second ? -1 : first > second;
}

static double
release_at (HrCore *core, HrJob *job, const HrTask *task)
{
  HrMachine *machine = core->store.tables.machines->pdata[task->placement.machine];
  if (task->state == HR_TASK_BOUND && (task->stop_wanted || job->state != HR_JOB_QUEUED))
    return core->now + (hr_machine_is_reachable (core, machine) ? task->stop_grace_s + PREEMPTION_S
                                                                : hr_lease_duration_s (core));
  return hr_estimate_running_end (core, job, task, machine);
}

/* When does running work make room for the job, and what is left beside it then? */
static void
reserve (HrCore *core, HrTeamUsage *usage, const HrJob *head)
{
  g_autoptr (GArray) releases = g_array_new (FALSE, FALSE, sizeof (Release));
  HrQuota need = hr_quota_of (&head->spec, hr_job_start_unit (head)), capacity = usage->available;
  usage->has_reservation = TRUE;
  usage->shadow_time = INFINITY;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    if (job->spec.team != head->spec.team || !job->tasks)
      continue;
    for (guint32 k = 0; k < job->n_tasks && job->run.n_live; k++) {
      const HrTask *task = &job->tasks[k];
      if (task->state != HR_TASK_ASSIGNING && task->state != HR_TASK_BOUND)
        continue;
      Release release = {release_at (core, job, task), hr_quota_of (&job->spec, 1)};
      g_array_append_val (releases, release);
    }
  }
  g_array_sort (releases, by_end);
  for (guint i = 0; i < releases->len && !isfinite (usage->shadow_time); i++) {
    const Release *release = &g_array_index (releases, Release, i);
    if (!isfinite (release->end))
      break;
    hr_quota_add (&capacity, release->quota);
    if (hr_quota_covers (capacity, need))
      usage->shadow_time = release->end;
  }
  if (isfinite (usage->shadow_time)) {
    hr_quota_subtract (&capacity, need);
    usage->backfill = hr_quota_min (usage->available, capacity);
  }
}

/* The job has had its share for long enough and could not use it. */
static gboolean
grant_has_lapsed (HrCore *core, HrJob *job)
{
  /* Services stand in no list. */
  gboolean placed = job->plan.n_listed || job->spec.shape == HR_SERVICE;
  double hold = placed ? GRANT_HOLD_S : GRANT_HOLD_UNPLANNED_S;
  if (core->now < MAX (job->quota.lent_until, job->plan.next_scale_out_at))
    return TRUE;
  if (!job->quota.granted_since || core->now - job->quota.granted_since <= hold)
    return FALSE;
  job->quota.lending_pause_s =
      CLAMP (2 * job->quota.lending_pause_s, LENDING_PAUSE_S, MAX_LENDING_PAUSE_S);
  job->quota.lent_until = core->now + job->quota.lending_pause_s;
  return TRUE;
}

/* Hands the job as many starts as the team's limit leaves for it. */
static void
grant (HrCore *core, HrTeamUsage *usage, HrJob *job)
{
  guint size = hr_job_start_unit (job), most = hr_job_idle_tasks (job) / size;
  HrQuota one = hr_quota_of (&job->spec, size);
  gboolean behind = usage->has_reservation && core->now + run_time (core, job) > usage->shadow_time;
  guint n = hr_quota_multiples (
      behind ? hr_quota_min (usage->available, usage->backfill) : usage->available, one, most);
  if (behind && !n && hr_quota_multiples (usage->available, one, 1)) {
    if (!job->quota.kept_out_since)
      job->quota.kept_out_since = core->now;
    n = core->now - job->quota.kept_out_since > MAX_RESERVATION_WAIT_S;
  } else
    job->quota.kept_out_since = 0;
  job->quota.granted = n * size;
  job->quota.grant_lent = grant_has_lapsed (core, job);
  if (!n || job->quota.grant_lent)
    job->quota.granted_since = 0;
  else if (!job->quota.granted_since)
    job->quota.granted_since = core->now;
  if (n && !job->quota.grant_lent) {
    HrQuota all = hr_quota_of (&job->spec, job->quota.granted);
    hr_quota_subtract (&usage->available, all);
    if (behind || !usage->has_reservation)
      hr_quota_subtract (&usage->backfill, all);
  }
  if (n < most && !usage->has_reservation && !job->quota.grant_lent)
    reserve (core, usage, job);
}

/* Of spare room for the next arrivals only what their teams' limits leave counts. */
static void
limit_headroom (HrCore *core)
{
  for (HrPriority priority = HR_PRIORITY_PRODUCTION; priority <= HR_PRIORITY_LOW; priority++)
    for (guint k = 0; k < core->scheduling.class_stats->len; k++) {
      HrClassStats *stats = &g_array_index (core->scheduling.class_stats, HrClassStats, k);
      guint wanted = stats->priority == priority ? hr_headroom_wanted (core, k) : 0, n = 0;
      if (stats->priority != priority)
        continue;
      for (guint team = 0; team < core->scheduling.team_usage->len && n < wanted; team++) {
        HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, team);
        HrQuota one = {stats->cpus, stats->gpus},
                capacity = hr_quota_min (usage->available, usage->backfill);
        if (!(stats->teams >> team % 64 & 1))
          continue;
        guint more =
            usage->is_limited ? hr_quota_multiples (capacity, one, wanted - n) : wanted - n;
        HrQuota all = {more * one.cpus, more * one.gpus};
        hr_quota_subtract (&usage->available, all);
        hr_quota_subtract (&usage->backfill, all);
        n += more;
      }
      stats->headroom = n;
    }
}

void
hr_quotas_pass (HrCore *core)
{
  if (!core->scaling.machine_types)
    return;
  count_usage (core);
  g_ptr_array_set_size (core->scheduling.waiting_jobs, 0);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    job->quota.granted = 0;
    if (!hr_team_usage (core, job->spec.team)->is_limited)
      continue;
    if (is_waiting (core, job))
      g_ptr_array_add (core->scheduling.waiting_jobs, job);
    else
      job->quota.granted_since = job->quota.kept_out_since = 0;
  }
  g_ptr_array_sort (core->scheduling.waiting_jobs, by_start);
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
  hr_quota_add (&usage->used, hr_quota_of (&job->spec, 1));
  job->quota.granted -= job->quota.granted > 0;
  job->quota.granted_since = job->quota.kept_out_since = job->quota.lent_until =
      job->quota.lending_pause_s = 0;
  job->quota.reclaiming_since = job->quota.reclaim_pause_s = 0;
}

guint
hr_quotas_granted (HrCore *core, const HrJob *job)
{
  HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
  if (!usage->is_limited)
    return G_MAXUINT;
  HrQuota now = usage->limit;
  hr_quota_subtract (&now, usage->used);
  return hr_quota_multiples (now, hr_quota_of (&job->spec, 1), job->quota.granted);
}

const HrTeam *
hr_team (const HrCore *core, guint32 team)
{
  for (guint i = 0; i < core->settings->teams->len; i++)
    if (g_array_index (core->settings->teams, HrTeam, i).team == team)
      return &g_array_index (core->settings->teams, HrTeam, i);
  return NULL;
}
