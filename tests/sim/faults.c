/* Troubles drawn from the seed: alone, together, and in the middle of each other. */
#include "sim/cloud.h"
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/store.h"
#include "sim/worker.h"

/* Below the time that a cancelled task may go on (cancel_s). */
#define OUTAGE_MAX_S 28

/* Drawn evenly; a controller's crash is twice as likely as the others. */
enum {
  FAULT_CRASH,
  FAULT_CRASH_AGAIN,
  FAULT_CRASH_ALL,
  FAULT_OUTAGE,  /* of the state service */
  FAULT_REFUSED, /* by the state service, this controller alone */
  FAULT_CUT_WORKERS,
  FAULT_CUT_STORE,
  FAULT_CUT_ALL,
  FAULT_MACHINE_CUT,
  FAULT_MACHINE_HANG,
  FAULT_SPOT_TAKEN,
  FAULT_CLOUD_OUTAGE,
  FAULT_OUTAGE_AND_CRASH_ALL,
  FAULT_INBOUND_CUT, /* answers and direct orders to a machine are lost */
  FAULT_INBOUND_CUTS,
  FAULT_CUT_STORE_AND_PEERS, /* but not its workers and users */
  FAULT_STUMBLE,
  FAULT_STUMBLE_ALL,
  FAULT_FREEZE,
  FAULT_FREEZE_ALL,
  FAULT_KINDS
};

void
fault_crash (World *world, int i)
{
  node_kill (world, i);
  /* Back after a while, now and then within a fraction of a second. */
  node_start_at (
      world, i,
      world->now + (w_rand (world, 0, 1) < 0.3 ? w_rand (world, 0.05, 0.5) : w_rand (world, 3, 7)));
}

/* Again and again, each time back within a fraction of a second. */
void
fault_stumble (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (world, i);
  node_start_at (world, GPOINTER_TO_INT (data), world->now + w_rand (world, 0.05, 0.5));
}

/* One drawn fault: what it hits, and for how long. */
typedef struct {
  int node;
  SimMachine *machine; /* NULL: there is none yet */
  double for_s;
  gboolean hold; /* cuts hold packets back */
} Fault;

static void
crash_all (World *world)
{
  for (int k = 0; k < world->n; k++)
    fault_crash (world, k);
}

static void
take_spot_machines (World *world)
{
  for (guint k = 0; k < world->machines->len; k++) {
    SimMachine *machine = world->machines->pdata[k];
    if (machine->spot && w_rand (world, 0, 1) < 0.5)
      machine_take (world, machine);
  }
}

/* With `others` several, so that it looks like a trouble of the controller's. */
static void
cut_inbound (World *world, const Fault *fault, gboolean others)
{
  for (guint k = 0; fault->machine && k < world->machines->len; k++) {
    SimMachine *machine = world->machines->pdata[k];
    if (machine == fault->machine || (others && w_rand (world, 0, 1) < 0.3))
      machine->inbound_cut = world->now + fault->for_s;
  }
}

/* So many controllers, this one first. */
static void
stumble_often (World *world, int node, int count)
{
  for (int k = 0; k < count; k++) {
    double after = 0;
    while (after < 6) {
      w_at (world, world->now + after, fault_stumble, GINT_TO_POINTER ((node + k) % world->n));
      after += w_rand (world, 0.6, 2.5);
    }
  }
}

static void
freeze_nodes (World *world, int node, int count, double for_s)
{
  for (int k = 0; k < count; k++)
    node_freeze (world, (node + k) % world->n, for_s);
}

/* Cuts of this controller: from what the kind says. */
static void
cut_node (World *world, const Fault *fault, int kind)
{
  Node *n = &world->nodes[fault->node];
  double until = world->now + fault->for_s;
  n->hold = fault->hold;
  if (kind == FAULT_CUT_WORKERS || kind == FAULT_CUT_ALL)
    n->cut_workers = until;
  if (kind != FAULT_CUT_WORKERS)
    n->cut_store = until;
  if (kind == FAULT_CUT_ALL)
    n->cut_users = until;
  if (kind == FAULT_CUT_ALL || kind == FAULT_CUT_STORE_AND_PEERS) {
    n->cut_peers = until;
    n->alone_at = world->now;
  }
}

static void
hit_machine (World *world, const Fault *fault, int kind)
{
  if (!fault->machine)
    return;
  if (kind == FAULT_MACHINE_HANG) {
    fault->machine->hang = world->now + fault->for_s;
    return;
  }
  fault->machine->cut = world->now + fault->for_s;
  fault->machine->hold = fault->hold;
}

static void
apply_fault (World *world, const Fault *fault, int kind)
{
  switch (kind) {
  case FAULT_CRASH:
  case FAULT_CRASH_AGAIN:
    fault_crash (world, fault->node);
    break;
  case FAULT_CRASH_ALL:
    crash_all (world);
    break;
  case FAULT_OUTAGE:
    world->outage = world->now + MIN (fault->for_s, OUTAGE_MAX_S);
    break;
  case FAULT_REFUSED:
    world->nodes[fault->node].refused = world->now + fault->for_s;
    break;
  case FAULT_CUT_WORKERS:
  case FAULT_CUT_STORE:
  case FAULT_CUT_ALL:
  case FAULT_CUT_STORE_AND_PEERS:
    cut_node (world, fault, kind);
    break;
  case FAULT_MACHINE_CUT:
  case FAULT_MACHINE_HANG:
    hit_machine (world, fault, kind);
    break;
  case FAULT_SPOT_TAKEN:
    take_spot_machines (world);
    break;
  case FAULT_CLOUD_OUTAGE:
    world->cloud_outage = world->now + fault->for_s;
    break;
  case FAULT_OUTAGE_AND_CRASH_ALL:
    world->outage = world->now + MIN (fault->for_s, OUTAGE_MAX_S);
    crash_all (world);
    break;
  case FAULT_INBOUND_CUT:
  case FAULT_INBOUND_CUTS:
    cut_inbound (world, fault, kind == FAULT_INBOUND_CUTS);
    break;
  case FAULT_STUMBLE:
  case FAULT_STUMBLE_ALL:
    stumble_often (world, fault->node, kind == FAULT_STUMBLE_ALL ? world->n : 1);
    break;
  case FAULT_FREEZE:
  case FAULT_FREEZE_ALL:
    freeze_nodes (world, fault->node, kind == FAULT_FREEZE_ALL ? world->n : 1, fault->for_s);
    break;
  }
}

static void
draw_fault (World *world, gpointer data G_GNUC_UNUSED)
{
  Fault drawn = {.node = g_rand_int_range (world->rand, 0, world->n)};
  if (world->machines->len)
    drawn.machine = world->machines->pdata[g_rand_int_range (world->rand, 0, world->machines->len)];
  drawn.for_s = w_rand (world, 3, 40);
  drawn.hold = w_rand (world, 0, 1) < 0.5;
  int kind = g_rand_int_range (world->rand, 0, FAULT_KINDS);
  sim_log_time = world->now;
  g_debug ("fault %d on c%d or %s for %.1f s, %s", kind, drawn.node,
           drawn.machine ? drawn.machine->name : "-", drawn.for_s, drawn.hold ? "held" : "lost");
  apply_fault (world, &drawn, kind);
}

typedef struct {
  FreezeWho who;
  double for_s;
} Freeze;

static void
freeze (World *world, gpointer data)
{
  Freeze *freeze_row = data;
  int leader = MAX (0, store_leader (world));
  for (int k = 0; k < world->n; k++)
    if (freeze_row->who == FREEZE_ALL || (freeze_row->who == FREEZE_LEADER) == (k == leader))
      node_freeze (world, k, freeze_row->for_s);
  g_free (freeze_row);
}

void
faults_freeze (World *world, double at, FreezeWho who, double for_s)
{
  Freeze *freeze_row = g_new (Freeze, 1);
  *freeze_row = (Freeze){who, for_s};
  w_at (world, at, freeze, freeze_row);
}

/* The busiest machine hears nothing for long: it must be gone well before that is over,
 * or whatever is placed on it never runs. */
static void
still_there (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone)
    w_broken (world, "deaf", "%s hears nothing and is kept", machine->name);
}

static void
cut_inbound_of_busiest (World *world, gpointer data G_GNUC_UNUSED)
{
  SimMachine *machine = NULL;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *other = world->machines->pdata[i];
    if (other->up && !other->gone && !other->warned &&
        (!machine || other->tasks->len > machine->tasks->len))
      machine = other;
  }
  if (!machine)
    return;
  machine->inbound_cut = world->now + 200;
  w_at (world, world->now + 60, still_there, machine);
}

void
faults_inbound_cut (World *world, double at)
{
  w_at (world, at, cut_inbound_of_busiest, NULL);
}

/* Of the machines marked for it when a trouble began: how many there are, and for how many it is
 * so. */
guint
fault_marked (World *world, gboolean (*is_so) (const SimMachine *), guint *all)
{
  guint n = 0;
  *all = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    *all += machine->through_cut;
    n += machine->through_cut && is_so (machine);
  }
  return n;
}

static gboolean
is_gone (const SimMachine *machine)
{
  return machine->gone;
}

/* All controllers behind one cut, which holds back what is sent to them; they hear one
 * another. Nothing that was up before may be given away because of it. */
static void
kept (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_marked (world, is_gone, &up);
  if (!up || lost * 3 > up)
    w_broken (world, "kept", "%u of %u machines are given away after a cut", lost, up);
}

static void
cut_ends (World *world, gpointer data G_GNUC_UNUSED)
{
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    machine->through_cut =
        machine->up && !machine->gone && machine->tasks->len == 0 && machine->tenure > 1;
  }
}

static void
cut_all (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < world->n; k++) {
    Node *n = &world->nodes[k];
    n->cut_workers = n->cut_store = n->cut_users = world->now + 30;
    n->hold = TRUE;
  }
  w_at (world, world->now + 29.5, cut_ends, NULL);
  w_at (world, world->now + 42, kept, NULL);
}

void
faults_held_cut (World *world, double at)
{
  w_at (world, at, cut_all, NULL);
}

void
world_calm (World *world, gpointer unused G_GNUC_UNUSED)
{
  if (world->now < MAX (world->faults_to, world->troubles.over_at))
    return;
  world->calm = TRUE;
  world->calm_at = world->now;
}

void
faults_init (World *world, guint n, double from, double to)
{
  for (guint i = 0; i < n; i++)
    w_at (world, w_rand (world, from, to), draw_fault, NULL);
  world->faults_to = to;
  w_at (world, to, world_calm, NULL);
}
