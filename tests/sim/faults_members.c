/* Scripted faults of the network between controllers, the state store and workers. */
#include "sim/faults.h"
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

static gboolean
is_lost (const SimMachine *machine)
{
  return machine->gone || machine->tenure > 1;
}

/* ---- attestations of members to the leader while all of them are cut off ---- */

#define CUT_ALL_S 50.0

static void
check_leases_held (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up = 0, lost = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    up += machine->through_cut && !machine->gone;
    lost += machine->through_cut && !machine->gone && machine->tenure > 1;
  }
  if (!up || lost)
    w_broken (world, "attestation",
              "%u of %u machines lost their lease although no member reached the state store", lost,
              up);
}

void
fault_cut_node_from_store (World *world, int node)
{
  world->nodes[node].cut_store = world->now + CUT_ALL_S;
  world->nodes[node].hold = FALSE;
}

/* Schedules a check that leases last until just before the partition ends. */
static void
schedule_lease_check (World *world)
{
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    machine->through_cut = machine->up && !machine->gone && !machine->spot && machine->tenure == 1;
  }
  w_at (world, world->now + CUT_ALL_S - 2, check_leases_held, NULL);
}

static void
cut_all_from_store (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++)
    fault_cut_node_from_store (world, k);
  schedule_lease_check (world);
}

void
faults_cut_from_store (World *world, double at)
{
  w_at (world, at, cut_all_from_store, NULL);
}

/* All nodes but one miss a cancellation. That node confirms it just before it is cut off as well,
 * and may then restart. Its attestation must not extend the leases of the cancelled job's tasks,
 * but must extend those of other jobs as long as it can name that job to the leader. */
static void
cut_remaining_from_store (World *world, gpointer data)
{
  int other = GPOINTER_TO_INT (data) % MAX_NODES;
  for (int k = 0; k < world->n; k++)
    if (world->nodes[k].cut_store < world->now)
      fault_cut_node_from_store (world, k);
  if (GPOINTER_TO_INT (data) >= MAX_NODES)
    fault_restart_quickly (world, GINT_TO_POINTER (other));
  else if (world->nodes[store_leader (world)].frozen <=
           world->now) /* a freeze of the leader would cost leases by itself */
    schedule_lease_check (world);
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
      fault_cut_node_from_store (world, k);
  users_cancel_service_at (world, other);
  w_at (world, world->now + 0.8, cut_remaining_from_store,
        GINT_TO_POINTER (other + (data ? MAX_NODES : 0)));
}

void
faults_missed_cancellation (World *world, double at, gboolean restart)
{
  w_at (world, at, missed_cancellation, GINT_TO_POINTER (restart));
}

static void
cancel_at_other_nodes (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  for (int k = 0; k < world->n; k++)
    if (k != leader)
      users_cancel_service_at (world, k);
}

static void
store_outage (World *world, gpointer data G_GNUC_UNUSED)
{
  world->outage = world->now + CUT_ALL_S;
  schedule_lease_check (world);
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
    w_at (world, world->now + after, cancel_at_other_nodes, NULL);
    after += 0.4;
  }
  w_at (world, world->now + 2, store_outage, NULL);
}

void
faults_cancellation_gap (World *world, double at)
{
  w_at (world, at, cancellation_gap, NULL);
}

/* No machine with running tasks may be given up because its reports do not reach the leader. */
static void
check_workers_kept (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_count_marked (world, is_lost, &up);
  if (!up || lost)
    w_broken (world, "kept", "%u of %u machines lost after the leader was cut off from its workers",
              lost, up);
}

static void
cut_leader_from_workers (World *world, gpointer data)
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
  w_at (world, world->now + 39, check_workers_kept, NULL);
}

void
faults_cut_leader_from_workers (World *world, double at, gboolean hold)
{
  w_at (world, at, cut_leader_from_workers, GINT_TO_POINTER (hold));
}
