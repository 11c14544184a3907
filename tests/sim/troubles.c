/* Begins planned faults at their times or events and applies them to controllers, machines and
 * services. */
#include "protocol/random_range.h"
#include "sim/cloud.h"
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/malformed_requests.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/trouble_parts.h"
#include "sim/worker.h"

#define STREAM_SEED_XOR                                                                            \
  0x7f4a7c15u /* makes the random stream of faults differ from that of the day */
#define CLOSE_POLLS_CANCEL_SHARE 0.1
#define RESTART_MIN_S 3.0
#define RESTART_MAX_S 7.0

double
fault_rand (SimCluster *cluster, double lo, double hi)
{
  return hr_random_range (cluster->faults.rand, lo, hi);
}

gboolean
fault_window_active (const SimCluster *cluster, const HrFaultWindow *window)
{
  return window->until > cluster->now;
}

gboolean
fault_window_hits (SimCluster *cluster, const HrFaultWindow *window)
{
  return fault_window_active (cluster, window) && fault_rand (cluster, 0, 1) < window->share;
}

gboolean
fault_in_cut_zone (const SimCluster *cluster, int node)
{
  return cluster->faults.zone_nodes >> node & 1;
}

int
fault_random_node (SimCluster *cluster)
{
  return g_rand_int_range (cluster->faults.rand, 0, cluster->n);
}

void
fault_shuffle (SimCluster *cluster, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--) {
    guint k = g_rand_int_range (cluster->faults.rand, 0, i);
    gpointer swapped = list->pdata[k];
    list->pdata[k] = list->pdata[i - 1];
    list->pdata[i - 1] = swapped;
  }
}

/* ---- targets ---- */

/* Returns random machines that are up, those with tasks first. */
static GPtrArray *
pick_machines (SimCluster *cluster, const HrFault *fault)
{
  g_autoptr (GPtrArray) up = g_ptr_array_new ();
  GPtrArray *picked = g_ptr_array_new ();
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    if (machine->up && !machine->gone && (!fault->zone || machine->zone + 1 == fault->zone))
      g_ptr_array_add (up, machine);
  }
  fault_shuffle (cluster, up);
  guint n = fault->count       ? fault->count
            : fault->share > 0 ? (guint)(fault->share * up->len + 0.5)
                               : up->len;
  for (int busy = 1; busy >= 0; busy--)
    for (guint i = 0; i < up->len && picked->len < n; i++) {
      SimMachine *machine = up->pdata[i];
      if ((machine->tasks->len > 0) == busy)
        g_ptr_array_add (picked, machine);
    }
  cluster->faults.effects[fault->kind] += picked->len;
  return picked;
}

static gboolean
is_target (SimCluster *cluster, HrFaultTarget who, int node)
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

/* ---- begin ---- */

static void
inject_node_fault (SimCluster *cluster, const HrFault *fault, int i, gboolean first)
{
  SimNode *n = &cluster->nodes[i];
  double until = cluster->now + fault->for_s;
  cluster->faults.effects[fault->kind]++;
  if (fault->kind == FAULT_NODE_CRASH) {
    double back = first && fault->first_back_s > 0 ? fault->first_back_s
                  : fault->back_s > 0              ? fault->back_s
                                      : fault_rand (cluster, RESTART_MIN_S, RESTART_MAX_S);
    node_kill (cluster, i);
    node_start_at (cluster, i, cluster->now + back);
  } else if (fault->kind == FAULT_NODE_FREEZE)
    node_freeze (cluster, i, fault->for_s);
  else if (fault->kind == FAULT_STATE_REFUSES)
    n->store_refuses_until = until;
  else {
    n->cut_holds_messages = fault->hold;
    if (fault->from_state)
      n->cut_store_until = until;
    if (fault->from_peers)
      n->cut_peers_until = until;
    if (fault->from_workers)
      n->cut_workers_until = until;
    if (fault->from_users)
      n->cut_users_until = until;
    if (fault->from_state && fault->from_peers)
      n->isolated_at = cluster->now;
  }
}

static void
inject_node_faults (SimCluster *cluster, const HrFault *fault)
{
  gboolean hit[MAX_NODES] = {FALSE};
  for (int i = 0; i < cluster->n; i++)
    hit[i] = is_target (cluster, fault->who, i);
  gboolean first = TRUE;
  for (int i = 0; i < cluster->n; i++)
    if (hit[i]) {
      inject_node_fault (cluster, fault, i, first);
      first = FALSE;
    }
}

static void
inject_machine_faults (SimCluster *cluster, const HrFault *fault)
{
  g_autoptr (GPtrArray) list = pick_machines (cluster, fault);
  double until = cluster->now + fault->for_s;
  for (guint i = 0; i < list->len; i++) {
    SimMachine *machine = list->pdata[i];
    if (fault->kind == FAULT_MACHINE_INBOUND_CUT)
      machine->inbound_cut_until = until;
    else if (fault->kind == FAULT_MACHINE_OUTBOUND_CUT)
      machine->outbound_cut_until = until;
    else if (fault->kind == FAULT_MACHINE_HANG)
      machine->hang_until = until;
    else if (fault->kind == FAULT_MACHINE_CRASH)
      machine_terminate (cluster, machine);
    else {
      machine->cut_until = until;
      machine->cut_holds_messages = fault->hold;
    }
  }
}

static void
cut_zone (SimCluster *cluster, const HrFault *fault)
{
  HrFaultState *faults = &cluster->faults;
  faults->zone_cut = fault->zone ? fault->zone - 1 : 0;
  faults->zone_cut_until = cluster->now + fault->for_s;
  faults->zone_hold = fault->hold;
  faults->zone_nodes = 0;
  for (int i = 0; i < cluster->n; i++)
    if (is_target (cluster, fault->who, i))
      faults->zone_nodes |= 1u << i;
  for (int i = 0; i < cluster->n; i++)
    if (fault_in_cut_zone (cluster, i)) {
      SimNode *n = &cluster->nodes[i];
      n->cut_store_until = n->cut_peers_until = n->cut_users_until = faults->zone_cut_until;
      n->isolated_at = cluster->now;
      n->cut_holds_messages = fault->hold;
    }
  faults->effects[FAULT_ZONE_CUT]++;
}

static void
open_window (SimCluster *cluster, HrFaultWindow *window, const HrFault *fault)
{
  *window = (HrFaultWindow){cluster->now + fault->for_s, fault->share};
}

static void
begin_late_reports (SimCluster *cluster, const HrFault *fault)
{
  HrFaultState *faults = &cluster->faults;
  if (fault->for_next) {
    faults->leaders_released = faults->leaders;
    open_window (cluster, &faults->reports_for_next, fault);
  } else
    open_window (cluster, fault->to_all ? &faults->reports_to_all : &faults->late_reports, fault);
}

/* Begins faults of the services around the controllers, of the network and of users. */
static void
begin_environment_fault (SimCluster *cluster, const HrFault *fault)
{
  HrFaultState *faults = &cluster->faults;
  switch (fault->kind) {
  case FAULT_STATE_OUTAGE:
    cluster->store_outage_until = MAX (cluster->store_outage_until, cluster->now + fault->for_s);
    faults->effects[FAULT_STATE_OUTAGE]++;
    break;
  case FAULT_STATE_SLOW:
    faults->state_slow_until = cluster->now + fault->for_s;
    faults->state_slow_s = fault->delay_s;
    faults->effects[FAULT_STATE_SLOW]++;
    break;
  case FAULT_FAST_BOOT:
    faults->fast_boot_until = cluster->now + fault->for_s;
    break;
  case FAULT_ZONE_CUT:
    cut_zone (cluster, fault);
    break;
  case FAULT_SLOW_LINKS:
    faults->links_slow_until = cluster->now + fault->for_s;
    faults->links_slow_s = fault->delay_s;
    faults->effects[FAULT_SLOW_LINKS]++;
    break;
  case FAULT_CLOUD_OUTAGE:
    cluster->cloud_outage_until = MAX (cluster->cloud_outage_until, cluster->now + fault->for_s);
    faults->effects[FAULT_CLOUD_OUTAGE]++;
    break;
  case FAULT_MALFORMED_REQUESTS:
    faults->malformed_until = cluster->now + fault->for_s;
    malformed_requests_begin (cluster);
    break;
  default:
    break;
  }
}

static void
begin (SimCluster *cluster, gpointer data)
{
  g_autofree HrFault *fault = data;
  HrFaultState *faults = &cluster->faults;
  sim_log_time = cluster->now;
  g_debug ("planned fault %d for %.1f s", fault->kind, fault->for_s);
  switch (fault->kind) {
  case FAULT_LATE_WRITES:
    open_window (cluster, fault->at_once ? &faults->lost_answers : &faults->late_writes, fault);
    break;
  case FAULT_LATE_REPORTS:
    begin_late_reports (cluster, fault);
    break;
  case FAULT_LATE_COMMANDS:
    open_window (cluster, &faults->late_commands, fault);
    break;
  case FAULT_MACHINE_INBOUND_CUT:
  case FAULT_MACHINE_OUTBOUND_CUT:
  case FAULT_MACHINE_HANG:
  case FAULT_MACHINE_CUT:
  case FAULT_MACHINE_CRASH:
    inject_machine_faults (cluster, fault);
    break;
  case FAULT_CANCEL_NOW:
    fault_cancel_now (cluster, fault);
    break;
  case FAULT_CANCEL_AT_END:
    open_window (cluster, &faults->cancel_at_end, fault);
    break;
  case FAULT_CLOSE_POLLS:
    open_window (cluster, &faults->close_polls, fault);
    if (fault->share <= 0)
      faults->close_polls.share = CLOSE_POLLS_CANCEL_SHARE;
    break;
  case FAULT_NODE_CUT:
  case FAULT_NODE_CRASH:
  case FAULT_NODE_FREEZE:
  case FAULT_STATE_REFUSES:
    inject_node_faults (cluster, fault);
    break;
  default:
    begin_environment_fault (cluster, fault);
    break;
  }
}

/* Returns for how long after its end the fault may still have an effect, in seconds. */
static double
after_effect (const SimCluster *cluster, const HrFault *fault)
{
  switch (fault->kind) {
  case FAULT_LATE_WRITES:
    return LATE_WRITE_MAX_S;
  case FAULT_LATE_COMMANDS:
    return LATE_COMMAND_MAX_S;
  case FAULT_LATE_REPORTS:
    return LATE_REPORT_MAX_LEASES * cluster->lease_s;
  case FAULT_NODE_CRASH:
    return fault->back_s > 0 ? fault->back_s : RESTART_MAX_S;
  default:
    return fault->hang_s;
  }
}

static void
arm (SimCluster *cluster, gpointer fault)
{
  g_ptr_array_add (cluster->faults.armed, fault);
}

void
faults_trigger (SimCluster *cluster, HrFaultTrigger event)
{
  GPtrArray *armed = cluster->faults.armed;
  for (guint i = armed->len; i > 0 && !cluster->faults_ended; i--) {
    HrFault *fault = armed->pdata[i - 1];
    if (fault->on != event)
      continue;
    g_ptr_array_steal_index_fast (armed, i - 1);
    cluster->faults.ends_at =
        MAX (cluster->faults.ends_at, cluster->now + fault->for_s + after_effect (cluster, fault));
    sim_schedule (cluster, cluster->now, begin, fault);
    sim_schedule (cluster, cluster->faults.ends_at, faults_mark_ended, NULL);
  }
}

void
faults_plan (SimCluster *cluster, const HrFault *day, guint n)
{
  HrFaultState *faults = &cluster->faults;
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < MAX (day[i].times, 1); k++) {
      double at = day[i].at_s + k * day[i].every_s;
      sim_schedule (cluster, at, day[i].on ? arm : begin, g_memdup2 (&day[i], sizeof day[i]));
      faults->ends_at = MAX (faults->ends_at, at + day[i].for_s + after_effect (cluster, &day[i]));
    }
  sim_schedule (cluster, faults->ends_at, faults_mark_ended, NULL);
}

static gboolean
machine_has_active_fault (const SimCluster *cluster, const SimMachine *machine)
{
  return !machine->gone &&
         (machine->cut_until > cluster->now || machine->hang_until > cluster->now ||
          machine->inbound_cut_until > cluster->now || machine->outbound_cut_until > cluster->now);
}

gboolean
faults_any_active (const SimCluster *cluster)
{
  if (!cluster->faults_ended || cluster->late_messages_until > cluster->now ||
      cluster->store_outage_until > cluster->now || cluster->cloud_outage_until > cluster->now ||
      cluster->faults.zone_cut_until > cluster->now)
    return TRUE;
  for (int i = 0; i < cluster->n; i++) {
    const SimNode *n = &cluster->nodes[i];
    double cut = MAX (MAX (n->cut_workers_until, n->cut_store_until),
                      MAX (n->cut_peers_until, n->cut_users_until));
    if (!n->up || MAX (cut, MAX (n->store_refuses_until, n->frozen_until)) > cluster->now)
      return TRUE;
  }
  for (guint i = 0; i < cluster->machines->len; i++)
    if (machine_has_active_fault (cluster, cluster->machines->pdata[i]))
      return TRUE;
  return FALSE;
}

void
fault_injection_init (SimCluster *cluster, guint32 seed)
{
  cluster->faults.rand = g_rand_new_with_seed (seed ^ STREAM_SEED_XOR);
  cluster->faults.kept_for_next = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
  cluster->faults.armed = g_ptr_array_new_with_free_func (g_free);
  cluster->faults.kept_for_all = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
}

void
fault_injection_free (SimCluster *cluster)
{
  g_rand_free (cluster->faults.rand);
  g_ptr_array_unref (cluster->faults.kept_for_next);
  g_ptr_array_unref (cluster->faults.kept_for_all);
  g_ptr_array_unref (cluster->faults.armed);
  g_free (cluster->faults.leader_process);
}
