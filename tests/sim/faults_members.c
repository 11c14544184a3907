/* Faults of the ways between controllers, the state service and workers. */
#include "sim/faults.h"
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

static gboolean
is_lost (const SimMachine *machine)
{
  return machine->gone || machine->tenure > 1;
}

/* ---- what members tell the leader in a cut of them all ---- */

#define CUT_ALL_S 50.0

static void
still_held (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up = 0, lost = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    up += machine->through_cut && !machine->gone;
    lost += machine->through_cut && !machine->gone && machine->tenure > 1;
  }
  if (!up || lost)
    w_broken (world, "attestation",
              "%u of %u machines lost their lease, though no member was served", lost, up);
}

void
fault_store_away (World *world, int node)
{
  world->nodes[node].cut_store = world->now + CUT_ALL_S;
  world->nodes[node].hold = FALSE;
}

/* Leases are to last until just before the cut ends. */
static void
watch_leases (World *world)
{
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    machine->through_cut = machine->up && !machine->gone && !machine->spot && machine->tenure == 1;
  }
  w_at (world, world->now + CUT_ALL_S - 2, still_held, NULL);
}

static void
all_away (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++)
    fault_store_away (world, k);
  watch_leases (world);
}

void
faults_cut_from_store (World *world, double at)
{
  w_at (world, at, all_away, NULL);
}

/* All but one node miss a cancellation that this one confirms just before it is cut off too,
 * and perhaps restarts: its attestation must not keep the job's tasks alive, but those of
 * others, as long as it can name that job to the leader. */
static void
others_away (World *world, gpointer data)
{
  int other = GPOINTER_TO_INT (data) % MAX_NODES;
  for (int k = 0; k < world->n; k++)
    if (world->nodes[k].cut_store < world->now)
      fault_store_away (world, k);
  if (GPOINTER_TO_INT (data) >= MAX_NODES)
    fault_stumble (world, GINT_TO_POINTER (other));
  else if (world->nodes[store_leader (world)].frozen <=
           world->now) /* else that costs leases by itself */
    watch_leases (world);
}

static void
missed_cancellation (World *world, gpointer data)
{
  int leader = store_leader (world);
  if (leader < 0)
    return;
  int other = (leader + 1) % world->n;
  for (int k = 0; k < world->n; k++)
    if (k != other)
      fault_store_away (world, k);
  users_cancel_service_at (world, other);
  w_at (world, world->now + 0.8, others_away, GINT_TO_POINTER (other + (data ? MAX_NODES : 0)));
}

void
faults_missed_cancellation (World *world, double at, gboolean restart)
{
  w_at (world, at, missed_cancellation, GINT_TO_POINTER (restart));
}

static void
cancel_elsewhere (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  for (int k = 0; k < world->n; k++)
    if (k != leader)
      users_cancel_service_at (world, k);
}

static void
outage_for_all (World *world, gpointer data G_GNUC_UNUSED)
{
  world->outage = world->now + CUT_ALL_S;
  watch_leases (world);
}

static void
cancellation_gap (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  if (leader < 0)
    return;
  world->nodes[leader].refused = world->now + 14;
  double after = 0.3;
  while (after < 1.5) {
    w_at (world, world->now + after, cancel_elsewhere, NULL);
    after += 0.4;
  }
  w_at (world, world->now + 2, outage_for_all, NULL);
}

void
faults_cancellation_gap (World *world, double at)
{
  w_at (world, at, cancellation_gap, NULL);
}

/* Nothing that runs may be given away because its reports do not reach the leader. */
static void
reached_again (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_marked (world, is_lost, &up);
  if (!up || lost)
    w_broken (world, "kept", "%u of %u machines are lost with the owner's way to its workers", lost,
              up);
}

static void
leader_unreached (World *world, gpointer data)
{
  int leader = store_leader (world);
  if (leader < 0)
    return;
  world->nodes[leader].cut_workers = world->now + 40;
  world->nodes[leader].hold = data != NULL;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    machine->through_cut =
        machine->up && !machine->gone && machine->tenure == 1 && machine->tasks->len;
  }
  w_at (world, world->now + 39, reached_again, NULL);
}

void
faults_leader_unreached (World *world, double at, gboolean hold)
{
  w_at (world, at, leader_unreached, GINT_TO_POINTER (hold));
}
