/* From the plan to orders: what can start now starts, what cannot is made room
 * for, rented for, or waits; idle machines go back. */
#include "coordination/state.h"
#include <math.h>
#include <string.h>

/* From a decision to a running task: a write, an order and a report. */
#define STOP_AND_START_S 2.0
/* What a replica's place in the controllers' zone is worth, as time to its start. */
#define HOME_S 2.0

typedef struct {
  HrMachine *m;
  double cpus, gpus, mem; /* free once stopped tasks are gone and claims are served */
  gboolean reserved;      /* spare room is counted on it */
} Room;

static gboolean
room_take (Room *r, double cpus, double gpus, double mem)
{
  if (cpus > r->cpus + 1e-6 || gpus > r->gpus + 1e-6 || mem > r->mem + 1e-6)
    return FALSE;
  r->cpus -= cpus;
  r->gpus -= gpus;
  r->mem -= mem;
  return TRUE;
}

/* ---- limits of teams ---- */

static void
team_use (HrCore *c, guint32 team, double *cpus, double *gpus)
{
  *cpus = *gpus = 0;
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->spec.team != team)
      continue;
    *cpus += j->nlive * j->spec.cpus;
    *gpus += j->nlive * j->spec.gpus;
  }
}

static gboolean
within_limit (HrCore *c, const HrJob *j, guint n)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  double cpus, gpus;
  if (!t || (t->cpus_max <= 0 && t->gpus_max <= 0))
    return TRUE;
  team_use (c, j->spec.team, &cpus, &gpus);
  return (t->cpus_max <= 0 || cpus + n * j->spec.cpus <= t->cpus_max + 1e-6) &&
         (t->gpus_max <= 0 || gpus + n * j->spec.gpus <= t->gpus_max + 1e-6);
}

/* Finds, per team, the earliest gang that its limit keeps back. Work with a later
 * deadline waits behind it: a few tasks at a time, it would use up the limit for ever. */
void
hr_team_waits (HrCore *c)
{
  g_array_set_size (c->team_waits, 0);
  for (guint i = 0; i < c->names->teams.names->len; i++) {
    guint32 none = HR_NONE;
    g_array_append_val (c->team_waits, none);
  }
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->stance != HR_QUEUED || j->spec.shape != HR_GANG || j->nlive || j->ndone ||
        c->now < j->retry_at || within_limit (c, j, j->ntasks))
      continue;
    guint32 *w = &g_array_index (c->team_waits, guint32, j->spec.team);
    if (*w == HR_NONE || j->deadline < ((HrJob *)c->jobs->pdata[*w])->deadline)
      *w = j->idx;
  }
}

/* May n more tasks of the job be on machines, as far as its team's limit goes? Every
 * task that is not proven gone counts. */
gboolean
hr_team_allows (HrCore *c, const HrJob *j, guint n)
{
  guint32 w = j->spec.team < c->team_waits->len
                  ? g_array_index (c->team_waits, guint32, j->spec.team)
                  : HR_NONE;
  if (w != HR_NONE && w != j->idx && j->spec.shape != HR_SERVICE &&
      j->deadline > ((HrJob *)c->jobs->pdata[w])->deadline)
    return FALSE;
  return within_limit (c, j, n);
}

/* Does the team run more than it is guaranteed (over), or would n more tasks stay within? */
static gboolean
team_beyond (HrCore *c, const HrJob *j, guint n)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  double cpus, gpus;
  if (!t)
    return TRUE;
  team_use (c, j->spec.team, &cpus, &gpus);
  return cpus + n * j->spec.cpus > t->cpus + 1e-6 || gpus + n * j->spec.gpus > t->gpus + 1e-6;
}

/* ---- starting ---- */

static gboolean
reachable (const HrCore *c, const HrMachine *m)
{
  return m->state == HR_M_UP && m->heard_at > 0 && c->now - m->heard_at < c->pol.silent_s;
}

static gboolean
startable (HrCore *c, HrJob *j, HrMachine *m)
{
  return hr_machine_fits (m, &j->spec) && reachable (c, m) && c->now >= m->full_until &&
         c->now >= j->retry_at && hr_allowed (c, j, m) && hr_zone_ok (c, j, m) &&
         (j->spec.shape == HR_SERVICE || hr_machine_fits_beside_claims (m, &j->spec));
}

static void
start (HrCore *c, HrJob *j, guint32 task, HrMachine *m, guint32 attempt)
{
  if (j->tasks[task].planned) {
    hr_unplan (j, task);
    hr_list_remove (c->machines->pdata[j->tasks[task].list], (HrRef){j->idx, task});
  }
  hr_task_assign (c, j, task, m, attempt);
}

static guint32
next_try (const HrTask *t)
{
  return MAX (t->try, t->rtry) + 1;
}

static gboolean
may_stop (HrCore *c, const HrJob *victim, const HrJob *j)
{
  if (victim->spec.rank > j->spec.rank)
    return TRUE;
  return victim->spec.team != j->spec.team && team_beyond (c, victim, 0) && !team_beyond (c, j, 1);
}

static double
loss (HrCore *c, const HrJob *v, const HrTask *t)
{
  double ran = t->ran_at ? c->now - t->ran_at : 0;
  if (v->spec.checkpoint > 0)
    ran = MIN (ran, v->spec.save + 5);
  return ran + 1 + (v->spec.shape == HR_GANG ? 1000 : 0);
}

/* Time left until the next aim for the start of the class's tasks is missed. */
static double
start_left (const HrCore *c, const HrJob *j)
{
  double left = INFINITY, waited = c->wall - j->submitted;
  for (guint i = 0; i < c->set->aims->len; i++) {
    const HrAim *a = &g_array_index (c->set->aims, HrAim, i);
    if (a->klass == j->spec.klass && (a->kind == HR_AIM_WAIT || a->kind == HR_AIM_UP) &&
        a->within > waited + STOP_AND_START_S)
      left = MIN (left, a->within - waited);
  }
  return left;
}

/* Batch tasks of the machine that would have to stop for the job, the sum of what is
 * lost with them; INFINITY when that makes no room. stop: stop them. */
static double
room_by_stopping (HrCore *c, HrJob *j, HrMachine *m, gboolean stop)
{
  double cpus = m->cpus - m->alien_cpus, gpus = m->gpus - m->alien_gpus,
         mem = m->mem - m->alien_mem, cost = 0;
  for (guint k = 0; k < m->tasks->len; k++) {
    if (cpus + 1e-6 >= j->spec.cpus && gpus + 1e-6 >= j->spec.gpus && mem + 1e-6 >= j->spec.mem)
      break;
    HrRef x = g_array_index (m->tasks, HrRef, k);
    HrJob *v = c->jobs->pdata[x.job];
    HrTask *t = &v->tasks[x.task];
    if (t->state != HR_T_BOUND || t->kill || v->spec.shape != HR_BATCH || !may_stop (c, v, j))
      continue;
    cpus += v->spec.cpus;
    gpus += v->spec.gpus;
    mem += v->spec.mem;
    cost += loss (c, v, t);
    if (stop) {
      g_info ("%s/%u on %s makes room for %s, whose image is there", v->id, x.task, m->name, j->id);
      hr_task_stop (c, v, x.task, 0);
    }
  }
  return cpus + 1e-6 >= j->spec.cpus && gpus + 1e-6 >= j->spec.gpus && mem + 1e-6 >= j->spec.mem
             ? cost
             : INFINITY;
}

/* A machine that has the image, where stopping the batch tasks that lose least makes
 * room. Their stop goes out before the launch, so the launch finds the room. */
static HrMachine *
swap_for_image (HrCore *c, HrJob *j)
{
  HrMachine *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (!hr_machine_has_image (m, j->spec.image) || !reachable (c, m) || c->now < m->full_until ||
        !hr_allowed (c, j, m) || !hr_zone_ok (c, j, m))
      continue;
    double cost = room_by_stopping (c, j, m, FALSE);
    if (cost < least) {
      least = cost;
      best = m;
    }
  }
  if (best)
    room_by_stopping (c, j, best, TRUE);
  return best;
}

/* Would a replica more fit there, once batch work made room? */
static gboolean
stays_open (const HrCore *c, const HrJobSpec *s, const HrMachine *m, guint replicas)
{
  const HrType *t = hr_type (c, m);
  return m->fixed_cpus + replicas * s->cpus <= t->cpus + 1e-6 &&
         m->fixed_gpus + replicas * s->gpus <= t->gpus + 1e-6 &&
         m->fixed_mem + replicas * s->mem <= t->mem + 1e-6;
}

/* The next arrivals need places where their image is. Are there too few for this one?
 * Machines full of replicas are none, however well the image is cached there. */
static gboolean
short_of_places (HrCore *c, const HrJob *j)
{
  HrClassStat *s = hr_class (c, j->spec.klass);
  double weight = 0, own = 0, open = 0, fetch = INFINITY, within = INFINITY;
  for (guint i = 0; i < c->types->len; i++)
    fetch = MIN (fetch, j->spec.image_gb / g_array_index (c->types, HrType, i).fetch_rate);
  for (guint i = 0; i < c->set->aims->len; i++) {
    HrAim *a = &g_array_index (c->set->aims, HrAim, i);
    if (a->klass == j->spec.klass && a->kind == HR_AIM_WAIT)
      within = MIN (within, a->within);
  }
  if (fetch + STOP_AND_START_S <= within)
    return FALSE; /* a fetch in time is cheaper than places kept open */
  for (guint i = 0; i < s->nimages; i++) {
    weight += s->images[i].weight;
    if (s->images[i].image == j->spec.image)
      own = s->images[i].weight;
  }
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (m->state == HR_M_UP && !m->drain && m->type != HR_NONE && (!m->spot || j->spec.spot) &&
        hr_machine_has_image (m, j->spec.image) && stays_open (c, &j->spec, m, 1))
      open++;
  }
  return weight > 0 && open < hr_headroom (c, j->spec.klass) * own / weight;
}

/* The sooner its image is there the better; then fuller machines first, so that others
 * fall empty and can be returned. */
static double
service_score (const HrCore *c, const HrJob *j, const HrMachine *m, gboolean open)
{
  double fetch = hr_fetch_time (c, j, m);
  double closes = open && fetch > 0 && !stays_open (c, &j->spec, m, 2) ? 1000 : 0;
  /* Behind a cut of the controllers' own zone its workers still hear the owner. */
  double home = m->zone == c->set->home ? HOME_S * 10 : 0;
  return home - 10 * fetch - closes + m->tasks->len * 10 - (m->gpus + m->cpus * 0.1);
}

/* Machines that something more may start on; the others need not be looked at. */
static GPtrArray *
roomy (HrCore *c)
{
  GPtrArray *a = g_ptr_array_sized_new (c->fleet->len);
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (m->state == HR_M_UP && !m->drain && m->cpus - m->alien_cpus > 0)
      g_ptr_array_add (a, m);
  }
  return a;
}

static void
start_services (HrCore *c, GPtrArray *services)
{
  g_autoptr (GPtrArray) rooms = roomy (c);
  for (guint i = 0; i < services->len; i++) {
    HrJob *j = services->pdata[i];
    gboolean open = short_of_places (c, j);
    for (guint32 k = 0; k < j->ntasks; k++) {
      HrMachine *best = NULL;
      double most = 0;
      if (j->tasks[k].state != HR_T_IDLE || !hr_team_allows (c, j, 1))
        continue;
      for (guint n = 0; n < rooms->len; n++) {
        HrMachine *m = rooms->pdata[n];
        if (!startable (c, j, m))
          continue;
        double score = service_score (c, j, m, open);
        if (!best || score > most) {
          most = score;
          best = m;
        }
      }
      double left = start_left (c, j);
      if (isfinite (left) && c->now >= j->retry_at &&
          (!best || hr_fetch_time (c, j, best) + STOP_AND_START_S > left)) {
        HrMachine *other = swap_for_image (c, j);
        if (other)
          best = other;
      }
      if (!best) {
        j->part = HR_NONE; /* not in its part: any machine may */
        break;
      }
      best->fixed_cpus += j->spec.cpus;
      best->fixed_gpus += j->spec.gpus;
      best->fixed_mem += j->spec.mem;
      start (c, j, k, best, next_try (&j->tasks[k]));
    }
  }
}

/* All slots of the gang, if each can start now. */
static gboolean
start_gang (HrCore *c, HrJob *j)
{
  g_autofree HrMachine **on = g_new0 (HrMachine *, j->ntasks);
  if (!hr_team_allows (c, j, j->ntasks))
    return FALSE;
  for (guint32 i = 0; i < j->ntasks; i++) {
    if (!j->tasks[i].planned || j->tasks[i].state != HR_T_IDLE)
      return FALSE;
    on[i] = c->machines->pdata[j->tasks[i].list];
    if (!startable (c, j, on[i]))
      return FALSE;
  }
  guint32 attempt = hr_job_next_try (j);
  for (guint32 i = 0; i < j->ntasks; i++)
    start (c, j, i, on[i], attempt);
  return TRUE;
}

/* A gang that lost a task before its start gets that task anew, with the same attempt
 * number, where the image is soonest. The others wait for gang_wait_s only, and occupy
 * their machines meanwhile: where no place is found in half of that, it begins anew. */
static void
complete_gang (HrCore *c, HrJob *j)
{
  guint32 attempt = 0;
  gboolean whole = TRUE;
  for (guint32 k = 0; k < j->ntasks; k++)
    if (j->tasks[k].state != HR_T_IDLE)
      attempt = j->tasks[k].try;
  for (guint32 k = 0; k < j->ntasks; k++) {
    HrMachine *best = NULL;
    if (j->tasks[k].state != HR_T_IDLE)
      continue;
    for (guint i = 0; i < c->fleet->len; i++) {
      HrMachine *m = c->fleet->pdata[i];
      /* Where it was refused, the same attempt would be taken for the refused one. */
      if (m->idx != j->tasks[k].machine && startable (c, j, m) && hr_team_allows (c, j, 1) &&
          (!best || hr_fetch_time (c, j, m) < hr_fetch_time (c, j, best)))
        best = m;
    }
    if (best) {
      g_info ("%s/%u was lost before the gang's start; %s takes its place", j->id, k, best->name);
      start (c, j, k, best, attempt);
    } else
      whole = FALSE;
  }
  if (whole)
    j->short_since = 0;
  else if (c->now - j->short_since > c->set->gang_wait_s / 2)
    hr_gang_end (c, j, 0);
}

/* May this task start on the machine now without holding up an earlier one of its list? */
static gboolean
may_pass (HrCore *c, HrJob *j, HrMachine *m, double blocked_until)
{
  return c->now + hr_estimate (c, j, m) <= blocked_until;
}

/* Starts what can start of the machine's own list. Returns when the first task
 * that cannot start is due to: others may only fill the time until then. */
static double
start_list (HrCore *c, HrMachine *m)
{
  double blocked = INFINITY;
  for (guint i = 0; i < m->list->len;) {
    HrRef r = g_array_index (m->list, HrRef, i);
    HrJob *j = c->jobs->pdata[r.job];
    gboolean ok = startable (c, j, m) && (!isfinite (blocked) || may_pass (c, j, m, blocked));
    if (ok && j->spec.shape == HR_GANG)
      ok = start_gang (c, j);
    else if (ok && (ok = hr_team_allows (c, j, 1)))
      start (c, j, r.task, m, next_try (&j->tasks[r.task]));
    if (ok) {
      i = 0; /* lists changed */
      blocked = INFINITY;
      continue;
    }
    if (!isfinite (blocked) && c->now >= j->retry_at) {
      g_autofree double *starts = g_new (double, m->list->len);
      hr_project (c, m, starts);
      blocked = MAX (c->now, starts[i]);
    }
    i++;
  }
  return blocked;
}

static int
by_deadline (gconstpointer a, gconstpointer b, gpointer data)
{
  HrCore *c = data;
  const HrRef *x = a, *y = b;
  const HrJob *p = c->jobs->pdata[x->job], *q = c->jobs->pdata[y->job];
  if (p->deadline != q->deadline)
    return p->deadline < q->deadline ? -1 : 1;
  return x->job != y->job ? (x->job < y->job ? -1 : 1) : (x->task > y->task) - (x->task < y->task);
}

/* Sooner done first; then the cheaper machine, then the fuller one. */
static gboolean
batch_better (HrCore *c, HrJob *j, HrMachine *a, HrMachine *b)
{
  double x = hr_estimate (c, j, a), y = hr_estimate (c, j, b);
  if (fabs (x - y) > 1)
    return x < y;
  if (a->spot != b->spot)
    return a->spot;
  return a->tasks->len > b->tasks->len;
}

/* A machine with room takes the earliest-deadline task that fits from any list.
 * blocked: by index of the machine. */
static void
start_from_any (HrCore *c, GHashTable *blocked)
{
  g_autoptr (GPtrArray) rooms = roomy (c);
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (HrRef));
  for (guint i = 0; i < c->fleet->len && rooms->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    for (guint k = 0; k < m->list->len; k++) {
      HrRef r = g_array_index (m->list, HrRef, k);
      if (((HrJob *)c->jobs->pdata[r.job])->spec.shape == HR_BATCH)
        g_array_append_val (all, r);
    }
  }
  g_array_sort_with_data (all, by_deadline, c);
  guint32 without = HR_NONE; /* the job whose last task found no room: nor will the next */
  for (guint i = 0; i < all->len; i++) {
    HrRef r = g_array_index (all, HrRef, i);
    HrJob *j = c->jobs->pdata[r.job];
    HrMachine *best = NULL;
    if (r.job == without || !hr_team_allows (c, j, 1))
      continue;
    for (guint k = 0; k < rooms->len; k++) {
      HrMachine *m = rooms->pdata[k];
      double *until = g_hash_table_lookup (blocked, m);
      if (!startable (c, j, m) || (until && !may_pass (c, j, m, *until)))
        continue;
      if (!best || batch_better (c, j, m, best))
        best = m;
    }
    if (best)
      start (c, j, r.task, best, next_try (&j->tasks[r.task]));
    else
      without = r.job;
  }
}

/* ---- making room ---- */

/* Stops the tasks of one machine whose loss is least, so that the job fits there. */
static gboolean
preempt (HrCore *c, HrJob *j, Room *rooms)
{
  Room *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < c->fleet->len; i++) {
    Room *r = &rooms[i];
    HrMachine *m = r->m;
    if (m->state != HR_M_UP || !hr_allowed (c, j, m) || !hr_zone_ok (c, j, m))
      continue;
    double cpus = r->cpus, gpus = r->gpus, mem = r->mem, cost = 0;
    for (guint k = 0; k < m->tasks->len; k++) {
      HrRef x = g_array_index (m->tasks, HrRef, k);
      HrJob *v = c->jobs->pdata[x.job];
      HrTask *t = &v->tasks[x.task];
      if (cpus >= j->spec.cpus && gpus >= j->spec.gpus && mem >= j->spec.mem)
        break;
      if (t->state != HR_T_BOUND || t->kill || !may_stop (c, v, j))
        continue;
      cpus += v->spec.cpus;
      gpus += v->spec.gpus;
      mem += v->spec.mem;
      cost += loss (c, v, t);
    }
    if (cpus + 1e-6 >= j->spec.cpus && gpus + 1e-6 >= j->spec.gpus && mem + 1e-6 >= j->spec.mem &&
        cost < least) {
      least = cost;
      best = r;
    }
  }
  if (!best)
    return FALSE;
  for (guint k = 0; k < best->m->tasks->len; k++) {
    HrRef x = g_array_index (best->m->tasks, HrRef, k);
    HrJob *v = c->jobs->pdata[x.job];
    HrTask *t = &v->tasks[x.task];
    if (best->cpus + 1e-6 >= j->spec.cpus && best->gpus + 1e-6 >= j->spec.gpus &&
        best->mem + 1e-6 >= j->spec.mem)
      break;
    if (t->state != HR_T_BOUND || t->kill || !may_stop (c, v, j))
      continue;
    g_info ("%s/%u on %s makes room for %s", v->id, x.task, best->m->name, j->id);
    best->cpus += v->spec.cpus;
    best->gpus += v->spec.gpus;
    best->mem += v->spec.mem;
    double grace = v->spec.checkpoint > 0 && t->shown == HR_W_RUNNING ? v->spec.save + 1 : 0;
    if (v->spec.shape == HR_GANG)
      hr_gang_end (c, v, v->spec.save + 1);
    else
      hr_task_stop (c, v, x.task, grace);
  }
  return room_take (best, j->spec.cpus, j->spec.gpus, j->spec.mem);
}

/* ---- renting ---- */

/* Tasks of one kind that machines must be rented for. */
typedef struct {
  guint32 type, zone;
  gboolean spot;
  double cpus, gpus, mem; /* left on the last machine counted */
  guint machines;
} Need;

static void
need_one (HrCore *c, GArray *needs, guint64 types, guint32 zone, gboolean spot_ok, double cpus,
          double gpus, double mem)
{
  /* The cheapest type that fits and that the cloud has not just refused. */
  const HrType *best = NULL;
  gboolean best_spot = FALSE;
  double least = INFINITY;
  for (guint i = 0; i < c->types->len; i++) {
    const HrType *t = &g_array_index (c->types, HrType, i);
    if ((types && !(types >> t->type & 1)) || cpus > t->cpus || gpus > t->gpus || mem > t->mem)
      continue;
    for (int spot = 0; spot <= (spot_ok && c->pol.spot_use > 0); spot++) {
      double share = MAX (MAX (cpus / t->cpus, gpus > 0 ? gpus / t->gpus : 0), mem / t->mem);
      double price = (spot ? t->spot_price : t->price) * share;
      if (price < least && !hr_fleet_refused (c, t->type, zone, spot)) {
        least = price;
        best = t;
        best_spot = spot;
      }
    }
  }
  if (!best)
    return;
  Need *n = NULL;
  for (guint i = 0; i < needs->len && !n; i++) {
    Need *x = &g_array_index (needs, Need, i);
    if (x->type == best->type && x->zone == zone && x->spot == best_spot)
      n = x;
  }
  if (!n) {
    g_array_set_size (needs, needs->len + 1);
    n = &g_array_index (needs, Need, needs->len - 1);
    *n = (Need){best->type, zone, best_spot, 0, 0, 0, 0};
  }
  if (cpus > n->cpus + 1e-6 || gpus > n->gpus + 1e-6 || mem > n->mem + 1e-6) {
    n->machines++;
    n->cpus = best->cpus;
    n->gpus = best->gpus;
    n->mem = best->mem;
  }
  n->cpus -= cpus;
  n->gpus -= gpus;
  n->mem -= mem;
}

/* How far a search has come: rooms only shrink, so the next one for the same goes on
 * from there. */
typedef struct {
  Room *last;
  int pass;
  guint i;
} Cursor;

/* Room that is free, or will be once a boot or a stop has ended. Busy machines
 * first, so that idle ones stay free to go; cheap ones before others. */
static gboolean
find_room (HrCore *c, Room *rooms, guint nrooms, Cursor *at, HrJob *j, double cpus, double gpus,
           double mem, gboolean spot, guint64 types)
{
  if (at->last && (!j || hr_zone_ok (c, j, at->last->m)) && room_take (at->last, cpus, gpus, mem))
    return TRUE;
  for (; at->pass < 4; at->pass++, at->i = 0)
    for (; at->i < nrooms; at->i++) {
      Room *r = &rooms[at->i];
      HrMachine *m = r->m;
      gboolean idle = m->tasks->len == 0 && !r->reserved;
      if (idle != at->pass / 2 || m->spot != !(at->pass % 2) || (m->spot && !spot) ||
          (m->state != HR_M_UP && m->state != HR_M_BOOTING) || m->drain ||
          (types && !(types >> m->type & 1)) ||
          (j && (!hr_allowed (c, j, m) || !hr_zone_ok (c, j, m))))
        continue;
      if (!room_take (r, cpus, gpus, mem))
        continue;
      r->reserved = TRUE;
      at->last = r;
      return TRUE;
    }
  return FALSE;
}

static double
boot_time (HrCore *c)
{
  double s = 0;
  for (guint i = 0; i < c->types->len; i++)
    s = MAX (s, g_array_index (c->types, HrType, i).boot_s);
  return s;
}

/* How many tasks of a class cannot wait for a boot: replicas of services, and
 * classes for whose start or end there is an aim. */
guint
hr_headroom (HrCore *c, guint32 klass)
{
  HrClassStat *s = hr_class (c, klass); /* a class known from old records alone has no row yet */
  double boots = 0;
  if (!s->seen)
    return 0;
  if (s->shape == HR_SERVICE)
    boots = c->pol.headroom_boots;
  for (guint i = 0; i < c->set->aims->len && s->shape != HR_SERVICE; i++) {
    HrAim *a = &g_array_index (c->set->aims, HrAim, i);
    if (a->klass == klass && a->kind == HR_AIM_WAIT)
      boots = MAX (boots, c->pol.headroom_waits);
    else if (a->klass == klass && a->kind == HR_AIM_DEADLINE)
      boots = MAX (boots, c->pol.headroom_deadlines);
  }
  return (s->shape == HR_SERVICE ? c->pol.headroom_base : 0) +
         hr_class_arrivals (c, s, 0) * boot_time (c) * boots + 0.5;
}

static void
keep_headroom (HrCore *c, Room *rooms, guint nrooms, GArray *needs)
{
  for (guint k = 0; k < c->classes->len; k++) {
    HrClassStat *s = &g_array_index (c->classes, HrClassStat, k);
    Cursor at = {0};
    for (guint n = hr_headroom (c, k); n > 0; n--)
      if (!find_room (c, rooms, nrooms, &at, NULL, s->cpus, s->gpus, s->mem, s->spot, s->types))
        need_one (c, needs, s->types, HR_NONE, s->spot, s->cpus, s->gpus, s->mem);
  }
}

/* What is short of room gets it on a machine that boots, or on one to be rented. */
static void
need_task (HrCore *c, Room *rooms, guint booting, Cursor *at, GArray *needs, HrJob *j)
{
  const HrJobSpec *s = &j->spec;
  if (!find_room (c, rooms, booting, at, j, s->cpus, s->gpus, s->mem, s->spot, s->types))
    need_one (c, needs, s->types, s->zone, s->spot, s->cpus, s->gpus, s->mem);
}

/* booting: how many rooms, the first ones, are on machines that boot. */
static void
rent_for_lists (HrCore *c, Room *rooms, guint booting, GArray *needs)
{
  double boot = boot_time (c) * c->pol.rent_slack;
  /* What a booting machine's own list fills is no room for others: counted twice, it
   * would keep the fleet short, and not counted at all, machines would be rented again
   * in each pass for a gang that waits for those on their way. */
  for (guint i = 0; i < booting; i++) {
    HrMachine *m = rooms[i].m;
    for (guint k = 0; k < m->list->len; k++) {
      const HrJobSpec *s = &((HrJob *)c->jobs->pdata[g_array_index (m->list, HrRef, k).job])->spec;
      if (!room_take (&rooms[i], s->cpus, s->gpus, s->mem))
        break;
    }
  }
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    if (!m->list->len)
      continue;
    g_autofree double *starts = g_new (double, m->list->len);
    hr_project (c, m, starts);
    for (guint k = 0; k < m->list->len; k++) {
      HrRef r = g_array_index (m->list, HrRef, k);
      HrJob *j = c->jobs->pdata[r.job];
      double end = starts[k] + hr_estimate (c, j, m) - c->now + c->wall;
      /* A machine is rented where it would start the task sooner, and the plan is late. */
      if (starts[k] - c->now <= boot || (end <= j->deadline && j->spec.shape != HR_GANG))
        continue;
      Cursor at = {0};
      need_task (c, rooms, booting, &at, needs, j);
    }
  }
  /* And for what found no list at all. */
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    gint left = (gint)j->ntasks - (gint)(j->nlive + j->ndone + j->planned);
    if (j->stance != HR_QUEUED || j->spec.shape == HR_SERVICE || j->gang_over ||
        j->retry_at > c->now || !hr_team_allows (c, j, 1))
      continue;
    Cursor at = {0};
    for (gint k = 0; k < MIN (left, 200); k++)
      need_task (c, rooms, booting, &at, needs, j);
  }
}

static void
return_idle (HrCore *c, Room *rooms, guint n)
{
  g_autoptr (GPtrArray) away = g_ptr_array_new ();
  for (guint i = 0; i < n; i++) {
    HrMachine *m = rooms[i].m;
    if (m->state != HR_M_UP || m->tasks->len || m->list->len)
      continue;
    /* After a cut of our own nothing was idle: nobody could give it work. */
    double since = MAX (m->idle_at, c->served_since);
    if (m->drain || (!rooms[i].reserved && m->idle_at && c->now - since > c->pol.idle_s))
      g_ptr_array_add (away, m);
  }
  for (guint i = 0; i < away->len; i++)
    hr_fleet_delete (c, away->pdata[i],
                     ((HrMachine *)away->pdata[i])->drain ? "it is drained" : "nothing needs it");
}

static int
by_rank (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (x->spec.rank != y->spec.rank)
    return x->spec.rank < y->spec.rank ? -1 : 1;
  if (x->submitted != y->submitted)
    return x->submitted < y->submitted ? -1 : 1;
  return x->idx < y->idx ? -1 : x->idx > y->idx;
}

void
hr_dispatch (HrCore *c)
{
  /* While nothing can be recorded nothing can start, so nothing is stopped to make room
   * and no machine is idle for want of work. */
  if (!c->types || !hr_leader_may_answer (c) || !hr_follow_served (c))
    return;
  g_autoptr (GPtrArray) services = g_ptr_array_new ();
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->stance != HR_QUEUED || !j->tasks)
      continue;
    if (j->spec.shape == HR_SERVICE && j->nlive < j->ntasks)
      g_ptr_array_add (services, j);
    else if (j->short_since)
      complete_gang (c, j);
  }
  g_ptr_array_sort (services, by_rank);
  start_services (c, services);
  guint n = c->fleet->len;
  g_autoptr (GHashTable) blocked =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < n; i++) {
    HrMachine *m = c->fleet->pdata[i];
    double until = m->state == HR_M_UP && m->list->len ? start_list (c, m) : INFINITY;
    if (isfinite (until))
      g_hash_table_insert (blocked, m, g_memdup2 (&until, sizeof until));
  }
  start_from_any (c, blocked);

  /* Machines that boot come first. */
  g_autofree Room *rooms = g_new0 (Room, n + 1);
  guint booting = 0;
  for (guint i = 0, up = n; i < n; i++) {
    HrMachine *m = c->fleet->pdata[i];
    Room *r = &rooms[m->state == HR_M_BOOTING ? booting++ : --up];
    *r = (Room){m, m->cpus, m->gpus, m->mem, FALSE};
    for (guint k = 0; k < m->tasks->len; k++) {
      HrRef x = g_array_index (m->tasks, HrRef, k);
      HrJob *j = c->jobs->pdata[x.job];
      if (j->tasks[x.task].kill) {
        r->cpus += j->spec.cpus;
        r->gpus += j->spec.gpus;
        r->mem += j->spec.mem;
      }
    }
  }
  g_autoptr (GArray) needs = g_array_new (FALSE, TRUE, sizeof (Need));
  for (guint i = 0; i < services->len; i++) {
    HrJob *j = services->pdata[i];
    Cursor at = {0};
    gboolean room = TRUE;
    for (guint32 k = 0; k < j->ntasks; k++) {
      if (j->tasks[k].state != HR_T_IDLE || j->retry_at > c->now || !hr_team_allows (c, j, 1))
        continue;
      room = room && preempt (c, j, rooms);
      if (!room)
        need_task (c, rooms, booting, &at, needs, j);
    }
  }
  keep_headroom (c, rooms, n, needs);
  rent_for_lists (c, rooms, booting, needs);
  g_array_set_size (c->wants, 0);
  for (guint i = 0; i < needs->len; i++) {
    Need *x = &g_array_index (needs, Need, i);
    hr_fleet_want (c, x->type, x->zone, x->spot, x->machines);
  }
  return_idle (c, rooms, n);
}
