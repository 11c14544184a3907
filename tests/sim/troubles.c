/* Begins planned faults at their times or events and applies them to controllers, machines and
 * services. */
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
#define CLOSE_LOOKS_CANCEL_SHARE 0.1
#define RESTART_MIN_S 3.0
#define RESTART_MAX_S 7.0

double
fault_rand (World *world, double lo, double hi)
{
  return g_rand_double_range (world->troubles.rand, lo, hi);
}

gboolean
fault_window_active (const World *world, const HrFaultWindow *window)
{
  return window->until > world->now;
}

gboolean
fault_window_hits (World *world, const HrFaultWindow *window)
{
  return fault_window_active (world, window) && fault_rand (world, 0, 1) < window->share;
}

gboolean
fault_in_cut_zone (const World *world, int node)
{
  return world->troubles.zone_nodes >> node & 1;
}

int
fault_random_node (World *world)
{
  return g_rand_int_range (world->troubles.rand, 0, world->n);
}

void
fault_shuffle (World *world, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--) {
    guint k = g_rand_int_range (world->troubles.rand, 0, i);
    gpointer swapped = list->pdata[k];
    list->pdata[k] = list->pdata[i - 1];
    list->pdata[i - 1] = swapped;
  }
}

/* ---- targets ---- */

/* Returns random machines that are up, those with tasks first. */
static GPtrArray *
pick_machines (World *world, const HrFault *fault)
{
  g_autoptr (GPtrArray) up = g_ptr_array_new ();
  GPtrArray *picked = g_ptr_array_new ();
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    if (machine->up && !machine->gone && (!fault->zone || machine->zone + 1 == fault->zone))
      g_ptr_array_add (up, machine);
  }
  fault_shuffle (world, up);
  guint n = fault->count       ? fault->count
            : fault->share > 0 ? (guint)(fault->share * up->len + 0.5)
                               : up->len;
  for (int busy = 1; busy >= 0; busy--)
    for (guint i = 0; i < up->len && picked->len < n; i++) {
      SimMachine *machine = up->pdata[i];
      if ((machine->tasks->len > 0) == busy)
        g_ptr_array_add (picked, machine);
    }
  world->troubles.effects[fault->kind] += picked->len;
  return picked;
}

static gboolean
is_target (World *world, HrFaultTarget who, int node)
{
  int leader = MAX (0, store_leader (world));
  switch (who) {
  case WHO_LEADER:
    return node == leader;
  case WHO_OTHER:
    return node == (leader + 1) % world->n;
  case WHO_OTHERS:
    return node != leader;
  case WHO_ALL:
    return TRUE;
  }
  return FALSE;
}

/* ---- begin ---- */

static void
inject_node_fault (World *world, const HrFault *fault, int i, gboolean first)
{
  Node *n = &world->nodes[i];
  double until = world->now + fault->for_s;
  world->troubles.effects[fault->kind]++;
  if (fault->kind == FAULT_NODE_CRASH) {
    double back = first && fault->first_back_s > 0 ? fault->first_back_s
                  : fault->back_s > 0              ? fault->back_s
                                      : fault_rand (world, RESTART_MIN_S, RESTART_MAX_S);
    node_kill (world, i);
    node_start_at (world, i, world->now + back);
  } else if (fault->kind == FAULT_NODE_FREEZE)
    node_freeze (world, i, fault->for_s);
  else if (fault->kind == FAULT_STATE_REFUSES)
    n->refused = until;
  else {
    n->hold = fault->hold;
    if (fault->from_state)
      n->cut_store = until;
    if (fault->from_peers)
      n->cut_peers = until;
    if (fault->from_workers)
      n->cut_workers = until;
    if (fault->from_users)
      n->cut_users = until;
    if (fault->from_state && fault->from_peers)
      n->alone_at = world->now;
  }
}

static void
inject_node_faults (World *world, const HrFault *fault)
{
  gboolean hit[MAX_NODES] = {FALSE};
  for (int i = 0; i < world->n; i++)
    hit[i] = is_target (world, fault->who, i);
  gboolean first = TRUE;
  for (int i = 0; i < world->n; i++)
    if (hit[i]) {
      inject_node_fault (world, fault, i, first);
      first = FALSE;
    }
}

static void
inject_machine_faults (World *world, const HrFault *fault)
{
  g_autoptr (GPtrArray) list = pick_machines (world, fault);
  double until = world->now + fault->for_s;
  for (guint i = 0; i < list->len; i++) {
    SimMachine *machine = list->pdata[i];
    if (fault->kind == FAULT_MACHINE_DEAF)
      machine->inbound_cut = until;
    else if (fault->kind == FAULT_MACHINE_MUTE)
      machine->outbound_cut = until;
    else if (fault->kind == FAULT_MACHINE_HANG)
      machine->hang = until;
    else if (fault->kind == FAULT_MACHINE_CRASH)
      machine_end (world, machine);
    else {
      machine->cut = until;
      machine->hold = fault->hold;
    }
  }
}

static void
cut_zone (World *world, const HrFault *fault)
{
  HrFaultState *faults = &world->troubles;
  faults->zone_cut = fault->zone ? fault->zone - 1 : 0;
  faults->zone_cut_until = world->now + fault->for_s;
  faults->zone_hold = fault->hold;
  faults->zone_nodes = 0;
  for (int i = 0; i < world->n; i++)
    if (is_target (world, fault->who, i))
      faults->zone_nodes |= 1u << i;
  for (int i = 0; i < world->n; i++)
    if (fault_in_cut_zone (world, i)) {
      Node *n = &world->nodes[i];
      n->cut_store = n->cut_peers = n->cut_users = faults->zone_cut_until;
      n->alone_at = world->now;
      n->hold = fault->hold;
    }
  faults->effects[FAULT_ZONE_CUT]++;
}

static void
open_window (World *world, HrFaultWindow *window, const HrFault *fault)
{
  *window = (HrFaultWindow){world->now + fault->for_s, fault->share};
}

static void
begin_late_reports (World *world, const HrFault *fault)
{
  HrFaultState *faults = &world->troubles;
  if (fault->for_next) {
    faults->leaders_released = faults->leaders;
    open_window (world, &faults->reports_for_next, fault);
  } else
    open_window (world, fault->to_all ? &faults->reports_to_all : &faults->late_reports, fault);
}

/* Begins faults of the services around the controllers, of the network and of users. */
static void
begin_environment_fault (World *world, const HrFault *fault)
{
  HrFaultState *faults = &world->troubles;
  switch (fault->kind) {
  case FAULT_STATE_OUTAGE:
    world->outage = MAX (world->outage, world->now + fault->for_s);
    faults->effects[FAULT_STATE_OUTAGE]++;
    break;
  case FAULT_STATE_SLOW:
    faults->state_slow_until = world->now + fault->for_s;
    faults->state_slow_s = fault->delay_s;
    faults->effects[FAULT_STATE_SLOW]++;
    break;
  case FAULT_FAST_BOOT:
    faults->fast_boot_until = world->now + fault->for_s;
    break;
  case FAULT_ZONE_CUT:
    cut_zone (world, fault);
    break;
  case FAULT_SLOW_LINKS:
    faults->links_slow_until = world->now + fault->for_s;
    faults->links_slow_s = fault->delay_s;
    faults->effects[FAULT_SLOW_LINKS]++;
    break;
  case FAULT_CLOUD_OUTAGE:
    world->cloud_outage = MAX (world->cloud_outage, world->now + fault->for_s);
    faults->effects[FAULT_CLOUD_OUTAGE]++;
    break;
  case FAULT_ODD_REQUESTS:
    faults->malformed_until = world->now + fault->for_s;
    malformed_requests_begin (world);
    break;
  default:
    break;
  }
}

static void
begin (World *world, gpointer data)
{
  g_autofree HrFault *fault = data;
  HrFaultState *faults = &world->troubles;
  sim_log_time = world->now;
  g_debug ("planned fault %d for %.1f s", fault->kind, fault->for_s);
  switch (fault->kind) {
  case FAULT_LATE_WRITES:
    open_window (world, fault->at_once ? &faults->lost_answers : &faults->late_writes, fault);
    break;
  case FAULT_LATE_REPORTS:
    begin_late_reports (world, fault);
    break;
  case FAULT_LATE_COMMANDS:
    open_window (world, &faults->late_commands, fault);
    break;
  case FAULT_MACHINE_DEAF:
  case FAULT_MACHINE_MUTE:
  case FAULT_MACHINE_HANG:
  case FAULT_MACHINE_CUT:
  case FAULT_MACHINE_CRASH:
    inject_machine_faults (world, fault);
    break;
  case FAULT_CANCEL_NOW:
    fault_cancel_now (world, fault);
    break;
  case FAULT_CANCEL_AT_END:
    open_window (world, &faults->cancel_at_end, fault);
    break;
  case FAULT_CLOSE_LOOKS:
    open_window (world, &faults->close_looks, fault);
    if (fault->share <= 0)
      faults->close_looks.share = CLOSE_LOOKS_CANCEL_SHARE;
    break;
  case FAULT_NODE_CUT:
  case FAULT_NODE_CRASH:
  case FAULT_NODE_FREEZE:
  case FAULT_STATE_REFUSES:
    inject_node_faults (world, fault);
    break;
  default:
    begin_environment_fault (world, fault);
    break;
  }
}

/* Returns for how long after its end the fault may still have an effect, in seconds. */
static double
after_effect (const World *world, const HrFault *fault)
{
  switch (fault->kind) {
  case FAULT_LATE_WRITES:
    return LATE_WRITE_MAX_S;
  case FAULT_LATE_COMMANDS:
    return LATE_COMMAND_MAX_S;
  case FAULT_LATE_REPORTS:
    return LATE_REPORT_MAX_LEASES * world->lease_s;
  case FAULT_NODE_CRASH:
    return fault->back_s > 0 ? fault->back_s : RESTART_MAX_S;
  default:
    return fault->hang_s;
  }
}

static void
arm (World *world, gpointer fault)
{
  g_ptr_array_add (world->troubles.armed, fault);
}

void
faults_trigger (World *world, HrFaultTrigger event)
{
  GPtrArray *armed = world->troubles.armed;
  for (guint i = armed->len; i > 0 && !world->calm; i--) {
    HrFault *fault = armed->pdata[i - 1];
    if (fault->on != event)
      continue;
    g_ptr_array_steal_index_fast (armed, i - 1);
    world->troubles.ends_at =
        MAX (world->troubles.ends_at, world->now + fault->for_s + after_effect (world, fault));
    w_at (world, world->now, begin, fault);
    w_at (world, world->troubles.ends_at, world_end_faults, NULL);
  }
}

void
faults_plan (World *world, const HrFault *day, guint n)
{
  HrFaultState *faults = &world->troubles;
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < MAX (day[i].times, 1); k++) {
      double at = day[i].at_s + k * day[i].every_s;
      w_at (world, at, day[i].on ? arm : begin, g_memdup2 (&day[i], sizeof day[i]));
      faults->ends_at = MAX (faults->ends_at, at + day[i].for_s + after_effect (world, &day[i]));
    }
  w_at (world, faults->ends_at, world_end_faults, NULL);
}

static gboolean
machine_has_active_fault (const World *world, const SimMachine *machine)
{
  return !machine->gone &&
         (machine->cut > world->now || machine->hang > world->now ||
          machine->inbound_cut > world->now || machine->outbound_cut > world->now);
}

gboolean
world_has_active_fault (const World *world)
{
  if (!world->calm || world->stray_until > world->now || world->outage > world->now ||
      world->cloud_outage > world->now || world->troubles.zone_cut_until > world->now)
    return TRUE;
  for (int i = 0; i < world->n; i++) {
    const Node *n = &world->nodes[i];
    double cut = MAX (MAX (n->cut_workers, n->cut_store), MAX (n->cut_peers, n->cut_users));
    if (!n->up || MAX (cut, MAX (n->refused, n->frozen)) > world->now)
      return TRUE;
  }
  for (guint i = 0; i < world->machines->len; i++)
    if (machine_has_active_fault (world, world->machines->pdata[i]))
      return TRUE;
  return FALSE;
}

void
fault_injection_init (World *world, guint32 seed)
{
  world->troubles.rand = g_rand_new_with_seed (seed ^ STREAM_SEED_XOR);
  world->troubles.kept_for_next = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
  world->troubles.armed = g_ptr_array_new_with_free_func (g_free);
  world->troubles.kept_for_all = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
}

void
fault_injection_free (World *world)
{
  g_rand_free (world->troubles.rand);
  g_ptr_array_unref (world->troubles.kept_for_next);
  g_ptr_array_unref (world->troubles.kept_for_all);
  g_ptr_array_unref (world->troubles.armed);
  g_free (world->troubles.leader_process);
}
