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
  return !machine->asked_gone;
}

/* That half of all is silent looks like a trouble of the new leader's own, and proof by time
 * takes it hold_s and a lease. The cloud's list tells sooner. */
static void
proven (World *world, gpointer data G_GNUC_UNUSED)
{
  guint gone, kept = fault_marked (world, is_kept, &gone);
  if (!gone || kept)
    w_broken (world, "proof", "%u of %u machines that went are not asked to be deleted", kept,
              gone);
}

static void
half_gone (World *world, gpointer data G_GNUC_UNUSED)
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
  w_at (world, world->now + 26, proven, NULL);
}

void
faults_half_gone (World *world, double at)
{
  w_at (world, at, half_gone, NULL);
}

static void
leader_ends (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  if (leader >= 0)
    fault_crash (world, leader);
}

static void
all_end (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++)
    fault_crash (world, k);
}

static void
all_unserved (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++)
    fault_store_away (world, k);
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
  w_at (world, world->now + 5, all_unserved, NULL);
}

void
faults_two_leaders (World *world, double at)
{
  w_at (world, at, two_leaders, NULL);
}

static void
corrupt_pages (World *world, gpointer data G_GNUC_UNUSED)
{
  all_end (world, NULL);
  if (!store_corrupt_pages (world))
    w_broken (world, "unreadable", "no page is there");
}

void
faults_unreadable_pages (World *world, double at)
{
  w_at (world, at, corrupt_pages, NULL);
}

static void
mass (World *world, gpointer data G_GNUC_UNUSED)
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
    else if (n % 4 == 2 && hung++ < 100) /* some past their lease */
      machine->hang = world->now + (n % 8 < 4 ? 20 : 35);
  }
}

void
faults_mass (World *world, double at)
{
  w_at (world, at, mass, NULL);
  w_at (world, at + 4, leader_ends, NULL);
  w_at (world, at + 80, all_end, NULL);
  w_at (world, at + 130, all_end, NULL);
  faults_freeze (world, at + 170, FREEZE_LEADER, 20);
}

static void
lose_places (World *world, gpointer data)
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
    w_at (world, world->now + 0.5, lose_places, data);
  else
    g_free (data);
}

void
faults_lost_places (World *world, double from, double to)
{
  w_at (world, from, lose_places, g_memdup2 (&to, sizeof to));
}

void
faults_leader_ends (World *world, double at)
{
  w_at (world, at, leader_ends, NULL);
}

static void
change_leader (World *world, gpointer data G_GNUC_UNUSED)
{
  /* Whoever leads: all but one go, one after the other, so that a node that knows
   * nothing leads next. */
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
changes_gone (World *world, gpointer data G_GNUC_UNUSED)
{
  int leader = store_leader (world);
  if (leader >= 0)
    world->nodes[leader].too_old = world->epoch;
}

void
faults_changes_gone (World *world, double from, double to)
{
  double at = from;
  while (at < to) {
    w_at (world, at, changes_gone, NULL);
    at += CHANGES_GONE_EVERY_S;
  }
}

void
faults_leaders (World *world, double from, double to)
{
  double at = from;
  while (at < to) {
    w_at (world, at, change_leader, NULL);
    at += LEADER_CHANGES_EVERY_S;
  }
}
