/* Faults drawn from the seed: single, simultaneous and overlapping ones. */
#include "sim/cloud.h"
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/store.h"
#include "sim/worker.h"

/* Less than the time for which a cancelled task may keep running (cancel_s). */
#define OUTAGE_MAX_S 28

/* Kinds of drawn faults, all equally likely. A controller's crash has two entries, which makes it
 * twice as likely as the other kinds. */
enum {
  DRAWN_CRASH,
  DRAWN_CRASH_AGAIN,
  DRAWN_CRASH_ALL,
  DRAWN_OUTAGE,  /* of the state store */
  DRAWN_REFUSED, /* the state store refuses only this controller */
  DRAWN_CUT_WORKERS,
  DRAWN_CUT_STORE,
  DRAWN_CUT_ALL,
  DRAWN_MACHINE_CUT,
  DRAWN_MACHINE_HANG,
  DRAWN_SPOT_RECLAIMED,
  DRAWN_CLOUD_OUTAGE,
  DRAWN_OUTAGE_AND_CRASH_ALL,
  DRAWN_INBOUND_CUT, /* answers and direct orders to a machine are lost */
  DRAWN_INBOUND_CUTS,
  DRAWN_CUT_STORE_AND_PEERS, /* but not from workers and users */
  DRAWN_RESTARTS,
  DRAWN_RESTARTS_ALL,
  DRAWN_FREEZE,
  DRAWN_FREEZE_ALL,
  DRAWN_KINDS
};

void
fault_crash (World *world, int i)
{
  node_kill (world, i);
  /* Sometimes the restart takes only a fraction of a second. */
  node_start_at (
      world, i,
      world->now + (w_rand (world, 0, 1) < 0.3 ? w_rand (world, 0.05, 0.5) : w_rand (world, 3, 7)));
}

void
fault_restart_quickly (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (world, i);
  node_start_at (world, GPOINTER_TO_INT (data), world->now + w_rand (world, 0.05, 0.5));
}

/* Targets and duration of a drawn fault. */
typedef struct {
  int node;
  SimMachine *machine; /* NULL: no machine exists yet */
  double for_s;
  gboolean hold; /* partitions delay messages instead of dropping them */
} DrawnFault;

static void
crash_all_nodes (World *world)
{
  for (int k = 0; k < world->n; k++)
    fault_crash (world, k);
}

static void
reclaim_spot_machines (World *world)
{
  for (guint k = 0; k < world->machines->len; k++) {
    SimMachine *machine = world->machines->pdata[k];
    if (machine->spot && w_rand (world, 0, 1) < 0.5)
      machine_take (world, machine);
  }
}

/* With `others` several machines are affected, so that the failure looks like one of the
 * controller. */
static void
cut_inbound (World *world, const DrawnFault *fault, gboolean others)
{
  for (guint k = 0; fault->machine && k < world->machines->len; k++) {
    SimMachine *machine = world->machines->pdata[k];
    if (machine == fault->machine || (others && w_rand (world, 0, 1) < 0.3))
      machine->inbound_cut = world->now + fault->for_s;
  }
}

/* Restarts `count` controllers, starting with `node`, again and again for six seconds. */
static void
restart_repeatedly (World *world, int node, int count)
{
  for (int k = 0; k < count; k++) {
    double after = 0;
    while (after < 6) {
      w_at (world, world->now + after, fault_restart_quickly,
            GINT_TO_POINTER ((node + k) % world->n));
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

/* Cuts the controller off from the peers, services or users that the kind selects. */
static void
cut_node (World *world, const DrawnFault *fault, int kind)
{
  Node *n = &world->nodes[fault->node];
  double until = world->now + fault->for_s;
  n->hold = fault->hold;
  if (kind == DRAWN_CUT_WORKERS || kind == DRAWN_CUT_ALL)
    n->cut_workers = until;
  if (kind != DRAWN_CUT_WORKERS)
    n->cut_store = until;
  if (kind == DRAWN_CUT_ALL)
    n->cut_users = until;
  if (kind == DRAWN_CUT_ALL || kind == DRAWN_CUT_STORE_AND_PEERS) {
    n->cut_peers = until;
    n->alone_at = world->now;
  }
}

static void
apply_machine_fault (World *world, const DrawnFault *fault, int kind)
{
  if (!fault->machine)
    return;
  if (kind == DRAWN_MACHINE_HANG) {
    fault->machine->hang = world->now + fault->for_s;
    return;
  }
  fault->machine->cut = world->now + fault->for_s;
  fault->machine->hold = fault->hold;
}

static void
apply_fault (World *world, const DrawnFault *fault, int kind)
{
  switch (kind) {
  case DRAWN_CRASH:
  case DRAWN_CRASH_AGAIN:
    fault_crash (world, fault->node);
    break;
  case DRAWN_CRASH_ALL:
    crash_all_nodes (world);
    break;
  case DRAWN_OUTAGE:
    world->outage = world->now + MIN (fault->for_s, OUTAGE_MAX_S);
    break;
  case DRAWN_REFUSED:
    world->nodes[fault->node].refused = world->now + fault->for_s;
    break;
  case DRAWN_CUT_WORKERS:
  case DRAWN_CUT_STORE:
  case DRAWN_CUT_ALL:
  case DRAWN_CUT_STORE_AND_PEERS:
    cut_node (world, fault, kind);
    break;
  case DRAWN_MACHINE_CUT:
  case DRAWN_MACHINE_HANG:
    apply_machine_fault (world, fault, kind);
    break;
  case DRAWN_SPOT_RECLAIMED:
    reclaim_spot_machines (world);
    break;
  case DRAWN_CLOUD_OUTAGE:
    world->cloud_outage = world->now + fault->for_s;
    break;
  case DRAWN_OUTAGE_AND_CRASH_ALL:
    world->outage = world->now + MIN (fault->for_s, OUTAGE_MAX_S);
    crash_all_nodes (world);
    break;
  case DRAWN_INBOUND_CUT:
  case DRAWN_INBOUND_CUTS:
    cut_inbound (world, fault, kind == DRAWN_INBOUND_CUTS);
    break;
  case DRAWN_RESTARTS:
  case DRAWN_RESTARTS_ALL:
    restart_repeatedly (world, fault->node, kind == DRAWN_RESTARTS_ALL ? world->n : 1);
    break;
  case DRAWN_FREEZE:
  case DRAWN_FREEZE_ALL:
    freeze_nodes (world, fault->node, kind == DRAWN_FREEZE_ALL ? world->n : 1, fault->for_s);
    break;
  }
}

static void
inject_drawn_fault (World *world, gpointer data G_GNUC_UNUSED)
{
  DrawnFault drawn = {.node = g_rand_int_range (world->rand, 0, world->n)};
  if (world->machines->len)
    drawn.machine = world->machines->pdata[g_rand_int_range (world->rand, 0, world->machines->len)];
  drawn.for_s = w_rand (world, 3, 40);
  drawn.hold = w_rand (world, 0, 1) < 0.5;
  int kind = g_rand_int_range (world->rand, 0, DRAWN_KINDS);
  sim_log_time = world->now;
  g_debug ("fault %d on c%d or %s for %.1f s, %s", kind, drawn.node,
           drawn.machine ? drawn.machine->name : "-", drawn.for_s, drawn.hold ? "held" : "lost");
  apply_fault (world, &drawn, kind);
}

typedef struct {
  FreezeTarget who;
  double for_s;
} Freeze;

static void
freeze (World *world, gpointer data)
{
  Freeze *freeze_plan = data;
  int leader = MAX (0, store_leader (world));
  for (int k = 0; k < world->n; k++)
    if (freeze_plan->who == FREEZE_ALL || (freeze_plan->who == FREEZE_LEADER) == (k == leader))
      node_freeze (world, k, freeze_plan->for_s);
  g_free (freeze_plan);
}

void
faults_freeze (World *world, double at, FreezeTarget who, double for_s)
{
  Freeze *freeze_plan = g_new (Freeze, 1);
  *freeze_plan = (Freeze){who, for_s};
  w_at (world, at, freeze, freeze_plan);
}

/* A machine that receives nothing for a long time must be deleted well before that time is over;
 * otherwise tasks placed on it never run. */
static void
check_deleted (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone)
    w_broken (world, "deaf", "%s receives nothing but was not deleted", machine->name);
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
  w_at (world, world->now + 60, check_deleted, machine);
}

void
faults_inbound_cut (World *world, double at)
{
  w_at (world, at, cut_inbound_of_busiest, NULL);
}

guint
fault_count_marked (World *world, gboolean (*predicate) (const SimMachine *), guint *all)
{
  guint n = 0;
  *all = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    const SimMachine *machine = world->machines->pdata[i];
    *all += machine->through_cut;
    n += machine->through_cut && predicate (machine);
  }
  return n;
}

static gboolean
is_gone (const SimMachine *machine)
{
  return machine->gone;
}

/* After a partition that delayed all messages to the controllers, while they reached one another:
 * no machine that was up before should have been deleted because of it; a third is tolerated. */
static void
check_kept_after_cut (World *world, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_count_marked (world, is_gone, &up);
  if (!up || lost * 3 > up)
    w_broken (world, "kept", "%u of %u machines were deleted after a partition", lost, up);
}

static void
mark_before_cut_ends (World *world, gpointer data G_GNUC_UNUSED)
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
  w_at (world, world->now + 29.5, mark_before_cut_ends, NULL);
  w_at (world, world->now + 42, check_kept_after_cut, NULL);
}

void
faults_cut_all_holding_packets (World *world, double at)
{
  w_at (world, at, cut_all, NULL);
}

void
world_end_faults (World *world, gpointer unused G_GNUC_UNUSED)
{
  if (world->now < MAX (world->faults_to, world->troubles.ends_at))
    return;
  world->calm = TRUE;
  world->calm_at = world->now;
}

void
faults_init (World *world, guint n, double from, double to)
{
  for (guint i = 0; i < n; i++)
    w_at (world, w_rand (world, from, to), inject_drawn_fault, NULL);
  world->faults_to = to;
  w_at (world, to, world_end_faults, NULL);
}
