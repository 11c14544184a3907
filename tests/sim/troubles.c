/* Planned troubles: each begins at its time, and hits whom it names. */
#include "sim/cloud.h"
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/malformed_requests.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/trouble_parts.h"
#include "sim/worker.h"

#define STREAM 0x7f4a7c15u /* sets the stream of troubles apart from the day's own */
#define LOOK_CANCEL_SHARE 0.1
#define BACK_MIN_S 3.0
#define BACK_MAX_S 7.0

double
trouble_rand (SimCluster *cluster, double lo, double hi)
{
  return g_rand_double_range (cluster->troubles.rand, lo, hi);
}

gboolean
trouble_on (const SimCluster *cluster, const HrSwitch *trouble_switch)
{
  return trouble_switch->until > cluster->now;
}

/* Drawn only while it is on. */
gboolean
trouble_strikes (SimCluster *cluster, const HrSwitch *trouble_switch)
{
  return trouble_on (cluster, trouble_switch) &&
         trouble_rand (cluster, 0, 1) < trouble_switch->share;
}

gboolean
trouble_inside (const SimCluster *cluster, int node)
{
  return cluster->troubles.zone_nodes >> node & 1;
}

int
trouble_any_node (SimCluster *cluster)
{
  return g_rand_int_range (cluster->troubles.rand, 0, cluster->n);
}

void
trouble_shuffle (SimCluster *cluster, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--) {
    guint k = g_rand_int_range (cluster->troubles.rand, 0, i);
    gpointer swapped = list->pdata[k];
    list->pdata[k] = list->pdata[i - 1];
    list->pdata[i - 1] = swapped;
  }
}

/* ---- whom it hits ---- */

/* Machines that are up, those with tasks first. */
static GPtrArray *
pick_machines (SimCluster *cluster, const HrTrouble *trouble)
{
  g_autoptr (GPtrArray) up = g_ptr_array_new ();
  GPtrArray *picked = g_ptr_array_new ();
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    if (machine->up && !machine->gone && (!trouble->zone || machine->zone + 1 == trouble->zone))
      g_ptr_array_add (up, machine);
  }
  trouble_shuffle (cluster, up);
  guint n = trouble->count       ? trouble->count
            : trouble->share > 0 ? (guint)(trouble->share * up->len + 0.5)
                                 : up->len;
  for (int busy = 1; busy >= 0; busy--)
    for (guint i = 0; i < up->len && picked->len < n; i++) {
      SimMachine *machine = up->pdata[i];
      if ((machine->tasks->len > 0) == busy)
        g_ptr_array_add (picked, machine);
    }
  cluster->troubles.played[trouble->kind] += picked->len;
  return picked;
}

static gboolean
is_hit (SimCluster *cluster, HrWho who, int node)
{
  int leader = MAX (0, store_leader (cluster));
  switch (who) {
  case WHO_LEADER:
    return node == leader;
  case WHO_OTHER:
    return node == (leader + 1) % cluster->n;
  case WHO_OTHERS:
    return node != leader;
  case WHO_ALL:
    return TRUE;
  }
  return FALSE;
}

/* ---- beginnings ---- */

static void
hit_node (SimCluster *cluster, const HrTrouble *trouble, int i, gboolean first)
{
  SimNode *n = &cluster->nodes[i];
  double until = cluster->now + trouble->for_s;
  cluster->troubles.played[trouble->kind]++;
  if (trouble->kind == TROUBLE_NODE_CRASH) {
    double back = first && trouble->first_back_s > 0 ? trouble->first_back_s
                  : trouble->back_s > 0              ? trouble->back_s
                                        : trouble_rand (cluster, BACK_MIN_S, BACK_MAX_S);
    node_kill (cluster, i);
    node_start_at (cluster, i, cluster->now + back);
  } else if (trouble->kind == TROUBLE_NODE_FREEZE)
    node_freeze (cluster, i, trouble->for_s);
  else if (trouble->kind == TROUBLE_STATE_REFUSES)
    n->store_refuses_until = until;
  else {
    n->cut_holds_messages = trouble->hold;
    if (trouble->from_state)
      n->cut_store_until = until;
    if (trouble->from_peers)
      n->cut_peers_until = until;
    if (trouble->from_workers)
      n->cut_workers_until = until;
    if (trouble->from_users)
      n->cut_users_until = until;
    if (trouble->from_state && trouble->from_peers)
      n->isolated_at = cluster->now;
  }
}

static void
hit_nodes (SimCluster *cluster, const HrTrouble *trouble)
{
  gboolean hit[MAX_NODES] = {FALSE};
  for (int i = 0; i < cluster->n; i++)
    hit[i] = is_hit (cluster, trouble->who, i);
  gboolean first = TRUE;
  for (int i = 0; i < cluster->n; i++)
    if (hit[i]) {
      hit_node (cluster, trouble, i, first);
      first = FALSE;
    }
}

static void
hit_machines (SimCluster *cluster, const HrTrouble *trouble)
{
  g_autoptr (GPtrArray) list = pick_machines (cluster, trouble);
  double until = cluster->now + trouble->for_s;
  for (guint i = 0; i < list->len; i++) {
    SimMachine *machine = list->pdata[i];
    if (trouble->kind == TROUBLE_MACHINE_DEAF)
      machine->inbound_cut_until = until;
    else if (trouble->kind == TROUBLE_MACHINE_MUTE)
      machine->outbound_cut_until = until;
    else if (trouble->kind == TROUBLE_MACHINE_HANG)
      machine->hang_until = until;
    else if (trouble->kind == TROUBLE_MACHINE_CRASH)
      machine_terminate (cluster, machine);
    else {
      machine->cut_until = until;
      machine->cut_holds_messages = trouble->hold;
    }
  }
}

static void
cut_zone (SimCluster *cluster, const HrTrouble *trouble)
{
  HrTroubles *troubles = &cluster->troubles;
  troubles->zone_cut = trouble->zone ? trouble->zone - 1 : 0;
  troubles->zone_cut_until = cluster->now + trouble->for_s;
  troubles->zone_hold = trouble->hold;
  troubles->zone_nodes = 0;
  for (int i = 0; i < cluster->n; i++)
    if (is_hit (cluster, trouble->who, i))
      troubles->zone_nodes |= 1u << i;
  for (int i = 0; i < cluster->n; i++)
    if (trouble_inside (cluster, i)) {
      SimNode *n = &cluster->nodes[i];
      n->cut_store_until = n->cut_peers_until = n->cut_users_until = troubles->zone_cut_until;
      n->isolated_at = cluster->now;
      n->cut_holds_messages = trouble->hold;
    }
  troubles->played[TROUBLE_ZONE_CUT]++;
}

static void
turn_on (SimCluster *cluster, HrSwitch *trouble_switch, const HrTrouble *trouble)
{
  *trouble_switch = (HrSwitch){cluster->now + trouble->for_s, trouble->share};
}

static void
begin_reports (SimCluster *cluster, const HrTrouble *trouble)
{
  HrTroubles *troubles = &cluster->troubles;
  if (trouble->for_next) {
    troubles->leaders_acted = troubles->leaders;
    turn_on (cluster, &troubles->reports_for_next, trouble);
  } else
    turn_on (cluster, trouble->to_all ? &troubles->reports_to_all : &troubles->late_reports,
             trouble);
}

/* Troubles of the services around the controllers, and of users. */
static void
begin_outside (SimCluster *cluster, const HrTrouble *trouble)
{
  HrTroubles *troubles = &cluster->troubles;
  switch (trouble->kind) {
  case TROUBLE_STATE_OUTAGE:
    cluster->store_outage_until = MAX (cluster->store_outage_until, cluster->now + trouble->for_s);
    troubles->played[TROUBLE_STATE_OUTAGE]++;
    break;
  case TROUBLE_STATE_SLOW:
    troubles->state_slow_until = cluster->now + trouble->for_s;
    troubles->state_slow_s = trouble->delay_s;
    troubles->played[TROUBLE_STATE_SLOW]++;
    break;
  case TROUBLE_FAST_BOOT:
    troubles->fast_boot_until = cluster->now + trouble->for_s;
    break;
  case TROUBLE_ZONE_CUT:
    cut_zone (cluster, trouble);
    break;
  case TROUBLE_SLOW_LINKS:
    troubles->links_slow_until = cluster->now + trouble->for_s;
    troubles->links_slow_s = trouble->delay_s;
    troubles->played[TROUBLE_SLOW_LINKS]++;
    break;
  case TROUBLE_CLOUD_OUTAGE:
    cluster->cloud_outage_until = MAX (cluster->cloud_outage_until, cluster->now + trouble->for_s);
    troubles->played[TROUBLE_CLOUD_OUTAGE]++;
    break;
  case TROUBLE_ODD_REQUESTS:
    troubles->odd_until = cluster->now + trouble->for_s;
    malformed_requests_begin (cluster);
    break;
  default:
    break;
  }
}

static void
begin (SimCluster *cluster, gpointer data)
{
  g_autofree HrTrouble *trouble = data;
  HrTroubles *troubles = &cluster->troubles;
  sim_log_time = cluster->now;
  g_debug ("trouble %d for %.1f s", trouble->kind, trouble->for_s);
  switch (trouble->kind) {
  case TROUBLE_LATE_WRITES:
    turn_on (cluster, trouble->at_once ? &troubles->lost_answers : &troubles->late_writes, trouble);
    break;
  case TROUBLE_LATE_REPORTS:
    begin_reports (cluster, trouble);
    break;
  case TROUBLE_LATE_COMMANDS:
    turn_on (cluster, &troubles->late_commands, trouble);
    break;
  case TROUBLE_MACHINE_DEAF:
  case TROUBLE_MACHINE_MUTE:
  case TROUBLE_MACHINE_HANG:
  case TROUBLE_MACHINE_CUT:
  case TROUBLE_MACHINE_CRASH:
    hit_machines (cluster, trouble);
    break;
  case TROUBLE_CANCEL_NOW:
    trouble_cancel_now (cluster, trouble);
    break;
  case TROUBLE_CANCEL_AT_END:
    turn_on (cluster, &troubles->cancel_at_end, trouble);
    break;
  case TROUBLE_CLOSE_LOOKS:
    turn_on (cluster, &troubles->close_looks, trouble);
    if (trouble->share <= 0)
      troubles->close_looks.share = LOOK_CANCEL_SHARE;
    break;
  case TROUBLE_NODE_CUT:
  case TROUBLE_NODE_CRASH:
  case TROUBLE_NODE_FREEZE:
  case TROUBLE_STATE_REFUSES:
    hit_nodes (cluster, trouble);
    break;
  default:
    begin_outside (cluster, trouble);
    break;
  }
}

/* How long after its end it may still have an effect. */
static double
after_effect (const SimCluster *cluster, const HrTrouble *trouble)
{
  switch (trouble->kind) {
  case TROUBLE_LATE_WRITES:
    return LATE_WRITE_MAX_S;
  case TROUBLE_LATE_COMMANDS:
    return LATE_COMMAND_MAX_S;
  case TROUBLE_LATE_REPORTS:
    return LATE_REPORT_MAX_LEASES * cluster->lease_s;
  case TROUBLE_NODE_CRASH:
    return trouble->back_s > 0 ? trouble->back_s : BACK_MAX_S;
  default:
    return trouble->hang_s;
  }
}

static void
arm (SimCluster *cluster, gpointer trouble)
{
  g_ptr_array_add (cluster->troubles.armed, trouble);
}

void
troubles_moment (SimCluster *cluster, HrMoment moment)
{
  GPtrArray *armed = cluster->troubles.armed;
  for (guint i = armed->len; i > 0 && !cluster->faults_ended; i--) {
    HrTrouble *trouble = armed->pdata[i - 1];
    if (trouble->on != moment)
      continue;
    g_ptr_array_steal_index_fast (armed, i - 1);
    cluster->troubles.over_at = MAX (
        cluster->troubles.over_at, cluster->now + trouble->for_s + after_effect (cluster, trouble));
    sim_schedule (cluster, cluster->now, begin, trouble);
    sim_schedule (cluster, cluster->troubles.over_at, world_calm, NULL);
  }
}

void
troubles_plan (SimCluster *cluster, const HrTrouble *day, guint n)
{
  HrTroubles *troubles = &cluster->troubles;
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < MAX (day[i].times, 1); k++) {
      double at = day[i].at_s + k * day[i].every_s;
      sim_schedule (cluster, at, day[i].on ? arm : begin, g_memdup2 (&day[i], sizeof day[i]));
      troubles->over_at =
          MAX (troubles->over_at, at + day[i].for_s + after_effect (cluster, &day[i]));
    }
  sim_schedule (cluster, troubles->over_at, world_calm, NULL);
}

static gboolean
machine_troubled (const SimCluster *cluster, const SimMachine *machine)
{
  return !machine->gone &&
         (machine->cut_until > cluster->now || machine->hang_until > cluster->now ||
          machine->inbound_cut_until > cluster->now || machine->outbound_cut_until > cluster->now);
}

gboolean
world_troubled (const SimCluster *cluster)
{
  if (!cluster->faults_ended || cluster->late_messages_until > cluster->now ||
      cluster->store_outage_until > cluster->now || cluster->cloud_outage_until > cluster->now ||
      cluster->troubles.zone_cut_until > cluster->now)
    return TRUE;
  for (int i = 0; i < cluster->n; i++) {
    const SimNode *n = &cluster->nodes[i];
    double cut = MAX (MAX (n->cut_workers_until, n->cut_store_until),
                      MAX (n->cut_peers_until, n->cut_users_until));
    if (!n->up || MAX (cut, MAX (n->store_refuses_until, n->frozen_until)) > cluster->now)
      return TRUE;
  }
  for (guint i = 0; i < cluster->machines->len; i++)
    if (machine_troubled (cluster, cluster->machines->pdata[i]))
      return TRUE;
  return FALSE;
}

void
troubles_init (SimCluster *cluster, guint32 seed)
{
  cluster->troubles.rand = g_rand_new_with_seed (seed ^ STREAM);
  cluster->troubles.kept_next = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
  cluster->troubles.armed = g_ptr_array_new_with_free_func (g_free);
  cluster->troubles.kept_all = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
}

void
troubles_free (SimCluster *cluster)
{
  g_rand_free (cluster->troubles.rand);
  g_ptr_array_unref (cluster->troubles.kept_next);
  g_ptr_array_unref (cluster->troubles.kept_all);
  g_ptr_array_unref (cluster->troubles.armed);
  g_free (cluster->troubles.leader_process);
}
