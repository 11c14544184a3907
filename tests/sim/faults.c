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
fault_crash (SimCluster *cluster, int i)
{
  node_kill (cluster, i);
  /* Sometimes the restart takes only a fraction of a second. */
  node_start_at (cluster, i,
                 cluster->now + (sim_rand_range (cluster, 0, 1) < 0.3
                                     ? sim_rand_range (cluster, 0.05, 0.5)
                                     : sim_rand_range (cluster, 3, 7)));
}

void
fault_restart_quickly (SimCluster *cluster, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  node_kill (cluster, i);
  node_start_at (cluster, GPOINTER_TO_INT (data),
                 cluster->now + sim_rand_range (cluster, 0.05, 0.5));
}

/* Targets and duration of a drawn fault. */
typedef struct {
  int node;
  SimMachine *machine; /* NULL: no machine exists yet */
  double for_s;
  gboolean hold; /* partitions delay messages instead of dropping them */
} DrawnFault;

static void
crash_all_nodes (SimCluster *cluster)
{
  for (int k = 0; k < cluster->n; k++)
    fault_crash (cluster, k);
}

static void
reclaim_spot_machines (SimCluster *cluster)
{
  for (guint k = 0; k < cluster->machines->len; k++) {
    SimMachine *machine = cluster->machines->pdata[k];
    if (machine->spot && sim_rand_range (cluster, 0, 1) < 0.5)
      machine_reclaim (cluster, machine);
  }
}

/* Cuts the fault's machine off from answers and direct orders. others: each other machine is cut
 * off too with a probability of 0.3, so that the failure looks like one of the controller. */
static void
cut_inbound (SimCluster *cluster, const DrawnFault *fault, gboolean others)
{
  for (guint k = 0; fault->machine && k < cluster->machines->len; k++) {
    SimMachine *machine = cluster->machines->pdata[k];
    if (machine == fault->machine || (others && sim_rand_range (cluster, 0, 1) < 0.3))
      machine->inbound_cut_until = cluster->now + fault->for_s;
  }
}

/* Restarts `count` controllers, starting with `node`, again and again for six seconds. */
static void
restart_repeatedly (SimCluster *cluster, int node, int count)
{
  for (int k = 0; k < count; k++) {
    double after = 0;
    while (after < 6) {
      sim_schedule (cluster, cluster->now + after, fault_restart_quickly,
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

/* Cuts the controller off from the peers, services or users that the kind selects. */
static void
cut_node (SimCluster *cluster, const DrawnFault *fault, int kind)
{
  SimNode *n = &cluster->nodes[fault->node];
  double until = cluster->now + fault->for_s;
  n->cut_holds_messages = fault->hold;
  if (kind == DRAWN_CUT_WORKERS || kind == DRAWN_CUT_ALL)
    n->cut_workers_until = until;
  if (kind != DRAWN_CUT_WORKERS)
    n->cut_store_until = until;
  if (kind == DRAWN_CUT_ALL)
    n->cut_users_until = until;
  if (kind == DRAWN_CUT_ALL || kind == DRAWN_CUT_STORE_AND_PEERS) {
    n->cut_peers_until = until;
    n->isolated_at = cluster->now;
  }
}

static void
apply_machine_fault (SimCluster *cluster, const DrawnFault *fault, int kind)
{
  if (!fault->machine)
    return;
  if (kind == DRAWN_MACHINE_HANG) {
    fault->machine->hang_until = cluster->now + fault->for_s;
    return;
  }
  fault->machine->cut_until = cluster->now + fault->for_s;
  fault->machine->cut_holds_messages = fault->hold;
}

static void
apply_fault (SimCluster *cluster, const DrawnFault *fault, int kind)
{
  switch (kind) {
  case DRAWN_CRASH:
  case DRAWN_CRASH_AGAIN:
    fault_crash (cluster, fault->node);
    break;
  case DRAWN_CRASH_ALL:
    crash_all_nodes (cluster);
    break;
  case DRAWN_OUTAGE:
    cluster->store_outage_until = cluster->now + MIN (fault->for_s, OUTAGE_MAX_S);
    break;
  case DRAWN_REFUSED:
    cluster->nodes[fault->node].store_refuses_until = cluster->now + fault->for_s;
    break;
  case DRAWN_CUT_WORKERS:
  case DRAWN_CUT_STORE:
  case DRAWN_CUT_ALL:
  case DRAWN_CUT_STORE_AND_PEERS:
    cut_node (cluster, fault, kind);
    break;
  case DRAWN_MACHINE_CUT:
  case DRAWN_MACHINE_HANG:
    apply_machine_fault (cluster, fault, kind);
    break;
  case DRAWN_SPOT_RECLAIMED:
    reclaim_spot_machines (cluster);
    break;
  case DRAWN_CLOUD_OUTAGE:
    cluster->cloud_outage_until = cluster->now + fault->for_s;
    break;
  case DRAWN_OUTAGE_AND_CRASH_ALL:
    cluster->store_outage_until = cluster->now + MIN (fault->for_s, OUTAGE_MAX_S);
    crash_all_nodes (cluster);
    break;
  case DRAWN_INBOUND_CUT:
  case DRAWN_INBOUND_CUTS:
    cut_inbound (cluster, fault, kind == DRAWN_INBOUND_CUTS);
    break;
  case DRAWN_RESTARTS:
  case DRAWN_RESTARTS_ALL:
    restart_repeatedly (cluster, fault->node, kind == DRAWN_RESTARTS_ALL ? cluster->n : 1);
    break;
  case DRAWN_FREEZE:
  case DRAWN_FREEZE_ALL:
    freeze_nodes (cluster, fault->node, kind == DRAWN_FREEZE_ALL ? cluster->n : 1, fault->for_s);
    break;
  }
}

static void
inject_drawn_fault (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  DrawnFault drawn = {.node = g_rand_int_range (cluster->rand, 0, cluster->n)};
  if (cluster->machines->len)
    drawn.machine =
        cluster->machines->pdata[g_rand_int_range (cluster->rand, 0, cluster->machines->len)];
  drawn.for_s = sim_rand_range (cluster, 3, 40);
  drawn.hold = sim_rand_range (cluster, 0, 1) < 0.5;
  int kind = g_rand_int_range (cluster->rand, 0, DRAWN_KINDS);
  sim_log_time = cluster->now;
  g_debug ("fault %d on c%d or %s for %.1f s, %s", kind, drawn.node,
           drawn.machine ? drawn.machine->name : "-", drawn.for_s, drawn.hold ? "held" : "lost");
  apply_fault (cluster, &drawn, kind);
}

typedef struct {
  FreezeTarget who;
  double for_s;
} Freeze;

static void
freeze (SimCluster *cluster, gpointer data)
{
  Freeze *freeze_plan = data;
  int leader = MAX (0, store_leader (cluster));
  for (int k = 0; k < cluster->n; k++)
    if (freeze_plan->who == FREEZE_ALL || (freeze_plan->who == FREEZE_LEADER) == (k == leader))
      node_freeze (cluster, k, freeze_plan->for_s);
  g_free (freeze_plan);
}

void
faults_freeze (SimCluster *cluster, double at, FreezeTarget who, double for_s)
{
  Freeze *freeze_plan = g_new (Freeze, 1);
  *freeze_plan = (Freeze){who, for_s};
  sim_schedule (cluster, at, freeze, freeze_plan);
}

/* Checks that a machine that receives nothing is deleted well before the end of that fault;
 * otherwise tasks placed on it never run. */
static void
check_deleted (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (!machine->gone)
    sim_report_violation (cluster, "deaf", "%s receives nothing but was not deleted",
                          machine->name);
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
  sim_schedule (cluster, cluster->now + 60, check_deleted, machine);
}

void
faults_inbound_cut (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cut_inbound_of_busiest, NULL);
}

guint
fault_count_marked (SimCluster *cluster, gboolean (*predicate) (const SimMachine *), guint *all)
{
  guint n = 0;
  *all = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    const SimMachine *machine = cluster->machines->pdata[i];
    *all += machine->tracked_by_fault;
    n += machine->tracked_by_fault && predicate (machine);
  }
  return n;
}

static gboolean
is_gone (const SimMachine *machine)
{
  return machine->gone;
}

/* Called after a partition that delayed all messages to the controllers, which reached one another.
 * Checks that at most a third of the machines that were up before were deleted because of it. */
static void
check_kept_after_cut (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint up, lost = fault_count_marked (cluster, is_gone, &up);
  if (!up || lost * 3 > up)
    sim_report_violation (cluster, "kept", "%u of %u machines were deleted after a partition", lost,
                          up);
}

static void
mark_before_cut_ends (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
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
  sim_schedule (cluster, cluster->now + 29.5, mark_before_cut_ends, NULL);
  sim_schedule (cluster, cluster->now + 42, check_kept_after_cut, NULL);
}

void
faults_cut_all_holding_packets (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, cut_all, NULL);
}

void
faults_mark_ended (SimCluster *cluster, gpointer unused G_GNUC_UNUSED)
{
  if (cluster->now < MAX (cluster->faults_to, cluster->faults.ends_at))
    return;
  cluster->faults_ended = TRUE;
  cluster->faults_ended_at = cluster->now;
}

void
faults_init (SimCluster *cluster, guint n, double from, double to)
{
  for (guint i = 0; i < n; i++)
    sim_schedule (cluster, sim_rand_range (cluster, from, to), inject_drawn_fault, NULL);
  cluster->faults_to = to;
  sim_schedule (cluster, to, faults_mark_ended, NULL);
}
