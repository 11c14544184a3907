/* Planned troubles: each begins at its time, and hits whom it names. */
#include "sim/trouble_parts.h"

#define STREAM 0x7f4a7c15u /* sets the stream of troubles apart from the day's own */
#define LOOK_CANCEL_SHARE 0.1
#define BACK_MIN_S 3.0
#define BACK_MAX_S 7.0

double
trouble_rand (World *w, double lo, double hi)
{
  return g_rand_double_range (w->troubles.rand, lo, hi);
}

gboolean
trouble_on (const World *w, const HrSwitch *s)
{
  return s->until > w->now;
}

/* Drawn only while it is on. */
gboolean
trouble_strikes (World *w, const HrSwitch *s)
{
  return trouble_on (w, s) && trouble_rand (w, 0, 1) < s->share;
}

gboolean
trouble_inside (const World *w, int node)
{
  return w->troubles.zone_nodes >> node & 1;
}

int
trouble_any_node (World *w)
{
  return g_rand_int_range (w->troubles.rand, 0, w->n);
}

void
trouble_shuffle (World *w, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--) {
    guint k = g_rand_int_range (w->troubles.rand, 0, i);
    gpointer t = list->pdata[k];
    list->pdata[k] = list->pdata[i - 1];
    list->pdata[i - 1] = t;
  }
}

/* ---- whom it hits ---- */

/* Machines that are up, those with tasks first. */
static GPtrArray *
pick_machines (World *w, const HrTrouble *t)
{
  g_autoptr (GPtrArray) up = g_ptr_array_new ();
  GPtrArray *picked = g_ptr_array_new ();
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    if (m->up && !m->gone && (!t->zone || m->zone + 1 == t->zone))
      g_ptr_array_add (up, m);
  }
  trouble_shuffle (w, up);
  guint n = t->count ? t->count : t->share > 0 ? (guint)(t->share * up->len + 0.5) : up->len;
  for (int busy = 1; busy >= 0; busy--)
    for (guint i = 0; i < up->len && picked->len < n; i++) {
      SMachine *m = up->pdata[i];
      if ((m->tasks->len > 0) == busy)
        g_ptr_array_add (picked, m);
    }
  w->troubles.played[t->kind] += picked->len;
  return picked;
}

static gboolean
is_hit (World *w, HrWho who, int node)
{
  int leader = MAX (0, store_owner (w));
  switch (who) {
  case WHO_LEADER:
    return node == leader;
  case WHO_OTHER:
    return node == (leader + 1) % w->n;
  case WHO_OTHERS:
    return node != leader;
  case WHO_ALL:
    return TRUE;
  }
  return FALSE;
}

/* ---- beginnings ---- */

static void
hit_node (World *w, const HrTrouble *t, int i, gboolean first)
{
  Node *n = &w->nodes[i];
  double until = w->now + t->for_s;
  w->troubles.played[t->kind]++;
  if (t->kind == TROUBLE_NODE_CRASH) {
    double back = first && t->first_back_s > 0 ? t->first_back_s
                  : t->back_s > 0              ? t->back_s
                                               : trouble_rand (w, BACK_MIN_S, BACK_MAX_S);
    node_kill (w, i);
    node_start_at (w, i, w->now + back);
  } else if (t->kind == TROUBLE_NODE_FREEZE)
    node_freeze (w, i, t->for_s);
  else if (t->kind == TROUBLE_STATE_REFUSES)
    n->refused = until;
  else {
    n->hold = t->hold;
    if (t->from_state)
      n->cut_store = until;
    if (t->from_peers)
      n->cut_peers = until;
    if (t->from_workers)
      n->cut_workers = until;
    if (t->from_users)
      n->cut_users = until;
    if (t->from_state && t->from_peers)
      n->alone_at = w->now;
  }
}

static void
hit_nodes (World *w, const HrTrouble *t)
{
  gboolean hit[MAX_NODES];
  for (int i = 0; i < w->n; i++)
    hit[i] = is_hit (w, t->who, i);
  gboolean first = TRUE;
  for (int i = 0; i < w->n; i++)
    if (hit[i]) {
      hit_node (w, t, i, first);
      first = FALSE;
    }
}

static void
hit_machines (World *w, const HrTrouble *t)
{
  g_autoptr (GPtrArray) list = pick_machines (w, t);
  double until = w->now + t->for_s;
  for (guint i = 0; i < list->len; i++) {
    SMachine *m = list->pdata[i];
    if (t->kind == TROUBLE_MACHINE_DEAF)
      m->deaf = until;
    else if (t->kind == TROUBLE_MACHINE_MUTE)
      m->mute = until;
    else if (t->kind == TROUBLE_MACHINE_HANG)
      m->hang = until;
    else if (t->kind == TROUBLE_MACHINE_CRASH)
      machine_end (w, m);
    else {
      m->cut = until;
      m->hold = t->hold;
    }
  }
}

static void
cut_zone (World *w, const HrTrouble *t)
{
  HrTroubles *x = &w->troubles;
  x->zone_cut = t->zone ? t->zone - 1 : 0;
  x->zone_cut_until = w->now + t->for_s;
  x->zone_hold = t->hold;
  x->zone_nodes = 0;
  for (int i = 0; i < w->n; i++)
    if (is_hit (w, t->who, i))
      x->zone_nodes |= 1u << i;
  for (int i = 0; i < w->n; i++)
    if (trouble_inside (w, i)) {
      Node *n = &w->nodes[i];
      n->cut_store = n->cut_peers = n->cut_users = x->zone_cut_until;
      n->alone_at = w->now;
      n->hold = t->hold;
    }
  x->played[TROUBLE_ZONE_CUT]++;
}

static void
turn_on (World *w, HrSwitch *s, const HrTrouble *t)
{
  *s = (HrSwitch){w->now + t->for_s, t->share};
}

static void
begin_reports (World *w, const HrTrouble *t)
{
  HrTroubles *x = &w->troubles;
  if (t->for_next) {
    x->leaders_acted = x->leaders;
    turn_on (w, &x->reports_for_next, t);
  } else
    turn_on (w, t->to_all ? &x->reports_to_all : &x->late_reports, t);
}

static void
begin (World *w, gpointer p)
{
  g_autofree HrTrouble *t = p;
  HrTroubles *x = &w->troubles;
  sim_log_time = w->now;
  g_debug ("trouble %d for %.1f s", t->kind, t->for_s);
  switch (t->kind) {
  case TROUBLE_LATE_WRITES:
    turn_on (w, t->at_once ? &x->lost_answers : &x->late_writes, t);
    break;
  case TROUBLE_LATE_REPORTS:
    begin_reports (w, t);
    break;
  case TROUBLE_LATE_COMMANDS:
    turn_on (w, &x->late_commands, t);
    break;
  case TROUBLE_MACHINE_DEAF:
  case TROUBLE_MACHINE_MUTE:
  case TROUBLE_MACHINE_HANG:
  case TROUBLE_MACHINE_CUT:
  case TROUBLE_MACHINE_CRASH:
    hit_machines (w, t);
    break;
  case TROUBLE_CANCEL_NOW:
    trouble_cancel_now (w, t);
    break;
  case TROUBLE_CANCEL_AT_END:
    turn_on (w, &x->cancel_at_end, t);
    break;
  case TROUBLE_CLOSE_LOOKS:
    turn_on (w, &x->close_looks, t);
    if (t->share <= 0)
      x->close_looks.share = LOOK_CANCEL_SHARE;
    break;
  case TROUBLE_NODE_CUT:
  case TROUBLE_NODE_CRASH:
  case TROUBLE_NODE_FREEZE:
  case TROUBLE_STATE_REFUSES:
    hit_nodes (w, t);
    break;
  case TROUBLE_STATE_OUTAGE:
    w->outage = MAX (w->outage, w->now + t->for_s);
    x->played[TROUBLE_STATE_OUTAGE]++;
    break;
  case TROUBLE_STATE_SLOW:
    x->state_slow_until = w->now + t->for_s;
    x->state_slow_s = t->delay_s;
    x->played[TROUBLE_STATE_SLOW]++;
    break;
  case TROUBLE_FAST_BOOT:
    x->fast_boot_until = w->now + t->for_s;
    break;
  case TROUBLE_ZONE_CUT:
    cut_zone (w, t);
    break;
  case TROUBLE_SLOW_LINKS:
    x->links_slow_until = w->now + t->for_s;
    x->links_slow_s = t->delay_s;
    x->played[TROUBLE_SLOW_LINKS]++;
    break;
  case TROUBLE_CLOUD_OUTAGE:
    w->cloud_outage = MAX (w->cloud_outage, w->now + t->for_s);
    x->played[TROUBLE_CLOUD_OUTAGE]++;
    break;
  case TROUBLE_ODD_REQUESTS:
    x->odd_until = w->now + t->for_s;
    odd_begin (w);
    break;
  case TROUBLE_KINDS:
    break;
  }
}

/* How long after its end it may still have an effect. */
static double
after_effect (const World *w, const HrTrouble *t)
{
  switch (t->kind) {
  case TROUBLE_LATE_WRITES:
    return LATE_WRITE_MAX_S;
  case TROUBLE_LATE_COMMANDS:
    return LATE_COMMAND_MAX_S;
  case TROUBLE_LATE_REPORTS:
    return LATE_REPORT_MAX_LEASES * w->lease_s;
  case TROUBLE_NODE_CRASH:
    return t->back_s > 0 ? t->back_s : BACK_MAX_S;
  default:
    return t->hang_s;
  }
}

static void
arm (World *w, gpointer trouble)
{
  g_ptr_array_add (w->troubles.armed, trouble);
}

void
troubles_moment (World *w, HrMoment moment)
{
  GPtrArray *armed = w->troubles.armed;
  for (guint i = armed->len; i > 0 && !w->calm; i--) {
    HrTrouble *t = armed->pdata[i - 1];
    if (t->on != moment)
      continue;
    g_ptr_array_steal_index_fast (armed, i - 1);
    w->troubles.over_at = MAX (w->troubles.over_at, w->now + t->for_s + after_effect (w, t));
    w_at (w, w->now, begin, t);
    w_at (w, w->troubles.over_at, world_calm, NULL);
  }
}

void
troubles_plan (World *w, const HrTrouble *day, guint n)
{
  HrTroubles *x = &w->troubles;
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < MAX (day[i].times, 1); k++) {
      double at = day[i].at_s + k * day[i].every_s;
      w_at (w, at, day[i].on ? arm : begin, g_memdup2 (&day[i], sizeof day[i]));
      x->over_at = MAX (x->over_at, at + day[i].for_s + after_effect (w, &day[i]));
    }
  w_at (w, x->over_at, world_calm, NULL);
}

static gboolean
machine_troubled (const World *w, const SMachine *m)
{
  return !m->gone && (m->cut > w->now || m->hang > w->now || m->deaf > w->now || m->mute > w->now);
}

gboolean
world_troubled (const World *w)
{
  if (!w->calm || w->stray_until > w->now || w->outage > w->now || w->cloud_outage > w->now ||
      w->troubles.zone_cut_until > w->now)
    return TRUE;
  for (int i = 0; i < w->n; i++) {
    const Node *n = &w->nodes[i];
    double cut = MAX (MAX (n->cut_workers, n->cut_store), MAX (n->cut_peers, n->cut_users));
    if (!n->up || MAX (cut, MAX (n->refused, n->frozen)) > w->now)
      return TRUE;
  }
  for (guint i = 0; i < w->machines->len; i++)
    if (machine_troubled (w, w->machines->pdata[i]))
      return TRUE;
  return FALSE;
}

void
troubles_init (World *w, guint32 seed)
{
  w->troubles.rand = g_rand_new_with_seed (seed ^ STREAM);
  w->troubles.kept_next = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
  w->troubles.armed = g_ptr_array_new_with_free_func (g_free);
  w->troubles.kept_all = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
}

void
troubles_free (World *w)
{
  g_rand_free (w->troubles.rand);
  g_ptr_array_unref (w->troubles.kept_next);
  g_ptr_array_unref (w->troubles.kept_all);
  g_ptr_array_unref (w->troubles.armed);
  g_free (w->troubles.leader_process);
}
