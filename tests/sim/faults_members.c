/* Faults of the ways between controllers, the state service and workers. */
#include "sim/faults.h"

static gboolean
is_lost (const SMachine *m)
{
  return m->gone || m->tenure > 1;
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

void
fault_store_away (World *w, int node)
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
    fault_store_away (w, k);
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
      fault_store_away (w, k);
  if (GPOINTER_TO_INT (p) >= MAX_NODES)
    fault_stumble (w, GINT_TO_POINTER (other));
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
      fault_store_away (w, k);
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
  guint up, lost = fault_marked (w, is_lost, &up);
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
