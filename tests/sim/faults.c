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
fault_crash (SimCluster *cluster, int i)
{
  node_kill (cluster, i);
  /* Back after a while, now and then within a fraction of a second. */
  node_start_at (cluster, i,
                 cluster->now + (sim_rand_range (cluster, 0, 1) < 0.3
                                     ? sim_rand_range (cluster, 0.05, 0.5)
                                     : sim_rand_range (cluster, 3, 7)));
}

/* Again and again, each time back within a fraction of a second. */
void
fault_stumble (SimCluster *cluster, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (cluster, i);
  node_start_at (cluster, GPOINTER_TO_INT (data),
                 cluster->now + sim_rand_range (cluster, 0.05, 0.5));
}

/* One drawn fault: what it hits, and for how long. */
typedef struct {
  int node;
  SimMachine *machine; /* NULL: there is none yet */
  double for_s;
  gboolean hold; /* cuts hold packets back */
} Fault;

static void
crash_all (SimCluster *cluster)
{
  for (int k = 0; k < cluster->n; k++)
    fault_crash (cluster, k);
}

static void
take_spot_machines (SimCluster *cluster)
{
  for (guint k = 0; k < cluster->machines->len; k++) {
    SimMachine *machine = cluster->machines->pdata[k];
    if (machine->spot && sim_rand_range (cluster, 0, 1) < 0.5)
      machine_reclaim (cluster, machine);
  }
}

/* With `others` several, so that it looks like a trouble of the controller's. */
static void
cut_inbound (SimCluster *cluster, const Fault *fault, gboolean others)
{
  for (guint k = 0; fault->machine && k < cluster->machines->len; k++) {
    SimMachine *machine = cluster->machines->pdata[k];
    if (machine == fault->machine || (others && sim_rand_range (cluster, 0, 1) < 0.3))
      machine->inbound_cut_until = cluster->now + fault->for_s;
  }
}

/* So many controllers, this one first. */
static void
stumble_often (SimCluster *cluster, int node, int count)
{
  for (int k = 0; k < count; k++) {
    double after = 0;
    while (after < 6) {
      sim_schedule (cluster, cluster->now + after, fault_stumble,
                    GINT_TO_POINTER ((node + k) % cluster->n));
      after += sim_rand_range (cluster, 0.6, 2.5);
    }
  }
}

static void
freeze_nodes (SimCluster *cluster, int node, int count, double for_s)
{
  for (int k = 0; k < count; k++)
    node_freeze (cluster, (node + k) % cluster->n, for_s);
}

/* Cuts of this controller: from what the kind says. */
static void
cut_node (SimCluster *cluster, const Fault *fault, int kind)
{
  SimNode *n = &cluster->nodes[fault->node];
  double until = cluster->now + fault->for_s;
  n->cut_holds_messages = fault->hold;
  if (kind == FAULT_CUT_WORKERS || kind == FAULT_CUT_ALL)
    n->cut_workers_until = until;
  if (kind != FAULT_CUT_WORKERS)
    n->cut_store_until = until;
  if (kind == FAULT_CUT_ALL)
    n->cut_users_until = until;
  if (kind == FAULT_CUT_ALL || kind == FAULT_CUT_STORE_AND_PEERS) {
    n->cut_peers_until = until;
    n->isolated_at = cluster->now;
  }
}

static void
hit_machine (SimCluster *cluster, const Fault *fault, int kind)
{
  if (!fault->machine)
    return;
  if (kind == FAULT_MACHINE_HANG) {
    fault->machine->hang_until = cluster->now + fault->for_s;
    return;
  }
  fault->machine->cut_until = cluster->now + fault->for_s;
  fault->machine->cut_holds_messages = fault->hold;
}

static void
apply_fault (SimCluster *cluster, const Fault *fault, int kind)
{
  switch (kind) {
  case FAULT_CRASH:
  case FAULT_CRASH_AGAIN:
    fault_crash (cluster, fault->node);
    break;
  case FAULT_CRASH_ALL:
    crash_all (cluster);
    break;
  case FAULT_OUTAGE:
    cluster->store_outage_until = cluster->now + MIN (fault->for_s, OUTAGE_MAX_S);
    break;
  case FAULT_REFUSED:
    cluster->nodes[fault->node].store_refuses_until = cluster->now + fault->for_s;
    break;
  case FAULT_CUT_WORKERS:
  case FAULT_CUT_STORE:
  case FAULT_CUT_ALL:
  case FAULT_CUT_STORE_AND_PEERS:
    cut_node (cluster, fault, kind);
    break;
  case FAULT_MACHINE_CUT:
  case FAULT_MACHINE_HANG:
    hit_machine (cluster, fault, kind);
    break;
  case FAULT_SPOT_TAKEN:
    take_spot_machines (cluster);
    break;
  case FAULT_CLOUD_OUTAGE:
    cluster->cloud_outage_until = cluster->now + fault->for_s;
    break;
  case FAULT_OUTAGE_AND_CRASH_ALL:
    cluster->store_outage_until = cluster->now + MIN (fault->for_s, OUTAGE_MAX_S);
    crash_all (cluster);
    break;
  case FAULT_INBOUND_CUT:
  case FAULT_INBOUND_CUTS:
    cut_inbound (cluster, fault, kind == FAULT_INBOUND_CUTS);
    break;
  case FAULT_STUMBLE:
  case FAULT_STUMBLE_ALL:
    stumble_often (cluster, fault->node, kind == FAULT_STUMBLE_ALL ? cluster->n : 1);
    break;
  case FAULT_FREEZE:
  case FAULT_FREEZE_ALL:
    freeze_nodes (cluster, fault->node, kind == FAULT_FREEZE_ALL ? cluster->n : 1, fault->for_s);
    break;
  }
}

static void
draw_fault (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  Fault drawn = {.node = g_rand_int_range (cluster->rand, 0, cluster->n)};
  if (cluster->machines->len)
    drawn.machine =
        cluster->machines->pdata[g_rand_int_range (cluster->rand, 0, cluster->machines->len)];
  drawn.for_s = sim_rand_range (cluster, 3, 40);
  drawn.hold = sim_rand_range (cluster, 0, 1) < 0.5;
  int kind = g_rand_int_range (cluster->rand, 0, FAULT_KINDS);
  sim_log_time = cluster->now;
  g_debug ("fault %d on c%d or %s for %.1f s, %s", kind, drawn.node,
           drawn.machine ? drawn.machine->name : "-", drawn.for_s, drawn.hold ? "held" : "lost");
  apply_fault (cluster, &drawn, kind);
}

typedef struct {
  FreezeWho who;
  double for_s;
} Freeze;

static void
freeze (SimCluster *cluster, gpointer data)
{
  Freeze *freeze_row = data;
  int leader = MAX (0, store_leader (cluster));
  for (int k = 0; k < cluster->n; k++)
    if (freeze_row->who == FREEZE_ALL || (freeze_row->who == FREEZE_LEADER) == (k == leader))
      node_freeze (cluster, k, freeze_row->for_s);
  g_free (freeze_row);
}

void
faults_freeze (SimCluster *cluster, double at, FreezeWho who, double for_s)
{
  Freeze *freeze_row = g_new (Freeze, 1);
  *freeze_row = (Freeze){who, for_s};
  sim_schedule (cluster, at, freeze, freeze_row);
}

/* The busiest machine hears nothing for long: it must be gone well before that is over,
 * or whatever is placed on it never runs. */
static void
still_there (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone)
    sim_report_violation (cluster, "deaf", "%s hears nothing and is kept", machine->name);
}

static void
cut_inbound_of_busiest (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  SimMachine *machine = NULL;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *other = cluster->machines->pdata[i];
    if (other->up && !other->gone && !other->reclaim_at &&
        (!machine || other->tasks->len > machine->tasks->len))
      machine = other;
  }
  if (!machine)
    return;
  machine->inbound_cut_until = cluster->now + 200;
  sim_schedule (cluster, cluster->now + 60, still_there, machine);
}

void
faults_inbound_cut (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cut_inbound_of_busiest, NULL);
}

/* Of the machines marked for it when a trouble began: how many there are, and for how many it is
 * so. */
guint
fault_marked (SimCluster *cluster, gboolean (*is_so) (const SimMachine *), guint *all)
{
  guint n = 0;
  *all = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    const SimMachine *machine = cluster->machines->pdata[i];
    *all += machine->tracked_by_fault;
    n += machine->tracked_by_fault && is_so (machine);
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
kept (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_marked (cluster, is_gone, &up);
  if (!up || lost * 3 > up)
    sim_report_violation (cluster, "kept", "%u of %u machines are given away after a cut", lost,
                          up);
}

static void
cut_ends (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    machine->tracked_by_fault =
        machine->up && !machine->gone && machine->tasks->len == 0 && machine->incarnation > 1;
  }
}

static void
cut_all (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int k = 0; k < cluster->n; k++) {
    SimNode *n = &cluster->nodes[k];
    n->cut_workers_until = n->cut_store_until = n->cut_users_until = cluster->now + 30;
    n->cut_holds_messages = TRUE;
  }
  sim_schedule (cluster, cluster->now + 29.5, cut_ends, NULL);
  sim_schedule (cluster, cluster->now + 42, kept, NULL);
}

void
faults_held_cut (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cut_all, NULL);
}

void
world_calm (SimCluster *cluster, gpointer unused G_GNUC_UNUSED)
{
  if (cluster->now < MAX (cluster->faults_to, cluster->troubles.over_at))
    return;
  cluster->faults_ended = TRUE;
  cluster->faults_ended_at = cluster->now;
}

void
faults_init (SimCluster *cluster, guint n, double from, double to)
{
  for (guint i = 0; i < n; i++)
    sim_schedule (cluster, sim_rand_range (cluster, from, to), draw_fault, NULL);
  cluster->faults_to = to;
  sim_schedule (cluster, to, world_calm, NULL);
}
