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
  HrResultCallback callback;
  gpointer data;
  double sent_at;
} PendingCall;

static HrEffect *
effect (HrCore *core, HrEffectKind kind)
{
  HrEffect *added = g_new0 (HrEffect, 1);
  added->kind = kind;
  g_ptr_array_add (core->effects, added);
  return added;
}

void
hr_core_call (HrCore *core, HrTarget target, const char *addr, HrMethod method, char *path,
              char *body, double timeout, HrResultCallback callback, gpointer data)
{
  HrEffect *added = effect (core, HR_EFFECT_CALL);
  added->id = ++core->calls.last_id;
  added->target = target;
  added->addr = g_strdup (addr);
  added->method = method;
  added->path = path;
  added->body = body;
  added->timeout_s = timeout;
  PendingCall *pending = g_new0 (PendingCall, 1);
  pending->callback = callback;
  pending->data = data;
  pending->sent_at = core->now;
  g_hash_table_insert (core->calls.pending, g_memdup2 (&added->id, sizeof added->id), pending);
}

void
hr_core_reply (HrCore *core, guint64 id, int status, json_t *body, int retry_after)
{
  HrEffect *added = effect (core, HR_EFFECT_REPLY);
  added->id = id;
  added->status = status;
  added->retry_after = retry_after;
  added->body = hr_json_take_text (body);
}

void
hr_core_reply_text (HrCore *core, guint64 id, char *text)
{
  HrEffect *added = effect (core, HR_EFFECT_REPLY);
  added->id = id;
  added->status = 200;
  added->plain = TRUE;
  added->body = text;
}

void
hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason)
{
  /* A parser's message may quote bytes of the request that are no UTF-8. */
  g_autofree char *text = g_utf8_make_valid (reason, -1);
  hr_core_reply (core, id, status, json_pack ("{ss}", "error", text), retry_after);
}

char *
hr_core_new_tag (HrCore *core)
{
  return g_strdup_printf ("%s.%" G_GUINT64_FORMAT, core->incarnation, ++core->last_tag);
}

HrJob *
hr_job_find (HrCore *core, const char *id)
{
  guint32 i = hr_intern_find (&core->store.tables.job_ids, id);
  HrJob *job = i == HR_NONE ? NULL : core->store.tables.jobs->pdata[i];
  return job && job->is_known ? job : NULL;
}

gboolean
hr_job_unreadable (HrCore *core, const char *id)
{
  guint32 i = hr_intern_find (&core->store.tables.job_ids, id);
  HrJob *job = i == HR_NONE ? NULL : core->store.tables.jobs->pdata[i];
  return job && job->record.main_unreadable && !(job->is_known && job->state != HR_JOB_QUEUED);
}

HrJob *
hr_job_get (HrCore *core, const char *id)
{
  guint32 i = hr_intern (&core->store.tables.job_ids, id);
  if (i == core->store.tables.jobs->len) {
    HrJob *job = g_new0 (HrJob, 1);
    job->index = i;
    job->id = hr_intern_name (&core->store.tables.job_ids, i);
    g_ptr_array_add (core->store.tables.jobs, job);
  }
  return core->store.tables.jobs->pdata[i];
}

HrMachine *
hr_machine_find (HrCore *core, const char *name)
{
  guint32 i = hr_intern_find (&core->store.tables.machine_ids, name);
  return i == HR_NONE || i >= core->store.tables.machines->len
             ? NULL
             : core->store.tables.machines->pdata[i];
}

HrMachine *
hr_machine_get (HrCore *core, const char *name)
{
  guint32 i = hr_intern (&core->store.tables.machine_ids, name);
  /* Names may have been interned by reading records, ahead of the rows. */
  while (core->store.tables.machines->len <= i) {
    HrMachine *machine = g_new0 (HrMachine, 1);
    machine->index = core->store.tables.machines->len;
    machine->name = hr_intern_name (&core->store.tables.machine_ids, machine->index);
    machine->type = machine->zone = HR_NONE;
    machine->state = HR_MACHINE_GONE;
    machine->last_failed_job = HR_NONE;
    machine->tasks = g_array_new (FALSE, TRUE, sizeof (HrTaskRef));
    machine->agent.direct_launches = g_array_new (FALSE, TRUE, sizeof (HrDirectLaunch));
    machine->plan.list = g_array_new (FALSE, TRUE, sizeof (HrTaskRef));
    g_ptr_array_add (core->store.tables.machines, machine);
  }
  return core->store.tables.machines->pdata[i];
}

HrClassStats *
hr_class_stats (HrCore *core, guint32 job_class)
{
  while (core->scheduling.class_stats->len <= job_class) {
    HrClassStats stats = {.run_time_correction = 1};
    g_array_append_val (core->scheduling.class_stats, stats);
  }
  return &g_array_index (core->scheduling.class_stats, HrClassStats, job_class);
}

const HrTeam *
hr_team (const HrCore *core, guint32 team)
{
  for (guint i = 0; i < core->settings->teams->len; i++)
    if (g_array_index (core->settings->teams, HrTeam, i).team == team)
      return &g_array_index (core->settings->teams, HrTeam, i);
  return NULL;
}

const HrMachineType *
hr_machine_type_find (const HrCore *core, guint32 name)
{
  for (guint i = 0; core->scaling.machine_types && i < core->scaling.machine_types->len; i++)
    if (g_array_index (core->scaling.machine_types, HrMachineType, i).type == name)
      return &g_array_index (core->scaling.machine_types, HrMachineType, i);
  return NULL;
}

const HrMachineType *
hr_machine_type_of (const HrCore *core, const HrMachine *machine)
{
  return hr_machine_type_find (core, machine->type);
}

HrCore *
hr_core_new (const HrSettings *settings, const HrPolicy *policy, HrNames *names,
             const char *incarnation, guint32 seed)
{
  HrCore *core = g_new0 (HrCore, 1);
  core->settings = settings;
  core->policy = *policy;
  core->names = names;
  core->incarnation = g_strdup (incarnation);
  core->random = g_rand_new_with_seed (seed);
  core->calls.pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  core->store.replica.waiters = g_array_new (FALSE, TRUE, sizeof (HrReadWaiter));
  core->store.replica.waiters_in_flight = g_array_new (FALSE, TRUE, sizeof (HrReadWaiter));
  core->membership.peers = g_array_new (FALSE, TRUE, sizeof (HrPeer));
  core->cancellations.entries = g_array_new (FALSE, FALSE, sizeof (HrCancellation));
  hr_intern_init (&core->store.tables.job_ids);
  hr_intern_init (&core->store.tables.machine_ids);
  core->store.tables.jobs = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_job_free);
  core->store.tables.machines = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_machine_free);
  core->store.tables.open_jobs = g_array_new (FALSE, TRUE, sizeof (guint32));
  core->scheduling.class_stats = g_array_new (FALSE, TRUE, sizeof (HrClassStats));
  core->store.writer.dirty_pages = g_array_new (FALSE, TRUE, sizeof (HrDirtyPage));
  core->store.garbage.pages = g_array_new (FALSE, TRUE, sizeof (HrObsoletePage));
  core->store.splitter.queue = g_array_new (FALSE, TRUE, sizeof (guint32));
  core->dependencies.to_tombstone = g_array_new (FALSE, TRUE, sizeof (guint32));
  core->scaling.fleet = g_ptr_array_new ();
  core->scaling.capacity_refusals = g_array_new (FALSE, TRUE, sizeof (HrCapacityRefusal));
  core->scheduling.team_usage = g_array_new (FALSE, TRUE, sizeof (HrTeamUsage));
  core->scheduling.waiting_jobs = g_ptr_array_new ();
  core->scaling.demand = g_array_new (FALSE, TRUE, sizeof (HrDemand));
  for (int i = 0; i < HR_TRANSACTION_KINDS; i++)
    g_queue_init (&core->store.transactions.queues[i]);
  hr_core_set_supported_format (core, HR_FORMAT);
  g_queue_init (&core->scaling.requests_to_retry);
  core->scaling.allowance =
      (HrTokenBucket){settings->cloud_rps, settings->cloud_rps * 0.8, settings->cloud_rps, 0};
  return core;
}

static void
txn_free (gpointer data)
{
  HrTransaction *transaction = data;
  json_decref (transaction->conditions);
  json_decref (transaction->writes);
  g_free (transaction);
}

void
hr_core_free (HrCore *core)
{
  hr_instance_requests_clear (core);
  for (int i = 0; i < HR_TRANSACTION_KINDS; i++)
    g_queue_clear_full (&core->store.transactions.queues[i], txn_free);
  g_rand_free (core->random);
  g_hash_table_unref (core->calls.pending);
  g_array_unref (core->store.replica.waiters);
  g_array_unref (core->store.replica.waiters_in_flight);
  g_array_unref (core->membership.peers);
  g_array_unref (core->cancellations.entries);
  g_ptr_array_unref (core->store.tables.jobs);
  g_ptr_array_unref (core->store.tables.machines);
  hr_intern_clear (&core->store.tables.job_ids);
  hr_intern_clear (&core->store.tables.machine_ids);
  g_array_unref (core->store.tables.open_jobs);
  g_array_unref (core->scheduling.class_stats);
  g_array_unref (core->scaling.capacity_refusals);
  g_array_unref (core->store.writer.dirty_pages);
  g_array_unref (core->store.garbage.pages);
  g_array_unref (core->store.splitter.queue);
  g_array_unref (core->dependencies.to_tombstone);
  g_array_unref (core->scaling.demand);
  g_array_unref (core->scheduling.team_usage);
  g_ptr_array_unref (core->scheduling.waiting_jobs);
  g_ptr_array_unref (core->scaling.fleet);
  g_clear_pointer (&core->scaling.machine_types, g_array_unref);
  g_free (core->store.replica.list_cursor);
  g_free (core->scaling.list_cursor);
  g_free (core->leadership.leader_label);
  g_free (core->leadership.leader_incarnation);
  g_free (core->leadership.lock_label);
  g_free (core->leadership.lock_incarnation);
  g_free (core->incarnation);
  g_free (core);
}

static void
result (HrCore *core, HrCommand *command)
{
  gpointer key, val;
  if (!g_hash_table_steal_extended (core->calls.pending, &command->id, &key, &val))
    return;
  g_autofree guint64 *id = key;
  g_autofree PendingCall *pending = val;
  json_t *body = NULL;
  int status = command->status;
  if (command->body && g_bytes_get_size (command->body)) {
    gsize len;
    const char *data = g_bytes_get_data (command->body, &len);
    g_autofree char *why = NULL;
    body = hr_json_parse (data, len, &why);
    /* A success whose body can't be read is no answer: it may have been carried out. */
    if (!body && status == 200) {
      g_info ("an answer could not be read: %s", why);
      status = 0;
    }
  }
  pending->callback (core, status, body, pending->sent_at, pending->data);
  json_decref (body);
}

static void
tick (HrCore *core)
{
  hr_leadership_tick (core);
  hr_agents_tick (core);
  hr_fleet_tick (core);
  hr_garbage_tick (core);
  hr_record_format_tick (core);
  hr_record_split_scan (core);
  hr_dependencies_tick (core);
  hr_counters_tick (core);
}

/* Seconds from one planning pass to the next: more with the fleet, and so that passes leave most of
 * the processor to reports and readings. A leader that plans for seconds on end answers its workers
 * too late; they report again and again, and its readings come too late for it to go on leading. */
static double
plan_gap (const HrCore *core)
{
  double by_size = core->policy.plan_gap_s * (1 + core->scaling.fleet->len / 200.0);
  return MAX (by_size, core->scheduling.pass_duration_s * PASS_REST);
}

void
hr_core_step_took (HrCore *core, double seconds)
{
  if (core->scheduling.planned_in_this_step)
    core->scheduling.pass_duration_s = MIN (seconds, PASS_MOST_S);
}

void
hr_core_step (HrCore *core, double now, double wall, GPtrArray *commands, GPtrArray *effects)
{
  if (!core->started_at)
    core->started_at = now;
  core->now = now;
  core->wall_time = wall;
  core->effects = effects;
  for (guint i = 0; i < commands->len; i++) {
    HrCommand *command = commands->pdata[i];
    switch (command->kind) {
    case HR_COMMAND_REQUEST:
      if (g_strcmp0 (command->path, "/hello") == 0)
        hr_heartbeat_received (core, command);
      else if (g_strcmp0 (command->path, HR_METRICS_PATH) == 0 && command->method == HR_GET)
        hr_core_reply_text (core, command->id, hr_metrics_text (core));
      else
        hr_user_request_received (core, command);
      break;
    case HR_COMMAND_RESULT:
      result (core, command);
      break;
    case HR_COMMAND_PEER_STATUS:
      hr_membership_status_received (core, command->peer_status);
      break;
    case HR_COMMAND_TICK:
      tick (core);
      break;
    }
  }
  core->scheduling.planned_in_this_step = FALSE;
  if (core->leadership.is_leader && core->scheduling.plan_is_stale &&
      now - core->scheduling.planned_at >= plan_gap (core)) {
    core->scheduling.plan_is_stale = FALSE;
    core->scheduling.planned_in_this_step = TRUE;
    core->scheduling.planned_at = now;
    hr_quotas_pass (core);
    hr_guarantees_mark_jobs (core);
    hr_planner_pass (core);
    hr_dispatch (core);
  }
  hr_replica_tick (core);
  hr_record_writer_tick (core);
  hr_direct_orders_send (core);
  core->effects = NULL;
}

gboolean
hr_core_policy_check (const HrPolicy *policy, GHashTable *vars, GError **error)
{
  const double *lease = g_hash_table_lookup (vars, "lease_s");
  const double *cancel = g_hash_table_lookup (vars, "cancel_s");
  /* A leader that the state service refuses cannot see a cancellation. It goes on
   * answering workers for hold_s, and their leases outlast that. */
  double ends = policy->hold_s + *lease * 1.002 + policy->lease_margin_s;
  const double *report = g_hash_table_lookup (vars, "report_s");
  const struct {
    gboolean good;
    const char *what, *relation;
    double limit, value;
  } figures[] = {
      {ends < *cancel, "hold_s + lease_s + lease_margin_s", "below cancel_s", *cancel, ends},
      /* Reports come every report_s, give or take a quarter. */
      {policy->overdue_s > 1.25 * *report, "overdue_s", "above 1.25 report_s", 1.25 * *report,
       policy->overdue_s},
      {policy->silent_s >= policy->overdue_s, "silent_s", "at least overdue_s", policy->overdue_s,
       policy->silent_s},
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
hr_core_policy_vars (const HrSettings *settings, GHashTable *vars)
{
  hr_policy_vars_set (vars, "report_s", settings ? settings->report_s : 2.5);
  hr_policy_vars_set (vars, "lease_s", settings ? settings->lease_s : 14);
  hr_policy_vars_set (vars, "gang_wait_s", settings ? settings->gang_wait_s : 30);
  hr_policy_vars_set (vars, "gang_peer_s", settings ? settings->gang_peer_s : 4);
  hr_policy_vars_set (vars, "cancel_s", settings ? settings->cancel_s : 40);
  hr_policy_vars_set (vars, "state_rps", settings ? settings->planned.rps : 100);
  hr_policy_vars_set (vars, "write_rps", settings ? settings->planned.write_rps : 15);
  hr_policy_vars_set (vars, "value_kb", settings ? settings->planned.value_kb : 4);
  hr_policy_vars_set (vars, "cloud_rps", settings ? settings->cloud_rps : 8);
  hr_policy_vars_set (vars, "list_lag_s", settings ? settings->list_lag_s : 3);
  hr_policy_vars_set (vars, "controllers", settings ? settings->members->len + 1 : 3);
}
