/* Scripted faults of machines and of whole controllers. */
#include "sim/cloud.h"
#include "sim/faults.h"

#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

#define COMPACTION_INTERVAL_S 10
#define LEADER_CHANGE_INTERVAL_S 35

static gboolean
is_kept (const SimMachine *machine)
{
  return !machine->delete_requested_at;
}

/* When half of the machines are silent, a new leader has to suspect its own connections first. To
 * prove by elapsed time that the machines have ended takes hold_s and a lease; the cloud's list
 * shows it earlier. Checks that the leader has requested their deletion. */
static void
check_deletion_requested (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint crashed, kept = fault_count_marked (cluster, is_kept, &crashed);
  if (!crashed || kept)
    sim_report_violation (cluster, "proof", "no deletion requested for %u of %u crashed machines",
                          kept, crashed);
}

static void
crash_half_of_machines (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  guint n = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    machine->tracked_by_fault = machine->up && !machine->gone && machine->tasks->len && n++ % 2;
    if (machine->tracked_by_fault)
      machine_terminate (cluster, machine);
  }
  if (leader >= 0)
    fault_crash (cluster, leader);
  sim_schedule (cluster, cluster->now + 26, check_deletion_requested, NULL);
}

void
faults_crash_half_of_machines (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, crash_half_of_machines, NULL);
}

static void
crash_leader (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  if (leader >= 0)
    fault_crash (cluster, leader);
}

static void
crash_all_nodes (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++)
    fault_crash (cluster, k);
}

static void
cut_all_from_store (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++)
    fault_cut_node_from_store (cluster, k);
}

static void
two_leaders (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  if (leader < 0)
    return;
  SimNode *n = &cluster->nodes[leader];
  n->cut_store_until = n->cut_peers_until = cluster->now + 7.9;
  n->isolated_at = cluster->now;
  n->cut_holds_messages = FALSE;
  sim_schedule (cluster, cluster->now + 5, cut_all_from_store, NULL);
}

void
faults_two_leaders (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, two_leaders, NULL);
}

static void
corrupt_pages (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  crash_all_nodes (cluster, NULL);
  if (!store_corrupt_pages (cluster))
    sim_report_violation (cluster, "unreadable", "no record page exists");
}

void
faults_unreadable_pages (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, corrupt_pages, NULL);
}

static void
mass_failure (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint n = 0, dead = 0, hung = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    if (!machine->up || machine->gone)
      continue;
    n++;
    if (n % 4 == 0) {
      machine->cut_until = cluster->now + 45;
      machine->cut_holds_messages = TRUE;
    } else if (n % 4 == 1 && dead++ < 100)
      machine_terminate (cluster, machine);
    else if (n % 4 == 2 && hung++ < 100) /* some for longer than their lease */
      machine->hang_until = cluster->now + (n % 8 < 4 ? 20 : 35);
  }
}

void
faults_mass_failure (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, mass_failure, NULL);
  sim_schedule (cluster, at + 4, crash_leader, NULL);
  sim_schedule (cluster, at + 80, crash_all_nodes, NULL);
  sim_schedule (cluster, at + 130, crash_all_nodes, NULL);
  faults_freeze (cluster, at + 170, FREEZE_LEADER, 20);
}

static void
crash_gang_machines (SimCluster *cluster, gpointer data)
{
  double *to = data;
  for (guint i = 0; cluster->jobs && i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    SimMachine *last = NULL;
    guint here = 0;
    for (guint k = 0; k < cluster->machines->len; k++) {
      SimMachine *machine = cluster->machines->pdata[k];
      for (guint n = 0; !machine->gone && n < machine->tasks->len; n++) {
        SimTask *task = &g_array_index (machine->tasks, SimTask, n);
        if (task->job == i && task->state == SIM_TASK_FETCH) {
          here++;
          last = machine;
        }
      }
    }
    if (here == job->tasks && !job->lost_gang_machine) {
      job->lost_gang_machine = TRUE;
      machine_terminate (cluster, last);
    }
  }
  if (cluster->now < *to)
    sim_schedule (cluster, cluster->now + 0.5, crash_gang_machines, data);
  else
    g_free (data);
}

void
faults_crash_gang_machines (SimCluster *cluster, double from, double to)
{
  sim_schedule (cluster, from, crash_gang_machines, g_memdup2 (&to, sizeof to));
}

void
faults_crash_leader (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, crash_leader, NULL);
}

static void
change_leader (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  /* Crashes all controllers but one, whichever of them leads, so that a node without any state
   * leads next. */
  int i = g_rand_int_range (cluster->rand, 0, cluster->n);
  for (int k = 0; k < cluster->n - 1; k++)
    fault_crash (cluster, (i + k) % cluster->n);
  for (guint k = 0; k < cluster->machines->len; k++) {
    SimMachine *machine = cluster->machines->pdata[k];
    if (machine->up && !machine->gone && sim_rand_range (cluster, 0, 1) < 0.2)
      machine_terminate (cluster, machine);
  }
}

static void
compact_changes (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  if (leader >= 0)
    cluster->nodes[leader].compacted_epoch = cluster->epoch;
}

void
faults_compact_changes (SimCluster *cluster, double from, double to)
{
  double at = from;
  while (at < to) {
    sim_schedule (cluster, at, compact_changes, NULL);
    at += COMPACTION_INTERVAL_S;
  }
}

void
faults_change_leaders (SimCluster *cluster, double from, double to)
{
  double at = from;
  while (at < to) {
    sim_schedule (cluster, at, change_leader, NULL);
    at += LEADER_CHANGE_INTERVAL_S;
  }
}
