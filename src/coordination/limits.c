/* Limits of teams: what they let start, in which order, and for whom room is made.
 *
 * Each pass hands out what a team's limit leaves to the jobs that wait, by rank, then by
 * deadline; gangs get all or nothing. Plans, rentals and spare room count these grants alone,
 * so no machine is rented or kept for what the limit holds back. What the first job that does
 * not fit leaves over is reserved for it: others get of it what ends, by estimate, before
 * running work makes room for that job, or what fits beside it then (EASY backfilling: Lifka,
 * The ANL/IBM SP scheduling system). */
#include "coordination/limits.h"
#include "coordination/room.h"
#include <math.h>

/* A job keeps its grant for so long without a start, s: with places in lists (a boot, mostly),
 * and where no machine of the fleet has one. Then its share is lent, for a pause that doubles:
 * meanwhile nothing is kept or stopped for it. */
#define GRANT_HOLD_S 75.0
#define GRANT_HOLD_UNPLANNED_S 30.0
#define LENT_S 30.0
#define LENT_MOST_S 240.0
/* A job that a reservation alone has held back for so long gets one start, s. */
#define KEPT_OUT_S 60.0
/* Work of lower rank is stopped for a job that is no service where the limit would not let it
 * start within so long, s: what is stopped loses work. */
#define PATIENCE_S 10.0
/* From a stop order to the report that shows the task gone, s. */
#define STOP_S 2.0

static HrAmount
amount_of (const HrJobSpec *s, guint n)
{
  return (HrAmount){n * s->cpus, n * s->gpus};
}

static void
add (HrAmount *a, HrAmount b)
{
  a->cpus += b.cpus;
  a->gpus += b.gpus;
}

static void
take (HrAmount *a, HrAmount b)
{
  a->cpus -= b.cpus;
  a->gpus -= b.gpus;
}

static gboolean
holds (HrAmount a, HrAmount b)
{
  return b.cpus <= a.cpus + 1e-6 && b.gpus <= a.gpus + 1e-6;
}

static HrAmount
least_of (HrAmount a, HrAmount b)
{
  return (HrAmount){MIN (a.cpus, b.cpus), MIN (a.gpus, b.gpus)};
}

/* How many times it fits, at most n. */
static guint
times (HrAmount a, HrAmount one, guint n)
{
  double most = n;
  if (one.cpus > 0)
    most = MIN (most, floor ((a.cpus + 1e-6) / one.cpus));
  if (one.gpus > 0)
    most = MIN (most, floor ((a.gpus + 1e-6) / one.gpus));
  return most > 0 ? most : 0;
}

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
    add (&u->used, amount_of (&j->spec, n));
    if (j->stance != HR_QUEUED || !j->tasks || !u->limited)
      continue;
    for (guint32 k = 0; k < j->ntasks && j->nlive; k++)
      if (j->tasks[k].state == HR_T_BOUND && j->tasks[k].kill)
        add (&u->ending, amount_of (&j->spec, 1));
  }
  for (guint i = 0; i < c->teams->len; i++) {
    HrTeamUse *u = &g_array_index (c->teams, HrTeamUse, i);
    u->left = u->limited ? u->limit : (HrAmount){INFINITY, INFINITY};
    take (&u->left, u->used);
    u->beside = u->left;
  }
}

static guint
idle_tasks (const HrJob *j)
{
  return j->ntasks - MIN (j->ntasks, j->nlive + j->ndone);
}

static gboolean
waits (const HrCore *c, const HrJob *j)
{
  return j->stance == HR_QUEUED && j->tasks && !j->gang_over && idle_tasks (j) &&
         c->now >= j->retry_at;
}

/* What starts at once or not at all: a gang; of other jobs, and of a gang that lost tasks
 * before its start, one task. */
static guint
unit (const HrJob *j)
{
  return j->spec.shape == HR_GANG && !j->nlive ? idle_tasks (j) : 1;
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
  HrMachine *m = c->machines->pdata[t->machine];
  if (t->state == HR_T_BOUND && (t->kill || j->stance != HR_QUEUED))
    return c->now + (hr_reachable (c, m) ? t->grace + STOP_S : hr_absence_lease (c));
  return hr_running_end (c, j, t, m);
}

/* When does running work make room for the job, and what is left beside it then? */
static void
reserve (HrCore *c, HrTeamUse *u, const HrJob *head)
{
  g_autoptr (GArray) releases = g_array_new (FALSE, FALSE, sizeof (Release));
  HrAmount need = amount_of (&head->spec, unit (head)), room = u->left;
  u->reserved = TRUE;
  u->shadow = INFINITY;
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->spec.team != head->spec.team || !j->tasks)
      continue;
    for (guint32 k = 0; k < j->ntasks && j->nlive; k++) {
      const HrTask *t = &j->tasks[k];
      if (t->state != HR_T_ASSIGNING && t->state != HR_T_BOUND)
        continue;
      Release r = {release_at (c, j, t), amount_of (&j->spec, 1)};
      g_array_append_val (releases, r);
    }
  }
  g_array_sort (releases, by_end);
  for (guint i = 0; i < releases->len && !isfinite (u->shadow); i++) {
    const Release *r = &g_array_index (releases, Release, i);
    if (!isfinite (r->end))
      break;
    add (&room, r->amount);
    if (holds (room, need))
      u->shadow = r->end;
  }
  if (isfinite (u->shadow)) {
    take (&room, need);
    u->beside = least_of (u->left, room);
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
  guint size = unit (j), most = idle_tasks (j) / size;
  HrAmount one = amount_of (&j->spec, size);
  gboolean behind = u->reserved && c->now + run_time (c, j) > u->shadow;
  guint n = times (behind ? least_of (u->left, u->beside) : u->left, one, most);
  if (behind && !n && times (u->left, one, 1)) {
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
    HrAmount all = amount_of (&j->spec, j->grant);
    take (&u->left, all);
    if (behind || !u->reserved)
      take (&u->beside, all);
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
        HrAmount one = {s->cpus, s->gpus}, room = least_of (u->left, u->beside);
        if (!(s->teams >> t % 64 & 1))
          continue;
        guint more = u->limited ? times (room, one, wanted - n) : wanted - n;
        HrAmount all = {more * one.cpus, more * one.gpus};
        take (&u->left, all);
        take (&u->beside, all);
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
  add (&u->used, amount_of (&j->spec, 1));
  j->grant -= j->grant > 0;
  j->granted_at = j->kept_since = j->lent_until = j->lent_pause = 0;
}

guint
hr_limits_grant (HrCore *c, const HrJob *j)
{
  HrTeamUse *u = hr_team_use (c, j->spec.team);
  if (!u->limited)
    return G_MAXUINT;
  HrAmount now = u->limit;
  take (&now, u->used);
  return times (now, amount_of (&j->spec, 1), j->grant);
}

/* What the team runs on a machine at a lower rank than the job's. */
typedef struct {
  HrMachine *m;
  double loss; /* of work, a task */
  guint n;
} Stoppable;

static gboolean
may_stop (const HrCore *c, const HrJob *victim, guint32 task, const HrJob *j)
{
  const HrTask *t = &victim->tasks[task];
  return victim->spec.team == j->spec.team && hr_job_rank (victim) > hr_job_rank (j) &&
         victim->stance == HR_QUEUED && !victim->gang_over && t->state == HR_T_BOUND && !t->kill;
}

static int
by_loss (gconstpointer a, gconstpointer b)
{
  double x = ((const Stoppable *)a)->loss, y = ((const Stoppable *)b)->loss;
  return x < y ? -1 : x > y;
}

/* The machines with such work, those first where least is lost: stopped machine by machine,
 * it leaves room that a large task fits in. */
static GArray *
stoppable (HrCore *c, const HrJob *j, HrAmount *all)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (Stoppable));
  *all = (HrAmount){0, 0};
  for (guint i = 0; i < c->fleet->len; i++) {
    Stoppable s = {c->fleet->pdata[i], 0, 0};
    for (guint k = 0; k < s.m->tasks->len; k++) {
      HrRef r = g_array_index (s.m->tasks, HrRef, k);
      const HrJob *victim = c->jobs->pdata[r.job];
      if (!may_stop (c, victim, r.task, j))
        continue;
      add (all, amount_of (&victim->spec, 1));
      s.loss += hr_stop_loss (c, victim, &victim->tasks[r.task]);
      s.n++;
    }
    if (!s.n)
      continue;
    s.loss /= s.n;
    g_array_append_val (found, s);
  }
  g_array_sort (found, by_loss);
  return found;
}

/* Stops work until the pool holds the need. What is stopped joins the pool. */
static gboolean
stop_lower (HrCore *c, HrJob *j, HrAmount *pool, HrAmount need)
{
  HrAmount all;
  g_autoptr (GArray) found = stoppable (c, j, &all);
  add (&all, *pool);
  if (!holds (all, need))
    return FALSE;
  for (guint i = 0; i < found->len && !holds (*pool, need); i++) {
    HrMachine *m = g_array_index (found, Stoppable, i).m;
    for (guint k = 0; k < m->tasks->len && !holds (*pool, need);) {
      HrRef r = g_array_index (m->tasks, HrRef, k);
      HrJob *victim = c->jobs->pdata[r.job];
      if (!may_stop (c, victim, r.task, j)) {
        k++;
        continue;
      }
      g_info ("%s/%u on %s makes room for %s within their team's limit", victim->id, r.task,
              m->name, j->id);
      add (pool, amount_of (&victim->spec, victim->spec.shape == HR_GANG ? victim->nlive : 1));
      hr_stop_for_room (c, victim, r.task);
      k = 0; /* a gang's other tasks may have left the machine */
    }
  }
  return holds (*pool, need);
}

/* Stops what the job's tasks without a grant need, as far as that is enough for them. */
static void
make_room (HrCore *c, HrTeamUse *u, HrJob *j)
{
  guint size = unit (j), idle = idle_tasks (j);
  HrAmount need = amount_of (&j->spec, size);
  gboolean soon = j->spec.shape != HR_SERVICE && u->shadow - c->now <= PATIENCE_S;
  take (&u->pool, amount_of (&j->spec, j->grant));
  for (guint n = idle - MIN (j->grant, idle); n >= size && !u->short_of; n -= size) {
    /* What is stopped for a later job would go to this one, or be filled by shorter work and
     * stopped again. */
    if (!holds (u->pool, need) && (soon || !stop_lower (c, j, &u->pool, need)))
      u->short_of = TRUE;
    else
      take (&u->pool, need);
  }
}

void
hr_limits_make_room (HrCore *c)
{
  for (guint i = 0; i < c->teams->len; i++) {
    HrTeamUse *u = &g_array_index (c->teams, HrTeamUse, i);
    u->pool = u->limited ? u->limit : (HrAmount){INFINITY, INFINITY};
    take (&u->pool, u->used);
    add (&u->pool, u->ending);
  }
  for (guint i = 0; i < c->waiting->len; i++) {
    HrJob *j = c->waiting->pdata[i];
    HrTeamUse *u = hr_team_use (c, j->spec.team);
    /* One that is lent lacks a machine, and others use its share meanwhile. */
    if (!u->short_of && !j->lent)
      make_room (c, u, j);
  }
}
