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
trouble_rand (World *world, double lo, double hi)
{
  return g_rand_double_range (world->troubles.rand, lo, hi);
}

gboolean
trouble_on (const World *world, const HrSwitch *trouble_switch)
{
  return trouble_switch->until > world->now;
}

/* Drawn only while it is on. */
gboolean
trouble_strikes (World *world, const HrSwitch *trouble_switch)
{
  return trouble_on (world, trouble_switch) && trouble_rand (world, 0, 1) < trouble_switch->share;
}

gboolean
trouble_inside (const World *world, int node)
{
  return world->troubles.zone_nodes >> node & 1;
}

int
trouble_any_node (World *world)
{
  return g_rand_int_range (world->troubles.rand, 0, world->n);
}

void
trouble_shuffle (World *world, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--) {
    guint k = g_rand_int_range (world->troubles.rand, 0, i);
    gpointer swapped = list->pdata[k];
    list->pdata[k] = list->pdata[i - 1];
    list->pdata[i - 1] = swapped;
  }
}

/* ---- whom it hits ---- */

/* Machines that are up, those with tasks first. */
static GPtrArray *
pick_machines (World *world, const HrTrouble *trouble)
{
  g_autoptr (GPtrArray) up = g_ptr_array_new ();
  GPtrArray *picked = g_ptr_array_new ();
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    if (machine->up && !machine->gone && (!trouble->zone || machine->zone + 1 == trouble->zone))
      g_ptr_array_add (up, machine);
  }
  trouble_shuffle (world, up);
  guint n = trouble->count       ? trouble->count
            : trouble->share > 0 ? (guint)(trouble->share * up->len + 0.5)
                                 : up->len;
  for (int busy = 1; busy >= 0; busy--)
    for (guint i = 0; i < up->len && picked->len < n; i++) {
      SimMachine *machine = up->pdata[i];
      if ((machine->tasks->len > 0) == busy)
        g_ptr_array_add (picked, machine);
    }
  world->troubles.played[trouble->kind] += picked->len;
  return picked;
}

static gboolean
is_hit (World *world, HrWho who, int node)
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

/* ---- beginnings ---- */

static void
hit_node (World *world, const HrTrouble *trouble, int i, gboolean first)
{
  Node *n = &world->nodes[i];
  double until = world->now + trouble->for_s;
  world->troubles.played[trouble->kind]++;
  if (trouble->kind == TROUBLE_NODE_CRASH) {
    double back = first && trouble->first_back_s > 0 ? trouble->first_back_s
                  : trouble->back_s > 0              ? trouble->back_s
                                                     : trouble_rand (world, BACK_MIN_S, BACK_MAX_S);
    node_kill (world, i);
    node_start_at (world, i, world->now + back);
  } else if (trouble->kind == TROUBLE_NODE_FREEZE)
    node_freeze (world, i, trouble->for_s);
  else if (trouble->kind == TROUBLE_STATE_REFUSES)
    n->refused = until;
  else {
    n->hold = trouble->hold;
    if (trouble->from_state)
      n->cut_store = until;
    if (trouble->from_peers)
      n->cut_peers = until;
    if (trouble->from_workers)
      n->cut_workers = until;
    if (trouble->from_users)
      n->cut_users = until;
    if (trouble->from_state && trouble->from_peers)
      n->alone_at = world->now;
  }
}

static void
hit_nodes (World *world, const HrTrouble *trouble)
{
  gboolean hit[MAX_NODES] = {FALSE};
  for (int i = 0; i < world->n; i++)
    hit[i] = is_hit (world, trouble->who, i);
  gboolean first = TRUE;
  for (int i = 0; i < world->n; i++)
    if (hit[i]) {
      hit_node (world, trouble, i, first);
      first = FALSE;
    }
}

static void
hit_machines (World *world, const HrTrouble *trouble)
{
  g_autoptr (GPtrArray) list = pick_machines (world, trouble);
  double until = world->now + trouble->for_s;
  for (guint i = 0; i < list->len; i++) {
    SimMachine *machine = list->pdata[i];
    if (trouble->kind == TROUBLE_MACHINE_DEAF)
      machine->inbound_cut = until;
    else if (trouble->kind == TROUBLE_MACHINE_MUTE)
      machine->outbound_cut = until;
    else if (trouble->kind == TROUBLE_MACHINE_HANG)
      machine->hang = until;
    else if (trouble->kind == TROUBLE_MACHINE_CRASH)
      machine_end (world, machine);
    else {
      machine->cut = until;
      machine->hold = trouble->hold;
    }
  }
}

static void
cut_zone (World *world, const HrTrouble *trouble)
{
  HrTroubles *troubles = &world->troubles;
  troubles->zone_cut = trouble->zone ? trouble->zone - 1 : 0;
  troubles->zone_cut_until = world->now + trouble->for_s;
  troubles->zone_hold = trouble->hold;
  troubles->zone_nodes = 0;
  for (int i = 0; i < world->n; i++)
    if (is_hit (world, trouble->who, i))
      troubles->zone_nodes |= 1u << i;
  for (int i = 0; i < world->n; i++)
    if (trouble_inside (world, i)) {
      Node *n = &world->nodes[i];
      n->cut_store = n->cut_peers = n->cut_users = troubles->zone_cut_until;
      n->alone_at = world->now;
      n->hold = trouble->hold;
    }
  troubles->played[TROUBLE_ZONE_CUT]++;
}

static void
turn_on (World *world, HrSwitch *trouble_switch, const HrTrouble *trouble)
{
  *trouble_switch = (HrSwitch){world->now + trouble->for_s, trouble->share};
}

static void
begin_reports (World *world, const HrTrouble *trouble)
{
  HrTroubles *troubles = &world->troubles;
  if (trouble->for_next) {
    troubles->leaders_acted = troubles->leaders;
    turn_on (world, &troubles->reports_for_next, trouble);
  } else
    turn_on (world, trouble->to_all ? &troubles->reports_to_all : &troubles->late_reports, trouble);
}

/* Troubles of the services around the controllers, and of users. */
static void
begin_outside (World *world, const HrTrouble *trouble)
{
  HrTroubles *troubles = &world->troubles;
  switch (trouble->kind) {
  case TROUBLE_STATE_OUTAGE:
    world->outage = MAX (world->outage, world->now + trouble->for_s);
    troubles->played[TROUBLE_STATE_OUTAGE]++;
    break;
  case TROUBLE_STATE_SLOW:
    troubles->state_slow_until = world->now + trouble->for_s;
    troubles->state_slow_s = trouble->delay_s;
    troubles->played[TROUBLE_STATE_SLOW]++;
    break;
  case TROUBLE_FAST_BOOT:
    troubles->fast_boot_until = world->now + trouble->for_s;
    break;
  case TROUBLE_ZONE_CUT:
    cut_zone (world, trouble);
    break;
  case TROUBLE_SLOW_LINKS:
    troubles->links_slow_until = world->now + trouble->for_s;
    troubles->links_slow_s = trouble->delay_s;
    troubles->played[TROUBLE_SLOW_LINKS]++;
    break;
  case TROUBLE_CLOUD_OUTAGE:
    world->cloud_outage = MAX (world->cloud_outage, world->now + trouble->for_s);
    troubles->played[TROUBLE_CLOUD_OUTAGE]++;
    break;
  case TROUBLE_ODD_REQUESTS:
    troubles->odd_until = world->now + trouble->for_s;
    malformed_requests_begin (world);
    break;
  default:
    break;
  }
}

static void
begin (World *world, gpointer data)
{
  g_autofree HrTrouble *trouble = data;
  HrTroubles *troubles = &world->troubles;
  sim_log_time = world->now;
  g_debug ("trouble %d for %.1f s", trouble->kind, trouble->for_s);
  switch (trouble->kind) {
  case TROUBLE_LATE_WRITES:
    turn_on (world, trouble->at_once ? &troubles->lost_answers : &troubles->late_writes, trouble);
    break;
  case TROUBLE_LATE_REPORTS:
    begin_reports (world, trouble);
    break;
  case TROUBLE_LATE_COMMANDS:
    turn_on (world, &troubles->late_commands, trouble);
    break;
  case TROUBLE_MACHINE_DEAF:
  case TROUBLE_MACHINE_MUTE:
  case TROUBLE_MACHINE_HANG:
  case TROUBLE_MACHINE_CUT:
  case TROUBLE_MACHINE_CRASH:
    hit_machines (world, trouble);
    break;
  case TROUBLE_CANCEL_NOW:
    trouble_cancel_now (world, trouble);
    break;
  case TROUBLE_CANCEL_AT_END:
    turn_on (world, &troubles->cancel_at_end, trouble);
    break;
  case TROUBLE_CLOSE_LOOKS:
    turn_on (world, &troubles->close_looks, trouble);
    if (trouble->share <= 0)
      troubles->close_looks.share = LOOK_CANCEL_SHARE;
    break;
  case TROUBLE_NODE_CUT:
  case TROUBLE_NODE_CRASH:
  case TROUBLE_NODE_FREEZE:
  case TROUBLE_STATE_REFUSES:
    hit_nodes (world, trouble);
    break;
  default:
    begin_outside (world, trouble);
    break;
  }
}

/* How long after its end it may still have an effect. */
static double
after_effect (const World *world, const HrTrouble *trouble)
{
  switch (trouble->kind) {
  case TROUBLE_LATE_WRITES:
    return LATE_WRITE_MAX_S;
  case TROUBLE_LATE_COMMANDS:
    return LATE_COMMAND_MAX_S;
  case TROUBLE_LATE_REPORTS:
    return LATE_REPORT_MAX_LEASES * world->lease_s;
  case TROUBLE_NODE_CRASH:
    return trouble->back_s > 0 ? trouble->back_s : BACK_MAX_S;
  default:
    return trouble->hang_s;
  }
}

static void
arm (World *world, gpointer trouble)
{
  g_ptr_array_add (world->troubles.armed, trouble);
}

void
troubles_moment (World *world, HrMoment moment)
{
  GPtrArray *armed = world->troubles.armed;
  for (guint i = armed->len; i > 0 && !world->calm; i--) {
    HrTrouble *trouble = armed->pdata[i - 1];
    if (trouble->on != moment)
      continue;
    g_ptr_array_steal_index_fast (armed, i - 1);
    world->troubles.over_at =
        MAX (world->troubles.over_at, world->now + trouble->for_s + after_effect (world, trouble));
    w_at (world, world->now, begin, trouble);
    w_at (world, world->troubles.over_at, world_calm, NULL);
  }
}

void
troubles_plan (World *world, const HrTrouble *day, guint n)
{
  HrTroubles *troubles = &world->troubles;
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < MAX (day[i].times, 1); k++) {
      double at = day[i].at_s + k * day[i].every_s;
      w_at (world, at, day[i].on ? arm : begin, g_memdup2 (&day[i], sizeof day[i]));
      troubles->over_at =
          MAX (troubles->over_at, at + day[i].for_s + after_effect (world, &day[i]));
    }
  w_at (world, troubles->over_at, world_calm, NULL);
}

static gboolean
machine_troubled (const World *world, const SimMachine *machine)
{
  return !machine->gone &&
         (machine->cut > world->now || machine->hang > world->now ||
          machine->inbound_cut > world->now || machine->outbound_cut > world->now);
}

gboolean
world_troubled (const World *world)
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
    if (machine_troubled (world, world->machines->pdata[i]))
      return TRUE;
  return FALSE;
}

void
troubles_init (World *world, guint32 seed)
{
  world->troubles.rand = g_rand_new_with_seed (seed ^ STREAM);
  world->troubles.kept_next = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
  world->troubles.armed = g_ptr_array_new_with_free_func (g_free);
  world->troubles.kept_all = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
}

void
troubles_free (World *world)
{
  g_rand_free (world->troubles.rand);
  g_ptr_array_unref (world->troubles.kept_next);
  g_ptr_array_unref (world->troubles.kept_all);
  g_ptr_array_unref (world->troubles.armed);
  g_free (world->troubles.leader_process);
}
