/* Troubles drawn from the seed: alone, together, and in the middle of each other. */
#include "sim/faults.h"

void
fault_crash (World *w, int i)
{
  node_kill (w, i);
  /* Back after a while, now and then within a fraction of a second. */
  node_start_at (w, i,
                 w->now + (w_rand (w, 0, 1) < 0.3 ? w_rand (w, 0.05, 0.5) : w_rand (w, 3, 7)));
}

/* Again and again, each time back within a fraction of a second. */
void
fault_stumble (World *w, gpointer p)
{
  int i = GPOINTER_TO_INT (p);
  node_kill (w, i);
  node_start_at (w, GPOINTER_TO_INT (p), w->now + w_rand (w, 0.05, 0.5));
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
    fault_crash (w, i);
    break;
  case 2:
    for (int k = 0; k < w->n; k++)
      fault_crash (w, k);
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
      fault_crash (w, k);
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
        w_at (w, w->now + t, fault_stumble, GINT_TO_POINTER ((i + k) % w->n));
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
guint
fault_marked (World *w, gboolean (*is) (const SMachine *), guint *all)
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

/* All controllers behind one cut, which holds back what is sent to them; they hear one
 * another. Nothing that was up before may be given away because of it. */
static void
kept (World *w, gpointer p)
{
  guint up, lost = fault_marked (w, is_gone, &up);
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
