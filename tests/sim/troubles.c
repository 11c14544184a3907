/* Planned troubles: each begins at its time, and the stand-ins ask here what it does to them. */
#include "sim/world.h"
#include <string.h>

#define STREAM 0x7f4a7c15u /* sets the stream of troubles apart from the day's own */
#define LATE_WRITE_MIN_S 2.0
#define LATE_WRITE_MAX_S 12.0
#define LATE_COMMAND_MIN_S 2.0
#define LATE_COMMAND_MAX_S 16.0
#define LATE_REPORT_MIN_S 2.0
#define LATE_REPORT_MAX_LEASES 2.5
#define CANCEL_NOW_SPAN_S 0.2
#define CANCEL_NOW_HANGS 8
#define LONG_TO_GO_S 20.0
#define CANCEL_AT_END_SPAN_S 0.6
#define LOOK_SPAN_S 0.03
#define LOOK_LATER_S 0.5
#define LOOK_CANCEL_SHARE 0.1
#define FAST_BOOT_S 2.0
#define BACK_MIN_S 3.0
#define BACK_MAX_S 7.0
#define KEPT_MAX 500

double
trouble_rand (World *w, double lo, double hi)
{
  return g_rand_double_range (w->troubles.rand, lo, hi);
}

static gboolean
is_on (const World *w, const HrSwitch *s)
{
  return s->until > w->now;
}

/* Drawn only while it is on. */
static gboolean
strikes (World *w, const HrSwitch *s)
{
  return is_on (w, s) && trouble_rand (w, 0, 1) < s->share;
}

/* ---- requests on their way ---- */

static gboolean
is_report (const Req *r)
{
  return r->node < 0 && r->machine >= 0 && strcmp (r->path, "/hello") == 0;
}

static void
carry_out_late (World *w, Req *r, double t)
{
  r->answer_lost = TRUE;
  r->refs++;
  req_stray (w, r, t);
}

static gboolean
take_write (World *w, Req *r, double t)
{
  HrTroubles *x = &w->troubles;
  if (strikes (w, &x->lost_answers)) {
    r->answer_lost = TRUE;
    x->played[TROUBLE_LATE_WRITES]++;
    return FALSE;
  }
  if (!strikes (w, &x->late_writes))
    return FALSE;
  carry_out_late (w, r, t + trouble_rand (w, LATE_WRITE_MIN_S, LATE_WRITE_MAX_S));
  x->played[TROUBLE_LATE_WRITES]++;
  return TRUE;
}

static gboolean
take_command (World *w, Req *r, double t)
{
  if (!strikes (w, &w->troubles.late_commands))
    return FALSE;
  carry_out_late (w, r, t + trouble_rand (w, LATE_COMMAND_MIN_S, LATE_COMMAND_MAX_S));
  w->troubles.played[TROUBLE_LATE_COMMANDS]++;
  return TRUE;
}

static void
copy_report (World *w, const Req *r)
{
  HrTroubles *x = &w->troubles;
  if (strikes (w, &x->late_reports)) {
    double late = trouble_rand (w, LATE_REPORT_MIN_S, LATE_REPORT_MAX_LEASES * w->lease_s);
    req_stray (w, req_copy (r, r->to), w->now + late);
    x->played[TROUBLE_LATE_REPORTS]++;
  }
  if (strikes (w, &x->reports_for_next) && x->kept_next->len < KEPT_MAX)
    g_ptr_array_add (x->kept_next, req_copy (r, r->to));
  if (strikes (w, &x->reports_to_all) && x->kept_all->len < KEPT_MAX)
    g_ptr_array_add (x->kept_all, req_copy (r, r->to));
}

gboolean
troubles_take (World *w, Req *r, double t)
{
  if (r->node < 0 && r->machine >= 0) {
    const SMachine *m = w->machines->pdata[r->machine];
    if (m->mute > w->now)
      return TRUE;
    if (is_report (r))
      copy_report (w, r);
    return FALSE;
  }
  if (r->node >= 0 && r->target == HR_TO_STORE && strcmp (r->path, "/commit") == 0)
    return take_write (w, r, t);
  if (r->node >= 0 && r->target == HR_TO_WORKER)
    return take_command (w, r, t);
  return FALSE;
}

double
troubles_delay (World *w, const Req *r)
{
  const HrTroubles *x = &w->troubles;
  if (r->node < 0 || r->target != HR_TO_STORE || x->state_slow_until <= w->now)
    return 0;
  return x->state_slow_s * trouble_rand (w, 0.3, 1.6);
}

double
troubles_link_delay (World *w)
{
  const HrTroubles *x = &w->troubles;
  return x->links_slow_until > w->now ? x->links_slow_s * trouble_rand (w, 0.5, 1.5) : 0;
}

static gboolean
inside (const World *w, int node)
{
  return w->troubles.zone_nodes >> node & 1;
}

double
troubles_zone_cut (World *w, const Req *r, const SMachine *m)
{
  const HrTroubles *x = &w->troubles;
  int node = r->node >= 0 ? r->node : r->to;
  if (x->zone_cut_until <= w->now)
    return 0;
  gboolean parted;
  if (m)
    parted = (m->zone == x->zone_cut) != inside (w, node);
  else /* users, the cloud and the state service are in no zone */
    parted = inside (w, node);
  return parted ? x->zone_cut_until : 0;
}

double
troubles_boots (World *w, double at)
{
  if (w->troubles.fast_boot_until <= w->now)
    return at;
  w->troubles.played[TROUBLE_FAST_BOOT]++;
  return w->now + trouble_rand (w, 0.3, FAST_BOOT_S);
}

/* ---- copies of reports for a new leader ---- */

static void
let_go (World *w, Req *copy, int node, double within)
{
  req_stray (w, req_copy (copy, node), w->now + trouble_rand (w, 0, within));
  w->troubles.played[TROUBLE_LATE_REPORTS]++;
}

void
troubles_map (World *w, json_t *map)
{
  HrTroubles *x = &w->troubles;
  const char *process = json_string_value (json_object_get (map, "i"));
  if (g_strcmp0 (process, x->leader_process) == 0)
    return;
  g_free (x->leader_process);
  x->leader_process = g_strdup (process);
  x->leader_baton = json_integer_value (json_object_get (map, "b"));
  x->leaders++;
  for (guint i = 0; i < x->kept_all->len; i++)
    for (int node = 0; node < w->n; node++)
      let_go (w, x->kept_all->pdata[i], node, 0.1);
  g_ptr_array_set_size (x->kept_all, 0);
}

void
troubles_reply (World *w, int node, const char *answer)
{
  HrTroubles *x = &w->troubles;
  if (x->leaders == x->leaders_acted || !x->kept_next->len)
    return;
  json_t *o = json_loads (answer, 0, NULL);
  gboolean acted = (guint64)json_integer_value (json_object_get (o, "baton")) >= x->leader_baton;
  json_decref (o);
  if (!acted)
    return;
  x->leaders_acted = x->leaders;
  for (guint i = 0; i < x->kept_next->len; i++)
    let_go (w, x->kept_next->pdata[i], node, 0.5);
  g_ptr_array_set_size (x->kept_next, 0);
}

/* ---- users ---- */

typedef enum { ASK_POLL, ASK_SUBMIT, ASK_CANCEL } AskKind;
typedef struct {
  SJob *job;
  AskKind kind;
  int node;
} PlannedAsk;

static void
planned_ask (World *w, gpointer p)
{
  PlannedAsk *a = p;
  if (a->kind == ASK_POLL)
    user_poll_at (w, a->job, a->node);
  else if (a->kind == ASK_SUBMIT)
    user_submit_at (w, a->job, a->node);
  else
    user_cancel_at (w, a->job, a->node);
  g_free (a);
}

static int
any_node (World *w)
{
  return g_rand_int_range (w->troubles.rand, 0, w->n);
}

static void
ask_after (World *w, SJob *j, AskKind kind, int node, double after)
{
  PlannedAsk *a = g_new (PlannedAsk, 1);
  *a = (PlannedAsk){j, kind, node};
  w_at (w, w->now + after, planned_ask, a);
}

static void
look_closely (World *w, SJob *j)
{
  for (int node = 0; node < w->n; node++) {
    for (guint i = 0; i < 3; i++)
      ask_after (w, j, ASK_POLL, node, trouble_rand (w, 0, LOOK_SPAN_S));
    ask_after (w, j, ASK_POLL, node, trouble_rand (w, LOOK_SPAN_S, LOOK_LATER_S));
  }
  ask_after (w, j, ASK_SUBMIT, any_node (w), trouble_rand (w, 0, LOOK_SPAN_S));
  w->troubles.played[TROUBLE_CLOSE_LOOKS]++;
}

void
troubles_told (World *w, SJob *j, gboolean accepted)
{
  const HrSwitch *looks = &w->troubles.close_looks;
  if (accepted && w->troubles.odd_until > w->now)
    odd_repeat (w, j);
  if (!is_on (w, looks))
    return;
  look_closely (w, j);
  if (accepted && trouble_rand (w, 0, 1) < looks->share)
    ask_after (w, j, ASK_CANCEL, any_node (w), trouble_rand (w, 0, LOOK_SPAN_S));
}

void
troubles_job_ended (World *w, SJob *j)
{
  if (is_on (w, &w->troubles.close_looks))
    look_closely (w, j);
  if (j->asked_cancel || !strikes (w, &w->troubles.cancel_at_end))
    return;
  double after = trouble_rand (w, -CANCEL_AT_END_SPAN_S, CANCEL_AT_END_SPAN_S);
  ask_after (w, j, ASK_CANCEL, any_node (w), MAX (0, after));
  w->troubles.played[TROUBLE_CANCEL_AT_END]++;
}

/* ---- whom it hits ---- */

static void
shuffle (World *w, GPtrArray *list)
{
  for (guint i = list->len; i > 1; i--) {
    guint k = g_rand_int_range (w->troubles.rand, 0, i);
    gpointer t = list->pdata[k];
    list->pdata[k] = list->pdata[i - 1];
    list->pdata[i - 1] = t;
  }
}

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
  shuffle (w, up);
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
start_node (World *w, gpointer p)
{
  node_start (w, GPOINTER_TO_INT (p));
}

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
    w_at (w, w->now + back, start_node, GINT_TO_POINTER (i));
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
    if (inside (w, i)) {
      Node *n = &w->nodes[i];
      n->cut_store = n->cut_peers = n->cut_users = x->zone_cut_until;
      n->alone_at = w->now;
      n->hold = t->hold;
    }
  x->played[TROUBLE_ZONE_CUT]++;
}

/* It runs, and neither ends soon nor was called off. */
static gboolean
long_to_go (World *w, const STask *t)
{
  const SJob *j = w->jobs->pdata[t->job];
  return t->state == S_RUN && j->accepted && !j->asked_cancel &&
         (j->shape == HR_SERVICE || j->run - t->base - (w->now - t->since) > LONG_TO_GO_S);
}

static void
cancel_now (World *w, const HrTrouble *t)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  g_autoptr (GPtrArray) machines = g_ptr_array_new ();
  for (guint i = 0; w->jobs && i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      const STask *task = &g_array_index (m->tasks, STask, k);
      SJob *j = w->jobs->pdata[task->job];
      if (long_to_go (w, task) && !g_ptr_array_find (jobs, j, NULL))
        g_ptr_array_add (jobs, j);
    }
  }
  shuffle (w, jobs);
  g_ptr_array_set_size (jobs, MIN (jobs->len, t->count));
  for (guint i = 0; i < jobs->len; i++)
    ask_after (w, jobs->pdata[i], ASK_CANCEL, any_node (w), trouble_rand (w, 0, CANCEL_NOW_SPAN_S));
  w->troubles.played[TROUBLE_CANCEL_NOW] += jobs->len;
  if (t->hang_s <= 0)
    return;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    for (guint k = 0; !m->gone && k < m->tasks->len; k++) {
      const STask *task = &g_array_index (m->tasks, STask, k);
      if (task->on && g_ptr_array_find (jobs, w->jobs->pdata[task->job], NULL)) {
        g_ptr_array_add (machines, m);
        break;
      }
    }
  }
  shuffle (w, machines);
  for (guint i = 0; i < MIN (machines->len, CANCEL_NOW_HANGS); i++)
    ((SMachine *)machines->pdata[i])->hang = w->now + t->hang_s;
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
    cancel_now (w, t);
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

void
troubles_plan (World *w, const HrTrouble *day, guint n)
{
  HrTroubles *x = &w->troubles;
  for (guint i = 0; i < n; i++)
    for (guint k = 0; k < MAX (day[i].times, 1); k++) {
      double at = day[i].at_s + k * day[i].every_s;
      w_at (w, at, begin, g_memdup2 (&day[i], sizeof day[i]));
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
  w->troubles.kept_all = g_ptr_array_new_with_free_func ((GDestroyNotify)req_unref);
}

void
troubles_free (World *w)
{
  g_rand_free (w->troubles.rand);
  g_ptr_array_unref (w->troubles.kept_next);
  g_ptr_array_unref (w->troubles.kept_all);
  g_free (w->troubles.leader_process);
}
