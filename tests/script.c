#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "script.h"
#include <string.h>

#define TICK_S 0.05
#define WALL_AT_0 1e9 /* the time of day when the clock shows 0 */

/* ---- calls ---- */

static void
call_free (gpointer data)
{
  ScriptCall *call = data;
  g_free (call->addr);
  g_free (call->path);
  g_free (call->body);
  g_free (call->answer);
  g_free (call);
}

static void
hold_free (gpointer data)
{
  ScriptHold *held = data;
  g_free (held->path);
  g_free (held->text);
  g_free (held);
}

static gboolean
matches (const ScriptCall *call, int node, const char *path, const char *text)
{
  return call->node == node && (!path || strstr (call->path, path)) &&
         (!text || (call->body && strstr (call->body, text)));
}

static void
reply_free (gpointer data)
{
  ScriptReply *reply = data;
  json_decref (reply->body);
  g_free (reply);
}

static void
take_effect (Script *script, int node, HrEffect *effect)
{
  ScriptNode *n = &script->nodes[node];
  if (effect->kind == HR_EFFECT_PEER_STATUS) {
    n->hint = *effect->peer_status;
    n->hinted = TRUE;
  } else if (effect->kind == HR_EFFECT_REPLY) {
    ScriptReply *reply = g_new0 (ScriptReply, 1);
    reply->status = effect->reply.status;
    reply->retry_after = effect->reply.retry_after_s;
    reply->body = json_loads (effect->body, JSON_DECODE_ANY, NULL);
    reply->at = script->now;
    g_hash_table_insert (n->replies, g_memdup2 (&effect->id, sizeof effect->id), reply);
  } else {
    ScriptCall *call = g_new0 (ScriptCall, 1);
    call->node = node;
    call->process = n->process;
    call->id = effect->id;
    call->target = effect->call.target;
    call->method = effect->call.method;
    call->addr = g_strdup (effect->call.address);
    call->path = g_strdup (effect->call.path);
    call->body = g_strdup (effect->body);
    call->sent = script->now;
    call->timeout = effect->call.timeout_s;
    for (guint i = 0; i < script->holds->len; i++) {
      ScriptHold *held = script->holds->pdata[i];
      call->held |= matches (call, held->node, held->path, held->text);
    }
    g_ptr_array_add (script->calls, call);
  }
}

void
script_step (Script *script, int node, HrCommand *command)
{
  g_autoptr (GPtrArray) commands = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  g_ptr_array_add (commands, command);
  if (!script->nodes[node].core)
    return;
  hr_core_step (script->nodes[node].core, script->now, WALL_AT_0 + script->now, commands, out);
  for (guint i = 0; i < out->len; i++)
    take_effect (script, node, out->pdata[i]);
}

/* What the server answers now; NULL: nothing yet. */
static char *
serve_call (Script *script, const ScriptCall *call, int *status)
{
  if (call->target == HR_TO_STORE)
    return script_store_request (script, call, status);
  if (call->target == HR_TO_CLOUD)
    return script_cloud_request (script, call, status);
  for (guint i = 0; i < script->workers->len; i++) {
    ScriptWorker *worker = script->workers->pdata[i];
    if (strcmp (worker->name, call->addr) != 0)
      continue;
    *status = script_direct (worker, call);
    return script_worker_text (worker);
  }
  *status = 0;
  return g_strdup ("");
}

void
script_carry_out (Script *script, ScriptCall *call)
{
  if (call->done)
    return;
  call->answer = serve_call (script, call, &call->status);
  call->done = call->answer != NULL;
}

static void
give_result (Script *script, ScriptCall *call, int status, const char *body)
{
  guint at;
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = call->id;
  command->result.status = status;
  if (body)
    command->body = g_bytes_new (body, strlen (body));
  int node = call->node;
  gboolean alive = call->process == script->nodes[node].process;
  if (g_ptr_array_find (script->calls, call, &at))
    g_ptr_array_remove_index (script->calls, at);
  if (alive)
    script_step (script, node, command);
  else
    hr_command_free (command);
}

void
script_answer_with (Script *script, ScriptCall *call, int status, const char *body)
{
  g_autofree char *text = g_strdup (body); /* it may be the call's own */
  give_result (script, call, status, text);
}

void
script_answer (Script *script, ScriptCall *call)
{
  script_carry_out (script, call);
  if (call->done)
    script_answer_with (script, call, call->status, call->answer);
}

void
script_lose (Script *script, ScriptCall *call)
{
  give_result (script, call, 0, NULL);
}

ScriptCall *
script_delay (Script *script, ScriptCall *call)
{
  ScriptCall *copy = g_new0 (ScriptCall, 1);
  *copy = *call;
  copy->addr = g_strdup (call->addr);
  copy->path = g_strdup (call->path);
  copy->body = g_strdup (call->body);
  copy->answer = NULL;
  copy->done = FALSE;
  script_lose (script, call);
  return copy;
}

int
script_late (Script *script, ScriptCall *call)
{
  int status = 0;
  g_autofree char *answer = serve_call (script, call, &status);
  call_free (call);
  return status;
}

void
script_hold (Script *script, int node, const char *path, const char *text)
{
  ScriptHold *held = g_new0 (ScriptHold, 1);
  held->node = node;
  held->path = g_strdup (path);
  held->text = g_strdup (text);
  g_ptr_array_add (script->holds, held);
  for (guint i = 0; i < script->calls->len; i++) {
    ScriptCall *call = script->calls->pdata[i];
    call->held |= matches (call, node, path, text);
  }
}

void
script_release (Script *script)
{
  g_ptr_array_set_size (script->holds, 0);
  for (guint i = 0; i < script->calls->len; i++)
    ((ScriptCall *)script->calls->pdata[i])->held = FALSE;
}

ScriptCall *
script_call (Script *script, int node, const char *path, const char *text)
{
  for (guint i = 0; i < script->calls->len; i++)
    if (matches (script->calls->pdata[i], node, path, text))
      return script->calls->pdata[i];
  return NULL;
}

guint
script_count (Script *script, int node, const char *path, const char *text)
{
  guint n = 0;
  for (guint i = 0; i < script->calls->len; i++)
    n += matches (script->calls->pdata[i], node, path, text);
  return n;
}

/* ---- time ---- */

void
script_serve (Script *script)
{
  for (guint i = 0; i < script->calls->len;) {
    ScriptCall *call = script->calls->pdata[i];
    gboolean wait =
        call->held || (call->target == HR_TO_STORE && script->now - call->sent < script->slow);
    if (!wait)
      script_carry_out (script, call);
    if (wait || !call->done) {
      i++;
      continue;
    }
    script_answer (script, call);
    i = 0; /* the answer may have led to more, and a change wakes watches */
  }
}

static void
tell_hints (Script *script)
{
  for (int from = 0; from < script->n; from++) {
    if (!script->nodes[from].hinted)
      continue;
    script->nodes[from].hinted = FALSE;
    for (int to = 0; to < script->n && script->hints; to++) {
      if (to == from)
        continue;
      HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
      *command->peer_status = script->nodes[from].hint;
      script_step (script, to, command);
    }
  }
}

void
script_tick (Script *script, double seconds)
{
  script->now += seconds;
  for (int i = 0; i < script->n; i++)
    script_step (script, i, hr_command_new (HR_COMMAND_TICK));
  tell_hints (script);
}

/* Calls that have been out for longer than their callers wait, served or not. */
static void
end_overdue (Script *script)
{
  for (guint i = 0; i < script->calls->len;) {
    ScriptCall *call = script->calls->pdata[i];
    if (call->held || script->now - call->sent <= call->timeout) {
      i++;
      continue;
    }
    script_carry_out (script, call);
    script_lose (script, call);
    i = 0;
  }
}

void
script_run (Script *script, double seconds)
{
  double until = script->now + seconds;
  while (script->now < until - 1e-9) {
    script_tick (script, MIN (TICK_S, until - script->now));
    end_overdue (script);
    script_serve (script);
  }
}

guint64
script_request (Script *script, int node, HrMethod method, const char *path, const char *body)
{
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  guint64 id = command->id = ++script->next_request;
  command->request.method = method;
  command->request.path = g_strdup (path);
  command->body = body ? g_bytes_new (body, strlen (body)) : NULL;
  script_step (script, node, command);
  return id;
}

/* ---- beginning and end ---- */

static HrSettings *
settings_of (Script *script, int node, HrNames *names)
{
  json_t *members = json_array ();
  for (int i = 0; i < script->n; i++) {
    g_autofree char *label = g_strdup_printf ("c%d", i);
    g_autofree char *endpoint = g_strdup_printf ("127.0.0.1:%d", 100 + i);
    if (i != node)
      json_array_append_new (
          members, json_pack ("{ssssss}", "label", label, "endpoint", endpoint, "area", "z0"));
  }
  g_autofree char *label = g_strdup_printf ("c%d", node);
  json_t *facts = json_pack (
      "{s[{sssfsfsfsf}]s[]s{sfsfsfsfsf}s{sfsfsfsi}s{sfsf}}", "teams", "name", "crew", "cpus", 0.0,
      "cpus_max", 200.0, "gpus", 0.0, "gpus_max", 100.0, "objectives", "workers", "report_s", 2.5,
      "lease_s", 14.0, "gang_wait_s", 30.0, "gang_peer_s", 4.0, "cancel_s", 36.0, "state", "rps",
      300.0, "write_rps", script->write_rps > 0 ? script->write_rps : 60.0, "value_kb", 4.0,
      "txn_ops", 12, "cloud", "rps", 8.0, "list_lag_s", 3.0);
  json_t *root = json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front",
                            "127.0.0.1:1", "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3",
                            "state", "127.0.0.1:4", "members", members, "facts", facts);
  g_autoptr (GError) error = NULL;
  HrSettings *settings = hr_settings_parse (root, names, &error);
  json_decref (root);
  if (!settings)
    g_error ("script: %s", error->message);
  return settings;
}

void
script_start (Script *script, int node)
{
  ScriptNode *n = &script->nodes[node];
  g_assert (!n->core);
  n->process++;
  hr_names_init (&n->names);
  n->set = settings_of (script, node, &n->names);
  if (script->pol.hold_s == 0) {
    g_autoptr (GHashTable) vars = hr_policy_vars_new ();
    g_autoptr (GError) error = NULL;
    hr_core_policy_vars (n->set, vars);
    if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &script->pol, &error))
      g_error ("script: %s", error->message);
  }
  g_autofree char *incarnation = g_strdup_printf ("i%d-%u", node, n->process);
  n->core = hr_core_new (n->set, &script->pol, &n->names, incarnation, 1 + node);
}

void
script_end (Script *script, int node)
{
  ScriptNode *n = &script->nodes[node];
  if (!n->core)
    return;
  hr_core_free (n->core);
  hr_names_clear (&n->names);
  hr_settings_free (n->set);
  n->core = NULL;
  n->process++; /* whatever is still on its way finds nobody */
}

Script *
script_new (int nodes)
{
  Script *script = g_new0 (Script, 1);
  script->n = nodes;
  script->now = 1;
  script->hints = TRUE;
  script->calls = g_ptr_array_new_with_free_func (call_free);
  script->holds = g_ptr_array_new_with_free_func (hold_free);
  script->workers = g_ptr_array_new_with_free_func (script_worker_free);
  script_store_init (script);
  for (int i = 0; i < nodes; i++) {
    script->nodes[i].served = TRUE;
    script->nodes[i].replies =
        g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, reply_free);
    script_start (script, i);
  }
  return script;
}

void
script_limit_writes (Script *script, double write_rps)
{
  script->write_rps = script->write_tokens = write_rps;
  script->write_at = script->now;
  for (int i = 0; i < script->n; i++) {
    script_end (script, i);
    script_start (script, i);
  }
}

Script *
script_led (int nodes)
{
  Script *script = script_new (nodes);
  script_run (script, 6);
  if (script_leader (script) < 0)
    g_error ("script: nobody leads");
  return script;
}

void
script_free (Script *script)
{
  for (int i = 0; i < script->n; i++) {
    script_end (script, i);
    g_hash_table_unref (script->nodes[i].replies);
  }
  g_ptr_array_unref (script->calls);
  g_ptr_array_unref (script->holds);
  g_ptr_array_unref (script->workers);
  script_store_free (script);
  g_free (script);
}

GLogWriterOutput
script_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data G_GNUC_UNUSED)
{
  if (level & G_LOG_FLAG_FATAL)
    return g_log_writer_default (level, fields, n, NULL);
  for (gsize i = 0; i < n && g_getenv ("HR_SIM_VERBOSE"); i++)
    if (g_str_equal (fields[i].key, "MESSAGE"))
      g_print ("%s\n", (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}
