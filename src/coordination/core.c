#include "coordination/scheduling/quotas.h"
#include "coordination/metrics/metrics.h"
#include "protocol/json_util.h"
#include <gio/gio.h>
#include <string.h>

/* A pass is followed by so many times its own duration without one; and what of a duration counts,
 * in seconds: a process that stood still says nothing about its passes. */
#define PASS_REST 4.0
#define PASS_MOST_S 2.0

typedef struct {
  HrResultCallback fn;
  gpointer data;
  double sent;
} Pending;

static HrEffect *
effect (HrCore *c, HrEffectKind kind)
{
  HrEffect *e = g_new0 (HrEffect, 1);
  e->kind = kind;
  g_ptr_array_add (c->effects, e);
  return e;
}

void
hr_core_call (HrCore *c, HrTarget target, const char *addr, HrMethod method, char *path, char *body,
              double timeout, HrResultCallback fn, gpointer data)
{
  HrEffect *e = effect (c, HR_EFFECT_CALL);
  e->id = ++c->calls.last_id;
  e->target = target;
  e->addr = g_strdup (addr);
  e->method = method;
  e->path = path;
  e->body = body;
  e->timeout_s = timeout;
  Pending *p = g_new0 (Pending, 1);
  p->fn = fn;
  p->data = data;
  p->sent = c->now;
  g_hash_table_insert (c->calls.pending, g_memdup2 (&e->id, sizeof e->id), p);
}

void
hr_core_reply (HrCore *c, guint64 id, int status, json_t *body, int retry_after)
{
  HrEffect *e = effect (c, HR_EFFECT_REPLY);
  e->id = id;
  e->status = status;
  e->retry_after = retry_after;
  e->body = hr_json_take_text (body);
}

void
hr_core_reply_text (HrCore *c, guint64 id, char *text)
{
  HrEffect *e = effect (c, HR_EFFECT_REPLY);
  e->id = id;
  e->status = 200;
  e->plain = TRUE;
  e->body = text;
}

void
hr_core_refuse (HrCore *c, guint64 id, int status, int retry_after, const char *reason)
{
  /* A parser's message may quote bytes of the request that are no UTF-8. */
  g_autofree char *text = g_utf8_make_valid (reason, -1);
  hr_core_reply (c, id, status, json_pack ("{ss}", "error", text), retry_after);
}

char *
hr_core_new_tag (HrCore *c)
{
  return g_strdup_printf ("%s.%" G_GUINT64_FORMAT, c->incarnation, ++c->last_tag);
}

HrJob *
hr_job_find (HrCore *c, const char *id)
{
  guint32 i = hr_intern_find (&c->store.tables.job_ids, id);
  HrJob *j = i == HR_NONE ? NULL : c->store.tables.jobs->pdata[i];
  return j && j->is_known ? j : NULL;
}

gboolean
hr_job_unreadable (HrCore *c, const char *id)
{
  guint32 i = hr_intern_find (&c->store.tables.job_ids, id);
  HrJob *j = i == HR_NONE ? NULL : c->store.tables.jobs->pdata[i];
  return j && j->record.main_unreadable && !(j->is_known && j->state != HR_JOB_QUEUED);
}

HrJob *
hr_job_get (HrCore *c, const char *id)
{
  guint32 i = hr_intern (&c->store.tables.job_ids, id);
  if (i == c->store.tables.jobs->len) {
    HrJob *j = g_new0 (HrJob, 1);
    j->index = i;
    j->id = hr_intern_name (&c->store.tables.job_ids, i);
    g_ptr_array_add (c->store.tables.jobs, j);
  }
  return c->store.tables.jobs->pdata[i];
}

HrMachine *
hr_machine_find (HrCore *c, const char *name)
{
  guint32 i = hr_intern_find (&c->store.tables.machine_ids, name);
  return i == HR_NONE || i >= c->store.tables.machines->len ? NULL
                                                            : c->store.tables.machines->pdata[i];
}

HrMachine *
hr_machine_get (HrCore *c, const char *name)
{
  guint32 i = hr_intern (&c->store.tables.machine_ids, name);
  /* Names may have been interned by reading records, ahead of the rows. */
  while (c->store.tables.machines->len <= i) {
    HrMachine *m = g_new0 (HrMachine, 1);
    m->index = c->store.tables.machines->len;
    m->name = hr_intern_name (&c->store.tables.machine_ids, m->index);
    m->type = m->zone = HR_NONE;
    m->state = HR_MACHINE_GONE;
    m->last_failed_job = HR_NONE;
    m->tasks = g_array_new (FALSE, TRUE, sizeof (HrTaskRef));
    m->agent.direct_launches = g_array_new (FALSE, TRUE, sizeof (HrDirectLaunch));
    m->plan.list = g_array_new (FALSE, TRUE, sizeof (HrTaskRef));
    g_ptr_array_add (c->store.tables.machines, m);
  }
  return c->store.tables.machines->pdata[i];
}

HrClassStats *
hr_class_stats (HrCore *c, guint32 job_class)
{
  while (c->scheduling.class_stats->len <= job_class) {
    HrClassStats s = {.run_time_correction = 1};
    g_array_append_val (c->scheduling.class_stats, s);
  }
  return &g_array_index (c->scheduling.class_stats, HrClassStats, job_class);
}

const HrTeam *
hr_team (const HrCore *c, guint32 team)
{
  for (guint i = 0; i < c->settings->teams->len; i++)
    if (g_array_index (c->settings->teams, HrTeam, i).team == team)
      return &g_array_index (c->settings->teams, HrTeam, i);
  return NULL;
}

const HrMachineType *
hr_machine_type_find (const HrCore *c, guint32 name)
{
  for (guint i = 0; c->scaling.machine_types && i < c->scaling.machine_types->len; i++)
    if (g_array_index (c->scaling.machine_types, HrMachineType, i).type == name)
      return &g_array_index (c->scaling.machine_types, HrMachineType, i);
  return NULL;
}

const HrMachineType *
hr_machine_type_of (const HrCore *c, const HrMachine *m)
{
  return hr_machine_type_find (c, m->type);
}

HrCore *
hr_core_new (const HrSettings *set, const HrPolicy *pol, HrNames *names, const char *incarnation,
             guint32 seed)
{
  HrCore *c = g_new0 (HrCore, 1);
  c->settings = set;
  c->policy = *pol;
  c->names = names;
  c->incarnation = g_strdup (incarnation);
  c->random = g_rand_new_with_seed (seed);
  c->calls.pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  c->store.replica.waiters = g_array_new (FALSE, TRUE, sizeof (HrReadWaiter));
  c->store.replica.waiters_in_flight = g_array_new (FALSE, TRUE, sizeof (HrReadWaiter));
  c->membership.peers = g_array_new (FALSE, TRUE, sizeof (HrPeer));
  c->cancellations.entries = g_array_new (FALSE, FALSE, sizeof (HrCancellation));
  hr_intern_init (&c->store.tables.job_ids);
  hr_intern_init (&c->store.tables.machine_ids);
  c->store.tables.jobs = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_job_free);
  c->store.tables.machines = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_machine_free);
  c->store.tables.open_jobs = g_array_new (FALSE, TRUE, sizeof (guint32));
  c->scheduling.class_stats = g_array_new (FALSE, TRUE, sizeof (HrClassStats));
  c->store.writer.dirty_pages = g_array_new (FALSE, TRUE, sizeof (HrDirtyPage));
  c->store.garbage.pages = g_array_new (FALSE, TRUE, sizeof (HrObsoletePage));
  c->store.splitter.queue = g_array_new (FALSE, TRUE, sizeof (guint32));
  c->dependencies.to_tombstone = g_array_new (FALSE, TRUE, sizeof (guint32));
  c->scaling.fleet = g_ptr_array_new ();
  c->scaling.capacity_refusals = g_array_new (FALSE, TRUE, sizeof (HrCapacityRefusal));
  c->scheduling.team_usage = g_array_new (FALSE, TRUE, sizeof (HrTeamUsage));
  c->scheduling.waiting_jobs = g_ptr_array_new ();
  c->scaling.demand = g_array_new (FALSE, TRUE, sizeof (HrDemand));
  for (int i = 0; i < HR_TRANSACTION_KINDS; i++)
    g_queue_init (&c->store.transactions.queues[i]);
  hr_core_set_supported_format (c, HR_FORMAT);
  g_queue_init (&c->scaling.requests_to_retry);
  c->scaling.allowance = (HrTokenBucket){set->cloud_rps, set->cloud_rps * 0.8, set->cloud_rps, 0};
  return c;
}

static void
txn_free (gpointer p)
{
  HrTransaction *t = p;
  json_decref (t->conditions);
  json_decref (t->writes);
  g_free (t);
}

void
hr_core_free (HrCore *c)
{
  hr_instance_requests_clear (c);
  for (int i = 0; i < HR_TRANSACTION_KINDS; i++)
    g_queue_clear_full (&c->store.transactions.queues[i], txn_free);
  g_rand_free (c->random);
  g_hash_table_unref (c->calls.pending);
  g_array_unref (c->store.replica.waiters);
  g_array_unref (c->store.replica.waiters_in_flight);
  g_array_unref (c->membership.peers);
  g_array_unref (c->cancellations.entries);
  g_ptr_array_unref (c->store.tables.jobs);
  g_ptr_array_unref (c->store.tables.machines);
  hr_intern_clear (&c->store.tables.job_ids);
  hr_intern_clear (&c->store.tables.machine_ids);
  g_array_unref (c->store.tables.open_jobs);
  g_array_unref (c->scheduling.class_stats);
  g_array_unref (c->scaling.capacity_refusals);
  g_array_unref (c->store.writer.dirty_pages);
  g_array_unref (c->store.garbage.pages);
  g_array_unref (c->store.splitter.queue);
  g_array_unref (c->dependencies.to_tombstone);
  g_array_unref (c->scaling.demand);
  g_array_unref (c->scheduling.team_usage);
  g_ptr_array_unref (c->scheduling.waiting_jobs);
  g_ptr_array_unref (c->scaling.fleet);
  g_clear_pointer (&c->scaling.machine_types, g_array_unref);
  g_free (c->store.replica.list_cursor);
  g_free (c->scaling.list_cursor);
  g_free (c->leadership.leader_label);
  g_free (c->leadership.leader_incarnation);
  g_free (c->leadership.lock_label);
  g_free (c->leadership.lock_incarnation);
  g_free (c->incarnation);
  g_free (c);
}

static void
result (HrCore *c, HrCommand *cmd)
{
  gpointer key, val;
  if (!g_hash_table_steal_extended (c->calls.pending, &cmd->id, &key, &val))
    return;
  g_autofree guint64 *id = key;
  g_autofree Pending *p = val;
  json_t *body = NULL;
  int status = cmd->status;
  if (cmd->body && g_bytes_get_size (cmd->body)) {
    gsize len;
    const char *data = g_bytes_get_data (cmd->body, &len);
    g_autofree char *why = NULL;
    body = hr_json_parse (data, len, &why);
    /* A success whose body can't be read is no answer: it may have been carried out. */
    if (!body && status == 200) {
      g_info ("an answer could not be read: %s", why);
      status = 0;
    }
  }
  p->fn (c, status, body, p->sent, p->data);
  json_decref (body);
}

static void
tick (HrCore *c)
{
  hr_leadership_tick (c);
  hr_agents_tick (c);
  hr_fleet_tick (c);
  hr_garbage_tick (c);
  hr_record_format_tick (c);
  hr_record_split_scan (c);
  hr_dependencies_tick (c);
  hr_counters_tick (c);
}

/* Seconds from one planning pass to the next: more with the fleet, and so that passes leave most of
 * the processor to reports and readings. A leader that plans for seconds on end answers its workers
 * too late; they report again and again, and its readings come too late for it to go on leading. */
static double
plan_gap (const HrCore *c)
{
  double by_size = c->policy.plan_gap_s * (1 + c->scaling.fleet->len / 200.0);
  return MAX (by_size, c->scheduling.pass_duration_s * PASS_REST);
}

void
hr_core_step_took (HrCore *c, double seconds)
{
  if (c->scheduling.planned_in_this_step)
    c->scheduling.pass_duration_s = MIN (seconds, PASS_MOST_S);
}

void
hr_core_step (HrCore *c, double now, double wall, GPtrArray *commands, GPtrArray *effects)
{
  if (!c->started_at)
    c->started_at = now;
  c->now = now;
  c->wall_time = wall;
  c->effects = effects;
  for (guint i = 0; i < commands->len; i++) {
    HrCommand *cmd = commands->pdata[i];
    switch (cmd->kind) {
    case HR_COMMAND_REQUEST:
      if (g_strcmp0 (cmd->path, "/hello") == 0)
        hr_heartbeat_received (c, cmd);
      else if (g_strcmp0 (cmd->path, HR_METRICS_PATH) == 0 && cmd->method == HR_GET)
        hr_core_reply_text (c, cmd->id, hr_metrics_text (c));
      else
        hr_user_request_received (c, cmd);
      break;
    case HR_COMMAND_RESULT:
      result (c, cmd);
      break;
    case HR_COMMAND_PEER_STATUS:
      hr_membership_status_received (c, cmd->peer_status);
      break;
    case HR_COMMAND_TICK:
      tick (c);
      break;
    }
  }
  c->scheduling.planned_in_this_step = FALSE;
  if (c->leadership.is_leader && c->scheduling.plan_is_stale &&
      now - c->scheduling.planned_at >= plan_gap (c)) {
    c->scheduling.plan_is_stale = FALSE;
    c->scheduling.planned_in_this_step = TRUE;
    c->scheduling.planned_at = now;
    hr_quotas_pass (c);
    hr_guarantees_mark_jobs (c);
    hr_planner_pass (c);
    hr_dispatch (c);
  }
  hr_replica_tick (c);
  hr_record_writer_tick (c);
  hr_direct_orders_send (c);
  c->effects = NULL;
}

gboolean
hr_core_policy_check (const HrPolicy *p, GHashTable *vars, GError **error)
{
  const double *lease = g_hash_table_lookup (vars, "lease_s");
  const double *cancel = g_hash_table_lookup (vars, "cancel_s");
  /* An owner that the state service refuses cannot see a cancellation. It goes on
   * answering workers for hold_s, and their leases outlast that. */
  double ends = p->hold_s + *lease * 1.002 + p->lease_margin_s;
  const double *report = g_hash_table_lookup (vars, "report_s");
  const struct {
    gboolean good;
    const char *what, *relation;
    double limit, value;
  } figures[] = {
      {ends < *cancel, "hold_s + lease_s + lease_margin_s", "below cancel_s", *cancel, ends},
      /* Reports come every report_s, give or take a quarter. */
      {p->overdue_s > 1.25 * *report, "overdue_s", "above 1.25 report_s", 1.25 * *report,
       p->overdue_s},
      {p->silent_s >= p->overdue_s, "silent_s", "at least overdue_s", p->overdue_s, p->silent_s},
  };
  for (guint i = 0; i < G_N_ELEMENTS (figures); i++)
    if (!figures[i].good) {
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA,
                   "policy: expected %s %s (%g), not %g", figures[i].what, figures[i].relation,
                   figures[i].limit, figures[i].value);
      return FALSE;
    }
  return TRUE;
}

void
hr_core_policy_vars (const HrSettings *s, GHashTable *vars)
{
  hr_policy_vars_set (vars, "report_s", s ? s->report_s : 2.5);
  hr_policy_vars_set (vars, "lease_s", s ? s->lease_s : 14);
  hr_policy_vars_set (vars, "gang_wait_s", s ? s->gang_wait_s : 30);
  hr_policy_vars_set (vars, "gang_peer_s", s ? s->gang_peer_s : 4);
  hr_policy_vars_set (vars, "cancel_s", s ? s->cancel_s : 40);
  hr_policy_vars_set (vars, "state_rps", s ? s->planned.rps : 100);
  hr_policy_vars_set (vars, "write_rps", s ? s->planned.write_rps : 15);
  hr_policy_vars_set (vars, "value_kb", s ? s->planned.value_kb : 4);
  hr_policy_vars_set (vars, "cloud_rps", s ? s->cloud_rps : 8);
  hr_policy_vars_set (vars, "list_lag_s", s ? s->list_lag_s : 3);
  hr_policy_vars_set (vars, "controllers", s ? s->members->len + 1 : 3);
}
