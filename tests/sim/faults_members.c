/* Scripted faults of the network between controllers, the state store and workers. */
#include "sim/faults.h"
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

static gboolean
is_lost (const SimMachine *machine)
{
  return machine->gone || machine->incarnation > 1;
}

/* ---- attestations of members to the leader while all of them are cut off ---- */

#define CUT_ALL_S 50.0

static void
check_leases_held (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint up = 0, lost = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    up += machine->tracked_by_fault && !machine->gone;
    lost += machine->tracked_by_fault && !machine->gone && machine->incarnation > 1;
  }
  if (!up || lost)
    sim_report_violation (
        cluster, "attestation",
        "%u of %u machines lost their lease although no member reached the state store", lost, up);
}

void
fault_cut_node_from_store (SimCluster *cluster, int node)
{
  cluster->nodes[node].cut_store_until = cluster->now + CUT_ALL_S;
  cluster->nodes[node].cut_holds_messages = FALSE;
}

/* Schedules a check that leases last until just before the partition ends. */
static void
schedule_lease_check (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    machine->tracked_by_fault =
        machine->up && !machine->gone && !machine->spot && machine->incarnation == 1;
  }
  sim_schedule (cluster, cluster->now + CUT_ALL_S - 2, check_leases_held, NULL);
}

static void
cut_all_from_store (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++)
    fault_cut_node_from_store (cluster, k);
  schedule_lease_check (cluster);
}

void
faults_cut_from_store (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cut_all_from_store, NULL);
}

/* All nodes but one miss a cancellation. That node confirms it just before it is cut off as well,
 * and may then restart. Its attestation must not extend the leases of the cancelled job's tasks,
 * but must extend those of other jobs as long as it can name that job to the leader. */
static void
cut_remaining_from_store (SimCluster *cluster, gpointer data)
{
  int other = GPOINTER_TO_INT (data) % MAX_NODES;
  for (int k = 0; k < cluster->n; k++)
    if (cluster->nodes[k].cut_store_until < cluster->now)
      fault_cut_node_from_store (cluster, k);
  if (GPOINTER_TO_INT (data) >= MAX_NODES)
    fault_restart_quickly (cluster, GINT_TO_POINTER (other));
  else if (cluster->nodes[store_leader (cluster)].frozen_until <=
           cluster->now) /* a freeze of the leader would cost leases by itself */
    schedule_lease_check (cluster);
}

static void
missed_cancellation (SimCluster *cluster, gpointer data)
{
  int leader = store_leader (cluster);
  if (leader < 0)
    return;
  int other = (leader + 1) % cluster->n;
  for (int k = 0; k < cluster->n; k++)
    if (k != other)
      fault_cut_node_from_store (cluster, k);
  users_cancel_service_at (cluster, other);
  sim_schedule (cluster, cluster->now + 0.8, cut_remaining_from_store,
                GINT_TO_POINTER (other + (data ? MAX_NODES : 0)));
}

void
faults_missed_cancellation (SimCluster *cluster, double at, gboolean restart)
{
  sim_schedule (cluster, at, missed_cancellation, GINT_TO_POINTER (restart));
}

static void
cancel_at_other_nodes (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  for (int k = 0; k < cluster->n; k++)
    if (k != leader)
      users_cancel_service_at (cluster, k);
}

static void
store_outage (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  cluster->store_outage_until = cluster->now + CUT_ALL_S;
  schedule_lease_check (cluster);
}

static void
cancellation_gap (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  if (leader < 0)
    return;
  cluster->nodes[leader].store_refuses_until = cluster->now + 14;
  double after = 0.3;
  while (after < 1.5) {
    sim_schedule (cluster, cluster->now + after, cancel_at_other_nodes, NULL);
    after += 0.4;
  }
  sim_schedule (cluster, cluster->now + 2, store_outage, NULL);
}

void
faults_cancellation_gap (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cancellation_gap, NULL);
}

/* Checks that no machine with running tasks was given up because its heartbeats did not reach the
 * leader. */
static void
check_workers_kept (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_count_marked (cluster, is_lost, &up);
  if (!up || lost)
    sim_report_violation (cluster, "kept",
                          "%u of %u machines lost after the leader was cut off from its workers",
                          lost, up);
}

static void
cut_leader_from_workers (SimCluster *cluster, gpointer data)
{
  int leader = store_leader (cluster);
  if (leader < 0)
    return;
  cluster->nodes[leader].cut_workers_until = cluster->now + 40;
  cluster->nodes[leader].cut_holds_messages = data != NULL;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    machine->tracked_by_fault =
        machine->up && !machine->gone && machine->incarnation == 1 && machine->tasks->len;
  }
  sim_schedule (cluster, cluster->now + 39, check_workers_kept, NULL);
}

void
faults_cut_leader_from_workers (SimCluster *cluster, double at, gboolean hold)
{
  sim_schedule (cluster, at, cut_leader_from_workers, GINT_TO_POINTER (hold));
}
