/* The plan: one deadline-ordered list of tasks per machine. New tasks are placed
 * by MT-EDF; a bounded tabu search then moves tardy ones (Klusacek, Matyska,
 * Rudova: Local Search for Deadline Driven Grid Scheduling, figures 1 to 3). */
#include "coordination/state.h"
#include <math.h>
#include <string.h>

#define WINDOW 64  /* tasks of one job that stand in lists at a time */
#define HOME_S 2.0 /* how much later a gang may begin to do so in the controllers' zone */

static HrJob *
job_of (HrCore *c, HrRef r)
{
  return c->jobs->pdata[r.job];
}

static gboolean
usable (const HrCore *c, const HrMachine *m)
{
  if (m->drain || m->type == HR_NONE)
    return FALSE;
  return m->state == HR_M_BOOTING ||
         (m->state == HR_M_UP && c->now - MAX (m->heard_at, c->led_at) < 2 * c->pol.silent_s);
}

/* Type, zone and kind, apart from where the job's other tasks are. */
gboolean
hr_allowed (const HrCore *c, const HrJob *j, const HrMachine *m)
{
  const HrJobSpec *s = &j->spec;
  const HrType *t = usable (c, m) ? hr_type (c, m) : NULL;
  /* Where it failed last it is not tried again at once, if there is any other place. */
  if (m->idx == j->bad_machine && c->now < j->bad_until)
    return FALSE;
  if (j->part != HR_NONE && j->part < c->nparts && m->part != j->part)
    return FALSE;
  return t && (!s->types || (s->types >> m->type & 1)) &&
         (s->zone == HR_NONE || s->zone == m->zone) && (s->spot || !m->spot) &&
         s->cpus <= t->cpus + 1e-6 && s->gpus <= t->gpus + 1e-6 && s->mem <= t->mem + 1e-6;
}

/* Images that a machine fetches at the same time share its rate; tasks of one image
 * share the fetch. */
double
hr_fetch_time (const HrCore *c, const HrJob *j, const HrMachine *m)
{
  const HrType *t = hr_type (c, m);
  if (!t || hr_machine_has_image (m, j->spec.image))
    return 0;
  double own = j->spec.image_gb / t->fetch_rate, others = 0;
  guint32 last = HR_NONE;
  for (guint i = 0; i < m->tasks->len; i++) {
    HrRef r = g_array_index (m->tasks, HrRef, i);
    const HrJob *o = job_of ((HrCore *)c, r);
    if (o->spec.image == last || hr_machine_has_image (m, o->spec.image))
      continue;
    last = o->spec.image;
    /* A machine that boots has fetched nothing yet. */
    double since = m->state == HR_M_UP ? c->now - o->tasks[r.task].placed_at : 0;
    double left = MAX (0.5, o->spec.image_gb / t->fetch_rate - since);
    if (o->spec.image == j->spec.image)
      own = MIN (own, left);
    else
      others += left;
  }
  return own + MIN (own, others);
}

/* Expected run time with the image fetch. */
double
hr_estimate (HrCore *c, const HrJob *j, const HrMachine *m)
{
  double run = j->spec.estimate > 0 ? j->spec.estimate : 60;
  run *= hr_class (c, j->spec.klass)->correction;
  return run + hr_fetch_time (c, j, m);
}

/* ---- projection of one list ---- */

typedef struct {
  double end, cpus, gpus, mem;
} Busy;

static void
add_busy (GArray *busy, double end, const HrJobSpec *s)
{
  Busy b = {end, s->cpus, s->gpus, s->mem};
  guint i = busy->len;
  g_array_append_val (busy, b);
  for (; i > 0 && g_array_index (busy, Busy, i - 1).end > end; i--)
    g_array_index (busy, Busy, i) = g_array_index (busy, Busy, i - 1);
  g_array_index (busy, Busy, i) = b;
}

static double
running_end (HrCore *c, HrJob *j, const HrTask *t, HrMachine *m)
{
  if (j->spec.shape == HR_SERVICE)
    return INFINITY;
  const HrType *ty = hr_type (c, m);
  double est = j->spec.estimate > 0 ? j->spec.estimate : 60;
  est *= hr_class (c, j->spec.klass)->correction;
  if (!t->ran_at && ty && !hr_machine_has_image (m, j->spec.image))
    est += j->spec.image_gb / ty->fetch_rate;
  double end = (t->ran_at ? t->ran_at : t->placed_at) + est;
  /* Past its estimate: never in the past, and the longer over the longer to go. */
  return MAX (end, c->now + MAX (2, 0.2 * (c->now - t->placed_at)));
}

/* When a task of `s` can start on an idle-from-then machine; fills starts when given. */
void
hr_project (HrCore *c, HrMachine *m, double *starts)
{
  static GArray *busy;
  if (!busy)
    busy = g_array_new (FALSE, FALSE, sizeof (Busy));
  g_array_set_size (busy, 0);
  const HrType *ty = hr_type (c, m);
  double cpus = m->cpus - m->alien_cpus - m->claim_cpus,
         gpus = m->gpus - m->alien_gpus - m->claim_gpus, mem = m->mem - m->alien_mem - m->claim_mem;
  double at = c->now;
  if (m->state == HR_M_BOOTING)
    at = MAX (c->now + 2, m->rented_at + ty->boot_s);
  for (guint i = 0; i < m->tasks->len; i++) {
    HrRef r = g_array_index (m->tasks, HrRef, i);
    HrJob *j = job_of (c, r);
    add_busy (busy, running_end (c, j, &j->tasks[r.task], m), &j->spec);
  }
  m->late = 0;
  m->tardiness = 0;
  m->ready = at;
  double from = at;
  for (guint i = 0; i < m->list->len; i++) {
    HrRef r = g_array_index (m->list, HrRef, i);
    HrJob *j = job_of (c, r);
    const HrJobSpec *s = &j->spec;
    double start = from;
    if (s->shape == HR_GANG)
      start = MAX (start, j->gang_start);
    start = MAX (start, j->retry_at);
    while (busy->len) {
      Busy b = g_array_index (busy, Busy, 0);
      gboolean fits = s->cpus <= cpus + 1e-6 && s->gpus <= gpus + 1e-6 && s->mem <= mem + 1e-6;
      if (b.end > start && (fits || !isfinite (b.end)))
        break;
      cpus += b.cpus;
      gpus += b.gpus;
      mem += b.mem;
      start = MAX (start, b.end);
      g_array_remove_index (busy, 0);
    }
    if (!(s->cpus <= cpus + 1e-6 && s->gpus <= gpus + 1e-6 && s->mem <= mem + 1e-6))
      start = c->now + 1e6; /* behind services for good: as good as never */
    else {
      cpus -= s->cpus;
      gpus -= s->gpus;
      mem -= s->mem;
      add_busy (busy, start + hr_estimate (c, j, m), s);
      from = start; /* deadline order: nobody starts before the one ahead of him */
    }
    if (starts)
      starts[i] = start;
    if (i == 0)
      m->ready = start;
    double over = start + hr_estimate (c, j, m) - (j->deadline - c->wall + c->now);
    if (over > 0) {
      m->late++;
      m->tardiness += over;
    }
  }
  if (!m->list->len && busy->len && m->cpus < 1)
    m->ready = MAX (m->ready, MIN (g_array_index (busy, Busy, 0).end, c->now + 1e6));
}

static guint
slot_of (HrCore *c, HrMachine *m, const HrJob *j)
{
  guint i = 0;
  while (i < m->list->len && job_of (c, g_array_index (m->list, HrRef, i))->deadline <= j->deadline)
    i++;
  return i;
}

static void
list_insert (HrCore *c, HrMachine *m, HrRef r)
{
  HrJob *j = job_of (c, r);
  guint at = slot_of (c, m, j);
  g_array_insert_val (m->list, at, r);
  j->planned += !j->tasks[r.task].planned;
  j->tasks[r.task].planned = 1;
  j->tasks[r.task].list = m->idx;
}

void
hr_unplan (HrJob *j, guint32 task)
{
  if (!j->tasks || !j->tasks[task].planned)
    return;
  j->tasks[task].planned = 0;
  j->planned--;
}

/* For the projected starts of a list; the owner of all state is a single thread. */
static double *
scratch (guint n)
{
  static GArray *a;
  if (!a)
    a = g_array_new (FALSE, FALSE, sizeof (double));
  if (a->len < n)
    g_array_set_size (a, n);
  return (double *)a->data;
}

void
hr_list_remove (HrMachine *m, HrRef r)
{
  for (guint i = 0; i < m->list->len; i++) {
    HrRef *x = &g_array_index (m->list, HrRef, i);
    if (x->job == r.job && x->task == r.task) {
      g_array_remove_index (m->list, i);
      return;
    }
  }
}

/* ---- MT-EDF ---- */

/* Earliest-starting list first, the image fetch included. */
static int
by_ready (gconstpointer a, gconstpointer b, gpointer data)
{
  const HrMachine *x = *(HrMachine *const *)a, *y = *(HrMachine *const *)b;
  if (x->begins != y->begins)
    return x->begins < y->begins ? -1 : 1;
  if (x->spot != y->spot)
    return x->spot ? -1 : 1;                                        /* cheaper */
  if (x->tasks->len + x->list->len != y->tasks->len + y->list->len) /* so that others fall empty */
    return x->tasks->len + x->list->len > y->tasks->len + y->list->len ? -1 : 1;
  return x->idx < y->idx ? -1 : x->idx > y->idx;
}

typedef struct {
  guint late;
  double tard;
} Judge;

static gboolean
better (Judge a, Judge b)
{
  return a.late < b.late || (a.late == b.late && a.tard < b.tard - 1e-9);
}

/* How the whole plan changes when the task joins this list: the others stay as
 * they are, so the difference on this list decides. */
static Judge
try_list (HrCore *c, HrMachine *m, HrRef r, double *start)
{
  guint late = m->late;
  double tard = m->tardiness, ready = m->ready;
  guint at = slot_of (c, m, job_of (c, r));
  g_array_insert_val (m->list, at, r);
  double *starts = scratch (m->list->len);
  hr_project (c, m, starts);
  *start = starts[at];
  Judge d = {m->late - late, m->tardiness - tard};
  g_array_remove_index (m->list, at);
  m->late = late;
  m->tardiness = tard;
  m->ready = ready;
  return d;
}

/* Is the machine ruled out by where the job's other tasks are, or stand? */
gboolean
hr_zone_ok (HrCore *c, HrJob *j, HrMachine *m)
{
  if (!j->spec.one_zone && !j->spec.spread)
    return TRUE;
  guint here = 0;
  for (guint32 i = 0; i < j->ntasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->state != HR_T_ASSIGNING && t->state != HR_T_BOUND)
      continue;
    guint32 zone = ((HrMachine *)c->machines->pdata[t->machine])->zone;
    if (zone == HR_NONE)
      return FALSE; /* known from a record alone: nothing is placed beside it blindly */
    gboolean same = zone == m->zone;
    if (j->spec.one_zone && !same)
      return FALSE;
    here += same;
  }
  return !j->spec.spread || here < (j->ntasks + 1) / 2;
}

/* The lists that may take the job's tasks, earliest-starting first. */
static GPtrArray *
order_for (HrCore *c, GPtrArray *lists, HrJob *j)
{
  GPtrArray *order = g_ptr_array_sized_new (lists->len);
  for (guint k = 0; k < lists->len; k++) {
    HrMachine *m = lists->pdata[k];
    if (!hr_allowed (c, j, m))
      continue;
    m->begins = floor (m->ready + hr_fetch_time (c, j, m));
    g_ptr_array_add (order, m);
  }
  g_ptr_array_sort_with_data (order, by_ready, NULL);
  return order;
}

/* One list of the order has got a task more: it moves to where it belongs now. */
static void
reorder (HrCore *c, GPtrArray *order, guint at, HrJob *j)
{
  HrMachine *m = order->pdata[at];
  m->begins = floor (m->ready + hr_fetch_time (c, j, m));
  for (; at + 1 < order->len && by_ready (&order->pdata[at], &order->pdata[at + 1], NULL) > 0;
       at++) {
    order->pdata[at] = order->pdata[at + 1];
    order->pdata[at + 1] = m;
  }
  for (; at > 0 && by_ready (&order->pdata[at], &order->pdata[at - 1], NULL) < 0; at--) {
    order->pdata[at] = order->pdata[at - 1];
    order->pdata[at - 1] = m;
  }
}

static gboolean
mtedf_task (HrCore *c, GPtrArray *order, HrJob *j, guint32 task, guint tries)
{
  HrRef r = {j->idx, task};
  guint best = HR_NONE;
  Judge bj = {G_MAXUINT, INFINITY};
  double bs = INFINITY;
  /* When far more is queued than runs, a sample of the lists must do: half of it the
   * earliest ones, the other half drawn from the rest. */
  guint sure = tries < order->len ? (tries + 1) / 2 : order->len;
  double share = order->len > sure ? (double)(tries - sure) / (order->len - sure) : 1;
  for (guint k = 0; k < order->len; k++) {
    HrMachine *m = order->pdata[k];
    if (k >= sure && g_rand_double (c->rand) >= share)
      continue;
    if (!hr_zone_ok (c, j, m))
      continue;
    double start;
    Judge d = try_list (c, m, r, &start);
    if (start > c->now + 1e5)
      continue;
    start += hr_fetch_time (c, j, m);
    if (better (d, bj) || (!better (bj, d) && start < bs - 1e-6)) {
      bj = d;
      bs = start;
      best = k;
    }
    if (d.late == 0 && d.tard <= 0)
      break; /* no tardiness: the paper stops here */
  }
  if (best == HR_NONE)
    return FALSE;
  HrMachine *m = order->pdata[best];
  list_insert (c, m, r);
  hr_project (c, m, NULL);
  reorder (c, order, best, j);
  return TRUE;
}

/* A gang's sample is the same in each pass: the hold on its machines has to last until
 * the last of them is free. */
static gboolean
sampled (const HrJob *j, const HrMachine *m, guint tries, guint lists)
{
  guint32 h = (j->idx + 1) * 0x9e3779b9u ^ (m->idx + 1) * 0x85ebca6bu;
  h = (h ^ h >> 15) * 0xc2b2ae35u;
  return tries >= lists || (h ^ h >> 16) / 4294967296.0 * lists < tries;
}

/* Could it fit there once all but services is gone? */
static gboolean
may_free (HrCore *c, const HrMachine *m, const HrJobSpec *s)
{
  const HrType *t = hr_type (c, m);
  return s->cpus <= t->cpus - m->fixed_cpus + 1e-6 && s->gpus <= t->gpus - m->fixed_gpus + 1e-6 &&
         s->mem <= t->mem - m->fixed_mem + 1e-6;
}

/* A gang takes one slot in each chosen list, with a common start: the machines
 * that can have it soonest, within one zone where the job asks for that. */
static void
mtedf_gang (HrCore *c, GPtrArray *order, HrJob *j, guint tries)
{
  g_autoptr (GArray) pick = NULL;
  double common = INFINITY, soonest = INFINITY;
  guint zones = j->spec.one_zone ? c->names->zones.names->len : 1;
  j->gang_start = 0;
  g_autofree double *start = g_new (double, order->len + 1),
                    *fetch = g_new (double, order->len + 1);
  g_autofree gboolean *used = g_new0 (gboolean, order->len + 1);
  for (guint k = 0; k < order->len; k++) {
    HrMachine *m = order->pdata[k];
    HrRef r = {j->idx, 0};
    start[k] = INFINITY;
    if (!hr_allowed (c, j, m))
      continue;
    fetch[k] = hr_fetch_time (c, j, m);
    if (!m->tasks->len && !m->list->len && hr_machine_fits_beside_claims (m, &j->spec))
      start[k] = m->ready; /* nothing to project */
    else if (sampled (j, m, tries, order->len) && may_free (c, m, &j->spec))
      try_list (c, m, r, &start[k]);
    else
      continue;
    /* Waiting for others to end is less sure than fetching: it counts double. */
    fetch[k] += MAX (0, start[k] - c->now);
  }
  for (guint z = 0; z < zones; z++) {
    g_autoptr (GArray) got = g_array_new (FALSE, FALSE, sizeof (guint));
    double last = 0;
    while (got->len < j->ntasks) {
      guint best = HR_NONE;
      for (guint k = 0; k < order->len; k++) {
        HrMachine *m = order->pdata[k];
        if (used[k] || start[k] > c->now + 1e5 || (j->spec.one_zone && m->zone != z))
          continue;
        if (best == HR_NONE || start[k] + fetch[k] < start[best] + fetch[best])
          best = k;
      }
      if (best == HR_NONE)
        break;
      last = MAX (last, start[best]);
      used[best] = TRUE; /* each zone has machines of its own */
      g_array_append_val (got, best);
    }
    double begins = last;
    for (guint i = 0; i < got->len; i++) {
      guint k = g_array_index (got, guint, i);
      begins = MAX (begins, start[k] + fetch[k]);
    }
    if (j->spec.one_zone && z == c->set->home)
      begins -= HOME_S;
    if (got->len == j->ntasks && begins < soonest) {
      soonest = begins;
      common = last;
      g_clear_pointer (&pick, g_array_unref);
      pick = g_steal_pointer (&got);
    }
  }
  if (!pick)
    return;
  j->gang_start = common;
  for (guint32 i = 0; i < j->ntasks; i++) {
    HrMachine *m = order->pdata[g_array_index (pick, guint, i)];
    HrRef r = {j->idx, i};
    list_insert (c, m, r);
    hr_project (c, m, NULL);
  }
}

/* ---- tabu search ---- */

static gboolean
is_tabu (GArray *tabu, HrRef r)
{
  for (guint i = 0; i < tabu->len; i++) {
    HrRef *x = &g_array_index (tabu, HrRef, i);
    if (x->job == r.job && x->task == r.task)
      return TRUE;
  }
  return FALSE;
}

static void
tabu_search (HrCore *c, GPtrArray *lists)
{
  guint n = lists->len;
  g_autofree gboolean *avail = g_new (gboolean, n), *cand = g_new (gboolean, n);
  g_autoptr (GArray) tabu = g_array_new (FALSE, FALSE, sizeof (HrRef));
  double total = 0;
  for (guint i = 0; i < n; i++) {
    avail[i] = cand[i] = TRUE;
    total += ((HrMachine *)lists->pdata[i])->tardiness;
  }
  for (guint round = 0; round < c->pol.tabu_rounds && total > 1e-6; round++) {
    guint hi = HR_NONE, lo = HR_NONE;
    for (guint i = 0; i < n; i++) {
      HrMachine *m = lists->pdata[i];
      if (avail[i] && m->list->len &&
          (hi == HR_NONE || m->tardiness > ((HrMachine *)lists->pdata[hi])->tardiness))
        hi = i;
    }
    if (hi == HR_NONE)
      return;
    HrMachine *a = lists->pdata[hi];
    /* The most tardy job of the tardiest list. Gangs stay: their slots hang together. */
    double *starts = scratch (a->list->len);
    hr_project (c, a, starts);
    HrRef pick = {HR_NONE, 0};
    double worst = 0;
    for (guint i = 0; i < a->list->len; i++) {
      HrRef r = g_array_index (a->list, HrRef, i);
      HrJob *j = job_of (c, r);
      double over = starts[i] + hr_estimate (c, j, a) - (j->deadline - c->wall + c->now);
      if (over > worst && j->spec.shape != HR_GANG && !is_tabu (tabu, r)) {
        worst = over;
        pick = r;
      }
    }
    if (pick.job == HR_NONE) {
      avail[hi] = FALSE;
      memset (cand, 0xff, n * sizeof *cand);
      continue;
    }
    HrJob *j = job_of (c, pick);
    for (guint i = 0; i < n; i++) {
      HrMachine *m = lists->pdata[i];
      if (i != hi && cand[i] && hr_allowed (c, j, m) && hr_zone_ok (c, j, m) &&
          (lo == HR_NONE || m->tardiness < ((HrMachine *)lists->pdata[lo])->tardiness ||
           (m->tardiness == ((HrMachine *)lists->pdata[lo])->tardiness &&
            m->ready < ((HrMachine *)lists->pdata[lo])->ready)))
        lo = i;
    }
    if (lo == HR_NONE) {
      if (tabu->len >= c->pol.tabu_jobs && tabu->len)
        g_array_remove_index (tabu, 0); /* oldest out first */
      g_array_append_val (tabu, pick);
      memset (cand, 0xff, n * sizeof *cand);
      continue;
    }
    HrMachine *b = lists->pdata[lo];
    Judge before = {a->late + b->late, a->tardiness + b->tardiness};
    hr_list_remove (a, pick);
    list_insert (c, b, pick);
    hr_project (c, a, NULL);
    hr_project (c, b, NULL);
    Judge after = {a->late + b->late, a->tardiness + b->tardiness};
    if (better (after, before)) {
      total += after.tard - before.tard;
      memset (avail, 0xff, n * sizeof *avail);
      memset (cand, 0xff, n * sizeof *cand);
    } else {
      hr_list_remove (b, pick);
      list_insert (c, a, pick);
      hr_project (c, a, NULL);
      hr_project (c, b, NULL);
      cand[lo] = FALSE;
    }
  }
}

/* ---- the pass ---- */

/* Takes the room of up to n tasks off a machine for services. */
static guint
claim_on (HrMachine *m, double cpus, double gpus, double mem, guint n)
{
  while (n && hr_machine_has_beside_claims (m, cpus, gpus, mem)) {
    m->claim_cpus += cpus;
    m->claim_gpus += gpus;
    m->claim_mem += mem;
    n--;
  }
  return n;
}

/* Keeps room for n tasks of a class on machines that are up, with this image if any is
 * named, on busy ones only if asked for. Returns how many found none. */
static guint
claim_room (HrCore *c, const HrClassStat *s, guint32 image, gboolean busy, guint n)
{
  for (guint k = 0; k < c->fleet->len && n; k++) {
    HrMachine *m = c->fleet->pdata[k];
    if (m->state == HR_M_UP && usable (c, m) && (!m->spot || s->spot) &&
        (!s->types || s->types >> m->type & 1) && (!busy || m->tasks->len) &&
        (image == HR_NONE || hr_machine_has_image (m, image)))
      n = claim_on (m, s->cpus, s->gpus, s->mem, n);
  }
  return n;
}

/* Services outrank the lists: what waits for a boot has its room on the machines
 * that come up next, and some room is kept for the next arrivals; the lists are
 * projected, and started, without that room. */
static void
claim_for_services (HrCore *c)
{
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    m->claim_cpus = m->claim_gpus = m->claim_mem = 0;
    m->fixed_cpus = m->fixed_gpus = m->fixed_mem = 0;
    for (guint k = 0; k < m->tasks->len; k++) {
      const HrJobSpec *s = &job_of (c, g_array_index (m->tasks, HrRef, k))->spec;
      if (s->shape != HR_SERVICE)
        continue;
      m->fixed_cpus += s->cpus;
      m->fixed_gpus += s->gpus;
      m->fixed_mem += s->mem;
    }
  }
  for (guint i = 0; i < c->open->len; i++) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    const HrJobSpec *s = &j->spec;
    if (j->stance != HR_QUEUED || s->shape != HR_SERVICE || !j->tasks)
      continue;
    guint left = j->ntasks - j->nlive;
    for (guint k = 0; k < c->fleet->len && left; k++) {
      HrMachine *m = c->fleet->pdata[k];
      if (m->state == HR_M_BOOTING && hr_allowed (c, j, m))
        left = claim_on (m, s->cpus, s->gpus, s->mem, left);
    }
  }
  for (guint i = 0; i < c->classes->len; i++) {
    HrClassStat *s = &g_array_index (c->classes, HrClassStat, i);
    guint left = s->seen && s->shape == HR_SERVICE ? hr_headroom (c, i) : 0, all = left;
    double weight = 0;
    for (guint k = 0; k < s->nimages; k++)
      weight += s->images[k].weight;
    /* Where an image is that the next arrivals may need: a replica starts there at once. */
    for (guint k = 0; k < s->nimages && left; k++) {
      guint want = MIN (left, (guint)(all * s->images[k].weight / weight + 0.5));
      left -= want - claim_room (c, s, s->images[k].image, FALSE, want);
    }
    /* Then where others run already: whole machines are for those who need them. */
    left = claim_room (c, s, HR_NONE, TRUE, left);
    claim_room (c, s, HR_NONE, FALSE, left);
  }
}

static gboolean
stands (HrCore *c, HrMachine *m, HrRef r)
{
  HrJob *j = job_of (c, r);
  return j->tasks && j->stance == HR_QUEUED && j->tasks[r.task].state == HR_T_IDLE &&
         !j->gang_over && hr_allowed (c, j, m) && hr_zone_ok (c, j, m);
}

static int
by_deadline (gconstpointer a, gconstpointer b)
{
  const HrJob *x = *(HrJob *const *)a, *y = *(HrJob *const *)b;
  if (x->deadline != y->deadline)
    return x->deadline < y->deadline ? -1 : 1;
  return x->idx < y->idx ? -1 : x->idx > y->idx;
}

void
hr_plan (HrCore *c)
{
  g_autoptr (GPtrArray) lists = g_ptr_array_new ();
  guint queued = 0;
  hr_parts_assign (c);
  claim_for_services (c);
  for (guint i = 0; i < c->fleet->len; i++) {
    HrMachine *m = c->fleet->pdata[i];
    for (guint k = 0; k < m->list->len;) {
      HrRef r = g_array_index (m->list, HrRef, k);
      HrJob *j = job_of (c, r);
      /* Gangs are placed anew in each pass: their common start moves with every list. */
      if (usable (c, m) && stands (c, m, r) && j->spec.shape != HR_GANG) {
        k++;
        continue;
      }
      hr_unplan (j, r.task);
      g_array_remove_index (m->list, k);
    }
    if (usable (c, m)) {
      hr_project (c, m, NULL);
      g_ptr_array_add (lists, m);
    }
  }
  g_autoptr (GPtrArray) fresh = g_ptr_array_new ();
  for (guint i = 0; i < c->open->len;) {
    HrJob *j = c->jobs->pdata[g_array_index (c->open, guint32, i)];
    if (j->shrunk || !j->tasks) {
      j->listed = FALSE;
      g_array_remove_index_fast (c->open, i);
      continue;
    }
    i++;
    if (!j->parted || (j->part != HR_NONE && j->part >= c->nparts))
      hr_part_choose (c, j);
    if (j->stance == HR_QUEUED && j->spec.shape != HR_SERVICE && !j->gang_over &&
        j->retry_at <= c->now && hr_team_allows (c, j, 1) && j->nlive + j->ndone < j->ntasks) {
      g_ptr_array_add (fresh, j);
      guint left = j->ntasks - j->nlive - j->ndone - j->planned;
      queued += j->spec.shape == HR_GANG ? 1 : MIN (left, WINDOW);
    }
  }
  g_ptr_array_sort (fresh, by_deadline);
  /* Trials are what a pass costs: with more to place, each task gets fewer. */
  guint tries = MAX (c->pol.sample_lists, c->pol.pass_trials / MAX (1, queued));
  for (guint i = 0; i < fresh->len; i++) {
    HrJob *j = fresh->pdata[i];
    if (j->spec.shape == HR_GANG) {
      if (j->nlive == 0)
        mtedf_gang (c, lists, j, MAX (tries, 2 * j->ntasks));
      continue;
    }
    g_autoptr (GPtrArray) order = NULL;
    for (guint32 k = 0; k < j->ntasks && j->planned < WINDOW; k++) {
      if (j->tasks[k].state != HR_T_IDLE || j->tasks[k].planned)
        continue;
      if (!order)
        order = order_for (c, lists, j);
      if (!mtedf_task (c, order, j, k, tries)) {
        j->part = HR_NONE; /* its part cannot hold it after all: any list may */
        break;
      }
    }
  }
  tabu_search (c, lists);
}
