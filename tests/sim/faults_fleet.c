/* Faults of machines and of whole controllers. */
#include "sim/cloud.h"
#include "sim/faults.h"

#define CHANGES_GONE_EVERY_S 10
#define LEADER_CHANGES_EVERY_S 35
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

static gboolean
is_kept (const SimMachine *machine)
{
  return !machine->delete_requested_at;
}

/* That half of all is silent looks like a trouble of the new leader's own, and proof by time
 * takes it hold_s and a lease. The cloud's list tells sooner. */
static void
proven (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint gone, kept = fault_marked (cluster, is_kept, &gone);
  if (!gone || kept)
    sim_report_violation (cluster, "proof",
                          "%u of %u machines that went are not asked to be deleted", kept, gone);
}

static void
half_gone (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
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
  sim_schedule (cluster, cluster->now + 26, proven, NULL);
}

void
faults_half_gone (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, half_gone, NULL);
}

static void
leader_ends (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  if (leader >= 0)
    fault_crash (cluster, leader);
}

static void
all_end (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++)
    fault_crash (cluster, k);
}

static void
all_unserved (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++)
    fault_store_away (cluster, k);
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
  sim_schedule (cluster, cluster->now + 5, all_unserved, NULL);
}

void
faults_two_leaders (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, two_leaders, NULL);
}

static void
corrupt_pages (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  all_end (cluster, NULL);
  if (!store_corrupt_pages (cluster))
    sim_report_violation (cluster, "unreadable", "no page is there");
}

void
faults_unreadable_pages (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, corrupt_pages, NULL);
}

static void
mass (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
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
    else if (n % 4 == 2 && hung++ < 100) /* some past their lease */
      machine->hang_until = cluster->now + (n % 8 < 4 ? 20 : 35);
  }
}

void
faults_mass (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, mass, NULL);
  sim_schedule (cluster, at + 4, leader_ends, NULL);
  sim_schedule (cluster, at + 80, all_end, NULL);
  sim_schedule (cluster, at + 130, all_end, NULL);
  faults_freeze (cluster, at + 170, FREEZE_LEADER, 20);
}

static void
lose_places (SimCluster *cluster, gpointer data)
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
    if (here == job->tasks && !job->lost_place) {
      job->lost_place = TRUE;
      machine_terminate (cluster, last);
    }
  }
  if (cluster->now < *to)
    sim_schedule (cluster, cluster->now + 0.5, lose_places, data);
  else
    g_free (data);
}

void
faults_lost_places (SimCluster *cluster, double from, double to)
{
  sim_schedule (cluster, from, lose_places, g_memdup2 (&to, sizeof to));
}

void
faults_leader_ends (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, leader_ends, NULL);
}

static void
change_leader (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  /* Whoever leads: all but one go, one after the other, so that a node that knows
   * nothing leads next. */
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
changes_gone (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (cluster);
  if (leader >= 0)
    cluster->nodes[leader].compacted_epoch = cluster->epoch;
}

void
faults_changes_gone (SimCluster *cluster, double from, double to)
{
  double at = from;
  while (at < to) {
    sim_schedule (cluster, at, changes_gone, NULL);
    at += CHANGES_GONE_EVERY_S;
  }
}

void
faults_leaders (SimCluster *cluster, double from, double to)
{
  double at = from;
  while (at < to) {
    sim_schedule (cluster, at, change_leader, NULL);
    at += LEADER_CHANGES_EVERY_S;
  }
}
