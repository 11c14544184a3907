/* Faults of the ways between controllers, the state service and workers. */
#include "sim/faults.h"
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

static gboolean
is_lost (const SimMachine *machine)
{
  return machine->gone || machine->incarnation > 1;
}

/* ---- what members tell the leader in a cut of them all ---- */

#define CUT_ALL_S 50.0

static void
still_held (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint up = 0, lost = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    up += machine->tracked_by_fault && !machine->gone;
    lost += machine->tracked_by_fault && !machine->gone && machine->incarnation > 1;
  }
  if (!up || lost)
    sim_report_violation (cluster, "attestation",
                          "%u of %u machines lost their lease, though no member was served", lost,
                          up);
}

void
fault_store_away (SimCluster *cluster, int node)
{
  cluster->nodes[node].cut_store_until = cluster->now + CUT_ALL_S;
  cluster->nodes[node].cut_holds_messages = FALSE;
}

/* Leases are to last until just before the cut ends. */
static void
watch_leases (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    machine->tracked_by_fault =
        machine->up && !machine->gone && !machine->spot && machine->incarnation == 1;
  }
  sim_schedule (cluster, cluster->now + CUT_ALL_S - 2, still_held, NULL);
}

static void
all_away (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++)
    fault_store_away (cluster, k);
  watch_leases (cluster);
}

void
faults_cut_from_store (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, all_away, NULL);
}

/* All but one node miss a cancellation that this one confirms just before it is cut off too,
 * and perhaps restarts: its attestation must not keep the job's tasks alive, but those of
 * others, as long as it can name that job to the leader. */
static void
others_away (SimCluster *cluster, gpointer data)
{
  int other = GPOINTER_TO_INT (data) % MAX_NODES;
  for (int k = 0; k < cluster->n; k++)
    if (cluster->nodes[k].cut_store_until < cluster->now)
      fault_store_away (cluster, k);
  if (GPOINTER_TO_INT (data) >= MAX_NODES)
    fault_stumble (cluster, GINT_TO_POINTER (other));
  else if (cluster->nodes[store_leader (cluster)].frozen_until <=
           cluster->now) /* else that costs leases by itself */
    watch_leases (cluster);
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
      fault_store_away (cluster, k);
  users_cancel_service_at (cluster, other);
  sim_schedule (cluster, cluster->now + 0.8, others_away,
                GINT_TO_POINTER (other + (data ? MAX_NODES : 0)));
}

void
faults_missed_cancellation (SimCluster *cluster, double at, gboolean restart)
{
  sim_schedule (cluster, at, missed_cancellation, GINT_TO_POINTER (restart));
}

static void
cancel_elsewhere (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  for (int k = 0; k < cluster->n; k++)
    if (k != leader)
      users_cancel_service_at (cluster, k);
}

static void
outage_for_all (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  cluster->store_outage_until = cluster->now + CUT_ALL_S;
  watch_leases (cluster);
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
    sim_schedule (cluster, cluster->now + after, cancel_elsewhere, NULL);
    after += 0.4;
  }
  sim_schedule (cluster, cluster->now + 2, outage_for_all, NULL);
}

void
faults_cancellation_gap (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cancellation_gap, NULL);
}

/* Nothing that runs may be given away because its reports do not reach the leader. */
static void
reached_again (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_marked (cluster, is_lost, &up);
  if (!up || lost)
    sim_report_violation (cluster, "kept",
                          "%u of %u machines are lost with the owner's way to its workers", lost,
                          up);
}

static void
leader_unreached (SimCluster *cluster, gpointer data)
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
  sim_schedule (cluster, cluster->now + 39, reached_again, NULL);
}

void
faults_leader_unreached (SimCluster *cluster, double at, gboolean hold)
{
  sim_schedule (cluster, at, leader_unreached, GINT_TO_POINTER (hold));
}
