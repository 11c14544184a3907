/* Troubles drawn from the seed: alone, together, and in the middle of each other. */
#include "sim/world.h"

static void
start (World *w, gpointer p)
{
  node_start (w, GPOINTER_TO_INT (p));
}

static void
crash (World *w, int i)
{
  node_kill (w, i);
  /* Back after a while, now and then within a fraction of a second. */
  w_at (w, w->now + (w_rand (w, 0, 1) < 0.3 ? w_rand (w, 0.05, 0.5) : w_rand (w, 3, 7)), start,
        GINT_TO_POINTER (i));
}

/* Again and again, each time back within a fraction of a second. */
static void
stumble (World *w, gpointer p)
{
  int i = GPOINTER_TO_INT (p);
  node_kill (w, i);
  w_at (w, w->now + w_rand (w, 0.05, 0.5), start, p);
}

static void
fault (World *w, gpointer p)
{
  int i = g_rand_int_range (w->rand, 0, w->n);
  Node *n = &w->nodes[i];
  SMachine *m =
      w->machines->len ? w->machines->pdata[g_rand_int_range (w->rand, 0, w->machines->len)] : NULL;
  double d = w_rand (w, 3, 40);
  gboolean hold = w_rand (w, 0, 1) < 0.5;
  int kind = g_rand_int_range (w->rand, 0, 20);
  sim_log_time = w->now;
  g_debug ("fault %d on c%d or %s for %.1f s, %s", kind, i, m ? m->name : "-", d,
           hold ? "held" : "lost");
  switch (kind) {
  case 0:
  case 1:
    crash (w, i);
    break;
  case 2:
    for (int k = 0; k < w->n; k++)
      crash (w, k);
    break;
  case 3:
    w->outage = w->now + MIN (d, 28);
    break;
  case 4:
    n->refused = w->now + d;
    break;
  case 5:
    n->cut_workers = w->now + d;
    n->hold = hold;
    break;
  case 6:
    n->cut_store = w->now + d;
    n->hold = hold;
    break;
  case 7:
    n->cut_workers = n->cut_store = n->cut_peers = n->cut_users = w->now + d;
    n->alone_at = w->now;
    n->hold = hold;
    break;
  case 8:
    if (m) {
      m->cut = w->now + d;
      m->hold = hold;
    }
    break;
  case 9:
    if (m)
      m->hang = w->now + d;
    break;
  case 10:
    for (guint k = 0; k < w->machines->len; k++)
      if (((SMachine *)w->machines->pdata[k])->spot && w_rand (w, 0, 1) < 0.5)
        machine_take (w, w->machines->pdata[k]);
    break;
  case 11:
    w->cloud_outage = w->now + d;
    break;
  case 12:
    w->outage = w->now + MIN (d, 28);
    for (int k = 0; k < w->n; k++)
      crash (w, k);
    break;
  case 13:
  case 14: /* several, so that it looks like a trouble of the controller's */
    for (guint k = 0; k < w->machines->len; k++) {
      SMachine *x = w->machines->pdata[k];
      if (x == m || (kind == 14 && w_rand (w, 0, 1) < 0.3))
        x->deaf = w->now + d;
    }
    break;
  case 15: /* but not its workers and users */
    n->cut_store = n->cut_peers = w->now + d;
    n->alone_at = w->now;
    n->hold = hold;
    break;
  case 16:
  case 17:
    for (int k = 0; k < (kind == 17 ? w->n : 1); k++)
      for (double t = 0; t < 6; t += w_rand (w, 0.6, 2.5))
        w_at (w, w->now + t, stumble, GINT_TO_POINTER ((i + k) % w->n));
    break;
  case 18:
  case 19:
    for (int k = 0; k < (kind == 19 ? w->n : 1); k++)
      node_freeze (w, (i + k) % w->n, d);
    break;
  }
}

typedef struct {
  FreezeWho who;
  double for_s;
} Freeze;

static void
freeze (World *w, gpointer p)
{
  Freeze *f = p;
  int owner = MAX (0, store_owner (w));
  for (int k = 0; k < w->n; k++)
    if (f->who == FREEZE_ALL || (f->who == FREEZE_OWNER) == (k == owner))
      node_freeze (w, k, f->for_s);
  g_free (f);
}

void
faults_freeze (World *w, double at, FreezeWho who, double for_s)
{
  Freeze *f = g_new (Freeze, 1);
  *f = (Freeze){who, for_s};
  w_at (w, at, freeze, f);
}

/* The busiest machine hears nothing for long: it must be gone well before that is over,
 * or whatever is placed on it never runs. */
static void
still_there (World *w, gpointer p)
{
  SMachine *m = p;
  if (!m->gone)
    w_broken (w, "deaf", "%s hears nothing and is kept", m->name);
}

static void
deafen (World *w, gpointer p)
{
  SMachine *m = NULL;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *x = w->machines->pdata[i];
    if (x->up && !x->gone && !x->warned && (!m || x->tasks->len > m->tasks->len))
      m = x;
  }
  if (!m)
    return;
  m->deaf = w->now + 200;
  w_at (w, w->now + 60, still_there, m);
}

void
faults_deaf (World *w, double at)
{
  w_at (w, at, deafen, NULL);
}

/* Of the machines marked for it when a trouble began: how many there are, and for how many it is
 * so. */
static guint
of_marked (World *w, gboolean (*is) (const SMachine *), guint *all)
{
  guint n = 0;
  *all = 0;
  for (guint i = 0; i < w->machines->len; i++) {
    const SMachine *m = w->machines->pdata[i];
    *all += m->through_cut;
    n += m->through_cut && is (m);
  }
  return n;
}

static gboolean
is_gone (const SMachine *m)
{
  return m->gone;
}

static gboolean
is_lost (const SMachine *m)
{
  return m->gone || m->tenure > 1;
}

static gboolean
is_kept (const SMachine *m)
{
  return !m->asked_gone;
}

/* All controllers behind one cut, which holds back what is sent to them; they hear one
 * another. Nothing that was up before may be given away because of it. */
static void
kept (World *w, gpointer p)
{
  guint up, lost = of_marked (w, is_gone, &up);
  if (!up || lost * 3 > up)
    w_broken (w, "kept", "%u of %u machines are given away after a cut", lost, up);
}

static void
cut_ends (World *w, gpointer p)
{
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    m->through_cut = m->up && !m->gone && m->tasks->len == 0 && m->tenure > 1;
  }
}

static void
cut_all (World *w, gpointer p)
{
  for (int k = 0; k < w->n; k++) {
    Node *n = &w->nodes[k];
    n->cut_workers = n->cut_store = n->cut_users = w->now + 30;
    n->hold = TRUE;
  }
  w_at (w, w->now + 29.5, cut_ends, NULL);
  w_at (w, w->now + 42, kept, NULL);
}

void
faults_held_cut (World *w, double at)
{
  w_at (w, at, cut_all, NULL);
}

/* ---- what members tell the owner in a cut of them all ---- */

#define CUT_ALL_S 50.0

static void
still_held (World *w, gpointer p)
{
  guint up = 0, lost = 0;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    up += m->through_cut && !m->gone;
    lost += m->through_cut && !m->gone && m->tenure > 1;
  }
  if (!up || lost)
    w_broken (w, "attestation", "%u of %u machines lost their lease, though no member was served",
              lost, up);
}

static void
store_away (World *w, int node)
{
  w->nodes[node].cut_store = w->now + CUT_ALL_S;
  w->nodes[node].hold = FALSE;
}

/* Leases are to last until just before the cut ends. */
static void
watch_leases (World *w)
{
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    m->through_cut = m->up && !m->gone && !m->spot && m->tenure == 1;
  }
  w_at (w, w->now + CUT_ALL_S - 2, still_held, NULL);
}

static void
all_away (World *w, gpointer p)
{
  for (int k = 0; k < w->n; k++)
    store_away (w, k);
  watch_leases (w);
}

void
faults_cut_from_store (World *w, double at)
{
  w_at (w, at, all_away, NULL);
}

/* All but one node miss a withdrawal that this one confirms just before it is cut off too,
 * and perhaps restarts: its attestation must not keep the job's tasks alive, but those of
 * others, as long as it can name that job to the owner. */
static void
others_away (World *w, gpointer p)
{
  int other = GPOINTER_TO_INT (p) % MAX_NODES;
  for (int k = 0; k < w->n; k++)
    if (w->nodes[k].cut_store < w->now)
      store_away (w, k);
  if (GPOINTER_TO_INT (p) >= MAX_NODES)
    stumble (w, GINT_TO_POINTER (other));
  else if (w->nodes[store_owner (w)].frozen <= w->now) /* else that costs leases by itself */
    watch_leases (w);
}

static void
missed_withdrawal (World *w, gpointer p)
{
  int owner = store_owner (w);
  if (owner < 0)
    return;
  int other = (owner + 1) % w->n;
  for (int k = 0; k < w->n; k++)
    if (k != other)
      store_away (w, k);
  users_withdraw_at (w, other);
  w_at (w, w->now + 0.8, others_away, GINT_TO_POINTER (other + (p ? MAX_NODES : 0)));
}

void
faults_missed_withdrawal (World *w, double at, gboolean restart)
{
  w_at (w, at, missed_withdrawal, GINT_TO_POINTER (restart));
}

static void
withdraw_elsewhere (World *w, gpointer p)
{
  int owner = store_owner (w);
  for (int k = 0; k < w->n; k++)
    if (k != owner)
      users_withdraw_at (w, k);
}

static void
outage_for_all (World *w, gpointer p)
{
  w->outage = w->now + CUT_ALL_S;
  watch_leases (w);
}

static void
withdrawal_gap (World *w, gpointer p)
{
  int owner = store_owner (w);
  if (owner < 0)
    return;
  w->nodes[owner].refused = w->now + 14;
  for (double t = 0.3; t < 1.5; t += 0.4)
    w_at (w, w->now + t, withdraw_elsewhere, NULL);
  w_at (w, w->now + 2, outage_for_all, NULL);
}

void
faults_withdrawal_gap (World *w, double at)
{
  w_at (w, at, withdrawal_gap, NULL);
}

/* Nothing that runs may be given away because its reports do not reach the owner. */
static void
reached_again (World *w, gpointer p)
{
  guint up, lost = of_marked (w, is_lost, &up);
  if (!up || lost)
    w_broken (w, "kept", "%u of %u machines are lost with the owner's way to its workers", lost,
              up);
}

static void
owner_unreached (World *w, gpointer p)
{
  int owner = store_owner (w);
  if (owner < 0)
    return;
  w->nodes[owner].cut_workers = w->now + 40;
  w->nodes[owner].hold = p != NULL;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    m->through_cut = m->up && !m->gone && m->tenure == 1 && m->tasks->len;
  }
  w_at (w, w->now + 39, reached_again, NULL);
}

void
faults_owner_unreached (World *w, double at, gboolean hold)
{
  w_at (w, at, owner_unreached, GINT_TO_POINTER (hold));
}

/* That half of all is silent looks like a trouble of the new owner's own, and proof by time
 * takes it hold_s and a lease. The cloud's list tells sooner. */
static void
proven (World *w, gpointer p)
{
  guint gone, kept = of_marked (w, is_kept, &gone);
  if (!gone || kept)
    w_broken (w, "proof", "%u of %u machines that went are not asked to be deleted", kept, gone);
}

static void
half_gone (World *w, gpointer p)
{
  int owner = store_owner (w);
  guint n = 0;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    m->through_cut = m->up && !m->gone && m->tasks->len && n++ % 2;
    if (m->through_cut)
      machine_end (w, m);
  }
  if (owner >= 0)
    crash (w, owner);
  w_at (w, w->now + 26, proven, NULL);
}

void
faults_half_gone (World *w, double at)
{
  w_at (w, at, half_gone, NULL);
}

static void
owner_ends (World *w, gpointer p)
{
  int owner = store_owner (w);
  if (owner >= 0)
    crash (w, owner);
}

static void
all_end (World *w, gpointer p)
{
  for (int k = 0; k < w->n; k++)
    crash (w, k);
}

static void
all_unserved (World *w, gpointer p)
{
  for (int k = 0; k < w->n; k++)
    store_away (w, k);
}

static void
two_owners (World *w, gpointer p)
{
  int owner = store_owner (w);
  if (owner < 0)
    return;
  Node *n = &w->nodes[owner];
  n->cut_store = n->cut_peers = w->now + 7.9;
  n->alone_at = w->now;
  n->hold = FALSE;
  w_at (w, w->now + 5, all_unserved, NULL);
}

void
faults_two_owners (World *w, double at)
{
  w_at (w, at, two_owners, NULL);
}

static void
tear (World *w, gpointer p)
{
  all_end (w, NULL);
  if (!store_tear (w))
    w_broken (w, "unreadable", "no page is there");
}

void
faults_unreadable_pages (World *w, double at)
{
  w_at (w, at, tear, NULL);
}

static void
mass (World *w, gpointer p)
{
  guint n = 0, dead = 0, hung = 0;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    if (!m->up || m->gone)
      continue;
    n++;
    if (n % 4 == 0) {
      m->cut = w->now + 45;
      m->hold = TRUE;
    } else if (n % 4 == 1 && dead++ < 100)
      machine_end (w, m);
    else if (n % 4 == 2 && hung++ < 100) /* some past their lease */
      m->hang = w->now + (n % 8 < 4 ? 20 : 35);
  }
}

void
faults_mass (World *w, double at)
{
  w_at (w, at, mass, NULL);
  w_at (w, at + 4, owner_ends, NULL);
  w_at (w, at + 80, all_end, NULL);
  w_at (w, at + 130, all_end, NULL);
  faults_freeze (w, at + 170, FREEZE_OWNER, 20);
}

static void
lose_places (World *w, gpointer p)
{
  double *to = p;
  for (guint i = 0; w->jobs && i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    SMachine *last = NULL;
    guint here = 0;
    for (guint k = 0; k < w->machines->len; k++) {
      SMachine *m = w->machines->pdata[k];
      for (guint n = 0; !m->gone && n < m->tasks->len; n++) {
        STask *t = &g_array_index (m->tasks, STask, n);
        if (t->job == i && t->state == S_FETCH) {
          here++;
          last = m;
        }
      }
    }
    if (here == j->tasks && !j->lost_place) {
      j->lost_place = TRUE;
      machine_end (w, last);
    }
  }
  if (w->now < *to)
    w_at (w, w->now + 0.5, lose_places, p);
  else
    g_free (p);
}

void
faults_lost_places (World *w, double from, double to)
{
  w_at (w, from, lose_places, g_memdup2 (&to, sizeof to));
}

void
faults_owner_ends (World *w, double at)
{
  w_at (w, at, owner_ends, NULL);
}

static void
change_owner (World *w, gpointer p)
{
  /* Whoever leads: all but one go, one after the other, so that a node that knows
   * nothing leads next. */
  int i = g_rand_int_range (w->rand, 0, w->n);
  for (int k = 0; k < w->n - 1; k++)
    crash (w, (i + k) % w->n);
  for (guint k = 0; k < w->machines->len; k++) {
    SMachine *m = w->machines->pdata[k];
    if (m->up && !m->gone && w_rand (w, 0, 1) < 0.2)
      machine_end (w, m);
  }
}

void
faults_owners (World *w, double from, double to)
{
  for (double t = from; t < to; t += 35)
    w_at (w, t, change_owner, NULL);
}

void
world_calm (World *w, gpointer unused)
{
  if (w->now < MAX (w->faults_to, w->troubles.over_at))
    return;
  w->calm = TRUE;
  w->calm_at = w->now;
}

void
faults_init (World *w, guint n, double from, double to)
{
  for (guint i = 0; i < n; i++)
    w_at (w, w_rand (w, from, to), fault, NULL);
  w->faults_to = to;
  w_at (w, to, world_calm, NULL);
}
