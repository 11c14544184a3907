/* Scripted faults of machines and of whole controllers. */
#include "sim/cloud.h"
#include "sim/faults.h"

#define COMPACTION_INTERVAL_S 10
#define LEADER_CHANGE_INTERVAL_S 35
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"

static gboolean
is_kept (const SimMachine *machine)
{
  return !machine->asked_gone;
}

/* To a new leader half of the machines being silent looks like a failure of its own. Proving by
 * elapsed time that they are gone takes it hold_s and a lease; the cloud's list shows it earlier.
 * Checks that the leader has asked to delete all of them. */
static void
check_deletion_requested (World *world, gpointer data G_GNUC_UNUSED)
{
  guint gone, kept = fault_count_marked (world, is_kept, &gone);
  if (!gone || kept)
    w_broken (world, "proof", "no deletion requested for %u of %u crashed machines", kept, gone);
}

static void
crash_half_of_machines (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  guint n = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    machine->through_cut = machine->up && !machine->gone && machine->tasks->len && n++ % 2;
    if (machine->through_cut)
      machine_end (world, machine);
  }
  if (leader >= 0)
    fault_crash (world, leader);
  w_at (world, world->now + 26, check_deletion_requested, NULL);
}

void
faults_crash_half_of_machines (World *world, double at)
{
  w_at (world, at, crash_half_of_machines, NULL);
}

static void
crash_leader (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  if (leader >= 0)
    fault_crash (world, leader);
}

static void
crash_all_nodes (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++)
    fault_crash (world, k);
}

static void
cut_all_from_store (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++)
    fault_cut_node_from_store (world, k);
}

static void
two_leaders (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  if (leader < 0)
    return;
  Node *n = &world->nodes[leader];
  n->cut_store = n->cut_peers = world->now + 7.9;
  n->alone_at = world->now;
  n->hold = FALSE;
  w_at (world, world->now + 5, cut_all_from_store, NULL);
}

void
faults_two_leaders (World *world, double at)
{
  w_at (world, at, two_leaders, NULL);
}

static void
corrupt_pages (World *world, gpointer data G_GNUC_UNUSED)
{
  crash_all_nodes (world, NULL);
  if (!store_corrupt_pages (world))
    w_broken (world, "unreadable", "no record page exists");
}

void
faults_unreadable_pages (World *world, double at)
{
  w_at (world, at, corrupt_pages, NULL);
}

static void
mass_failure (World *world, gpointer data G_GNUC_UNUSED)
{
  guint n = 0, dead = 0, hung = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    if (!machine->up || machine->gone)
      continue;
    n++;
    if (n % 4 == 0) {
      machine->cut = world->now + 45;
      machine->hold = TRUE;
    } else if (n % 4 == 1 && dead++ < 100)
      machine_end (world, machine);
    else if (n % 4 == 2 && hung++ < 100) /* some for longer than their lease */
      machine->hang = world->now + (n % 8 < 4 ? 20 : 35);
  }
}

void
faults_mass_failure (World *world, double at)
{
  w_at (world, at, mass_failure, NULL);
  w_at (world, at + 4, crash_leader, NULL);
  w_at (world, at + 80, crash_all_nodes, NULL);
  w_at (world, at + 130, crash_all_nodes, NULL);
  faults_freeze (world, at + 170, FREEZE_LEADER, 20);
}

static void
crash_gang_machines (World *world, gpointer data)
{
  double *to = data;
  for (guint i = 0; world->jobs && i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    SimMachine *last = NULL;
    guint here = 0;
    for (guint k = 0; k < world->machines->len; k++) {
      SimMachine *machine = world->machines->pdata[k];
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
      machine_end (world, last);
    }
  }
  if (world->now < *to)
    w_at (world, world->now + 0.5, crash_gang_machines, data);
  else
    g_free (data);
}

void
faults_crash_gang_machines (World *world, double from, double to)
{
  w_at (world, from, crash_gang_machines, g_memdup2 (&to, sizeof to));
}

void
faults_crash_leader (World *world, double at)
{
  w_at (world, at, crash_leader, NULL);
}

static void
change_leader (World *world, gpointer data G_GNUC_UNUSED)
{
  /* Crashes all controllers but one, whichever of them leads, so that a node without any state
   * leads next. */
  int i = g_rand_int_range (world->rand, 0, world->n);
  for (int k = 0; k < world->n - 1; k++)
    fault_crash (world, (i + k) % world->n);
  for (guint k = 0; k < world->machines->len; k++) {
    SimMachine *machine = world->machines->pdata[k];
    if (machine->up && !machine->gone && w_rand (world, 0, 1) < 0.2)
      machine_end (world, machine);
  }
}

static void
compact_changes (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  if (leader >= 0)
    world->nodes[leader].too_old = world->epoch;
}

void
faults_compact_changes (World *world, double from, double to)
{
  double at = from;
  while (at < to) {
    w_at (world, at, compact_changes, NULL);
    at += COMPACTION_INTERVAL_S;
  }
}

void
faults_change_leaders (World *world, double from, double to)
{
  double at = from;
  while (at < to) {
    w_at (world, at, change_leader, NULL);
    at += LEADER_CHANGE_INTERVAL_S;
  }
}
