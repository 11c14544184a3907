/* Faults of machines and of whole controllers. */
#include "sim/faults.h"

static gboolean
is_kept (const SMachine *m)
{
  return !m->asked_gone;
}

/* That half of all is silent looks like a trouble of the new owner's own, and proof by time
 * takes it hold_s and a lease. The cloud's list tells sooner. */
static void
proven (World *w, gpointer p)
{
  guint gone, kept = fault_marked (w, is_kept, &gone);
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
    fault_crash (w, owner);
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
    fault_crash (w, owner);
}

static void
all_end (World *w, gpointer p)
{
  for (int k = 0; k < w->n; k++)
    fault_crash (w, k);
}

static void
all_unserved (World *w, gpointer p)
{
  for (int k = 0; k < w->n; k++)
    fault_store_away (w, k);
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
    fault_crash (w, (i + k) % w->n);
  for (guint k = 0; k < w->machines->len; k++) {
    SMachine *m = w->machines->pdata[k];
    if (m->up && !m->gone && w_rand (w, 0, 1) < 0.2)
      machine_end (w, m);
  }
}

static void
changes_gone (World *w, gpointer p)
{
  int owner = store_owner (w);
  if (owner >= 0)
    w->nodes[owner].too_old = w->epoch;
}

void
faults_changes_gone (World *w, double from, double to)
{
  for (double t = from; t < to; t += 10)
    w_at (w, t, changes_gone, NULL);
}

void
faults_owners (World *w, double from, double to)
{
  for (double t = from; t < to; t += 35)
    w_at (w, t, change_owner, NULL);
}
