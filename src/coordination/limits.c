/* Limits of teams: what they let start, in which order, and for whom room is made.
 *
 * Each pass hands out what a team's limit leaves to the jobs that wait, by rank, then by
 * deadline; gangs get all or nothing. Plans, rentals and spare room count these grants alone,
 * so no machine is rented or kept for what the limit holds back. What the first job that does
 * not fit leaves over is reserved for it: others get of it what ends, by estimate, before
 * running work makes room for that job, or what fits beside it then (EASY backfilling: Lifka,
 * The ANL/IBM SP scheduling system). */
#include "coordination/limits.h"
#include "coordination/amount.h"
#include "coordination/room.h"

/* A job keeps its grant for so long without a start, s: with places in lists (a boot, mostly),
 * and where no machine of the fleet has one. Then its share is lent, for a pause that doubles
 * and is long enough for a boot: meanwhile nothing is kept or stopped for the job. */
#define GRANT_HOLD_S 75.0
#define GRANT_HOLD_UNPLANNED_S 30.0
#define LENT_S 90.0
#define LENT_MOST_S 360.0
/* A job that a reservation alone has held back for so long gets one start, s. */
#define KEPT_OUT_S 60.0

HrTeamUse *
hr_team_use (HrCore *c, guint32 team)
{
  if (team >= c->teams->len)
    g_array_set_size (c->teams, team + 1);
  return &g_array_index (c->teams, HrTeamUse, team);
}

/* What each team uses: every task that is not proven gone, those of withdrawn jobs and those
 * that an earlier owner's record binds included. */
static void
count_use (HrCore *c)
{
  g_array_set_size (c->teams, 0);
  for (guint i = 0; i < c->set->teams->len; i++) {
    const HrTeam *t = &g_array_index (c->set->teams, HrTeam, i);
    HrTeamUse *u = hr_team_use (c, t->team);
    u->limited = t->cpus_max > 0 || t->gpus_max > 0;
    u->limit.cpus = t->cpus_max > 0 ? t->cpus_max : INFINITY;
    u->limit.gpus = t->gpus_max > 0 ? t->gpus_max : INFINITY;
    u->shadow = INFINITY;
  }
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    HrTeamUse *u = hr_team_use (c, j->spec.team);
    guint n = j->nlive;
    /* Its tasks may be anywhere; none is known. */
    if (j->unreadable && c->now < j->retry_at)
      n = j->ntasks - j->ndone;
    hr_amount_add (&u->used, hr_amount_of (&j->spec, n));
    if (j->state != HR_JOB_QUEUED || !j->tasks || !u->limited)
      continue;
    for (guint32 k = 0; k < j->ntasks && j->nlive; k++)
      if (j->tasks[k].state == HR_TASK_BOUND && j->tasks[k].stop_wanted)
        hr_amount_add (&u->ending, hr_amount_of (&j->spec, 1));
  }
  for (guint i = 0; i < c->teams->len; i++) {
    HrTeamUse *u = &g_array_index (c->teams, HrTeamUse, i);
    u->left = u->limited ? u->limit : (HrAmount){INFINITY, INFINITY};
    hr_amount_take (&u->left, u->used);
    u->beside = u->left;
  }
}

guint
hr_limits_idle (const HrJob *j)
{
  return j->ntasks - MIN (j->ntasks, j->nlive + j->ndone);
}

static gboolean
waits (const HrCore *c, const HrJob *j)
{
  return j->state == HR_JOB_QUEUED && j->tasks && !j->gang_over && hr_limits_idle (j) &&
         c->now >= j->retry_at;
}

/* What starts at once or not at all: a gang; of other jobs, and of a gang that lost tasks
 * before its start, one task. */
guint
hr_limits_unit (const HrJob *j)
{
  guint whole = j->spec.shape == HR_GANG && !j->nlive ? hr_limits_idle (j) : 1;
  return MAX (whole, 1); /* what waits has a task to start; callers divide by this */
}

/* A gang that lost a task occupies the places of the others meanwhile, so it goes first. */
static int
by_start (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  gboolean short_x = x->short_since > 0, short_y = y->short_since > 0;
  if (short_x != short_y)
    return short_x ? -1 : 1;
  if (hr_job_rank (x) != hr_job_rank (y))
    return hr_job_rank (x) < hr_job_rank (y) ? -1 : 1;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->idx < y->idx ? -1 : x->idx > y->idx;
}

/* Expected run time where the image has to be fetched; services have no end. */
static double
run_time (HrCore *c, const HrJob *j)
{
  double fetch = 0, run = j->spec.estimate > 0 ? j->spec.estimate : 60;
  if (j->spec.shape == HR_SERVICE)
    return INFINITY;
  for (guint i = 0; i < c->types->len; i++)
    fetch = MAX (fetch, j->spec.image_gb / g_array_index (c->types, HrType, i).fetch_rate);
  return run * hr_class (c, j->spec.klass)->correction + fetch;
}

/* A task of the team, and when its share of the limit is free again. */
typedef struct {
  double end;
  HrAmount amount;
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
  HrMachine *m = c->machines->pdata[t->placement.machine];
  if (t->state == HR_TASK_BOUND && (t->stop_wanted || j->state != HR_JOB_QUEUED))
    return c->now +
           (hr_reachable (c, m) ? t->stop_grace_s + STOP_AND_START_S : hr_lease_duration_s (c));
  return hr_running_end (c, j, t, m);
}

/* When does running work make room for the job, and what is left beside it then? */
static void
reserve (HrCore *c, HrTeamUse *u, const HrJob *head)
{
  g_autoptr (GArray) releases = g_array_new (FALSE, FALSE, sizeof (Release));
  HrAmount need = hr_amount_of (&head->spec, hr_limits_unit (head)), room = u->left;
  u->reserved = TRUE;
  u->shadow = INFINITY;
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->spec.team != head->spec.team || !j->tasks)
      continue;
    for (guint32 k = 0; k < j->ntasks && j->nlive; k++) {
      const HrTask *t = &j->tasks[k];
      if (t->state != HR_TASK_ASSIGNING && t->state != HR_TASK_BOUND)
        continue;
      Release r = {release_at (c, j, t), hr_amount_of (&j->spec, 1)};
      g_array_append_val (releases, r);
    }
  }
  g_array_sort (releases, by_end);
  for (guint i = 0; i < releases->len && !isfinite (u->shadow); i++) {
    const Release *r = &g_array_index (releases, Release, i);
    if (!isfinite (r->end))
      break;
    hr_amount_add (&room, r->amount);
    if (hr_amount_holds (room, need))
      u->shadow = r->end;
  }
  if (isfinite (u->shadow)) {
    hr_amount_take (&room, need);
    u->beside = hr_amount_least (u->left, room);
  }
}

/* The job has had its share for long enough and could not use it. */
static gboolean
lapsed (HrCore *c, HrJob *j)
{
  /* Services stand in no list. */
  gboolean placed = j->planned || j->spec.shape == HR_SERVICE;
  double hold = placed ? GRANT_HOLD_S : GRANT_HOLD_UNPLANNED_S;
  if (c->now < MAX (j->lent_until, j->rent_at))
    return TRUE;
  if (!j->granted_at || c->now - j->granted_at <= hold)
    return FALSE;
  j->lent_pause = CLAMP (2 * j->lent_pause, LENT_S, LENT_MOST_S);
  j->lent_until = c->now + j->lent_pause;
  return TRUE;
}

/* Hands the job as many starts as the team's limit leaves for it. */
static void
grant (HrCore *c, HrTeamUse *u, HrJob *j)
{
  guint size = hr_limits_unit (j), most = hr_limits_idle (j) / size;
  HrAmount one = hr_amount_of (&j->spec, size);
  gboolean behind = u->reserved && c->now + run_time (c, j) > u->shadow;
  guint n = hr_amount_times (behind ? hr_amount_least (u->left, u->beside) : u->left, one, most);
  if (behind && !n && hr_amount_times (u->left, one, 1)) {
    if (!j->kept_since)
      j->kept_since = c->now;
    n = c->now - j->kept_since > KEPT_OUT_S;
  } else
    j->kept_since = 0;
  j->grant = n * size;
  j->lent = lapsed (c, j);
  if (!n || j->lent)
    j->granted_at = 0;
  else if (!j->granted_at)
    j->granted_at = c->now;
  if (n && !j->lent) {
    HrAmount all = hr_amount_of (&j->spec, j->grant);
    hr_amount_take (&u->left, all);
    if (behind || !u->reserved)
      hr_amount_take (&u->beside, all);
  }
  if (n < most && !u->reserved && !j->lent)
    reserve (c, u, j);
}

/* Of spare room for the next arrivals only what their teams' limits leave counts. */
static void
limit_headroom (HrCore *c)
{
  for (HrRank rank = HR_PRODUCTION; rank <= HR_LOW; rank++)
    for (guint k = 0; k < c->classes->len; k++) {
      HrClassStat *s = &g_array_index (c->classes, HrClassStat, k);
      guint wanted = s->rank == rank ? hr_headroom_wanted (c, k) : 0, n = 0;
      if (s->rank != rank)
        continue;
      for (guint t = 0; t < c->teams->len && n < wanted; t++) {
        HrTeamUse *u = &g_array_index (c->teams, HrTeamUse, t);
        HrAmount one = {s->cpus, s->gpus}, room = hr_amount_least (u->left, u->beside);
        if (!(s->teams >> t % 64 & 1))
          continue;
        guint more = u->limited ? hr_amount_times (room, one, wanted - n) : wanted - n;
        HrAmount all = {more * one.cpus, more * one.gpus};
        hr_amount_take (&u->left, all);
        hr_amount_take (&u->beside, all);
        n += more;
      }
      s->headroom = n;
    }
}

void
hr_limits_pass (HrCore *c)
{
  if (!c->types)
    return;
  count_use (c);
  g_ptr_array_set_size (c->waiting, 0);
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    j->grant = 0;
    if (!hr_team_use (c, j->spec.team)->limited)
      continue;
    if (waits (c, j))
      g_ptr_array_add (c->waiting, j);
    else
      j->granted_at = j->kept_since = 0;
  }
  g_ptr_array_sort (c->waiting, by_start);
  for (guint i = 0; i < c->waiting->len; i++) {
    HrJob *j = c->waiting->pdata[i];
    grant (c, hr_team_use (c, j->spec.team), j);
  }
  limit_headroom (c);
}

void
hr_limits_started (HrCore *c, HrJob *j)
{
  HrTeamUse *u = hr_team_use (c, j->spec.team);
  hr_amount_add (&u->used, hr_amount_of (&j->spec, 1));
  j->grant -= j->grant > 0;
  j->granted_at = j->kept_since = j->lent_until = j->lent_pause = 0;
  j->claim_since = j->claim_pause = 0;
}

guint
hr_limits_grant (HrCore *c, const HrJob *j)
{
  HrTeamUse *u = hr_team_use (c, j->spec.team);
  if (!u->limited)
    return G_MAXUINT;
  HrAmount now = u->limit;
  hr_amount_take (&now, u->used);
  return hr_amount_times (now, hr_amount_of (&j->spec, 1), j->grant);
}
