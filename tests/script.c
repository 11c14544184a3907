#include "script.h"
#include "protocol/json_util.h"
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
  ScriptHold *h = data;
  g_free (h->path);
  g_free (h->text);
  g_free (h);
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
  ScriptReply *r = data;
  json_decref (r->body);
  g_free (r);
}

static void
take_effect (Script *s, int node, HrEffect *effect)
{
  ScriptNode *n = &s->nodes[node];
  if (effect->kind == HR_EFFECT_PEER_STATUS) {
    n->hint = *effect->peer_status;
    n->hinted = TRUE;
  } else if (effect->kind == HR_EFFECT_REPLY) {
    ScriptReply *r = g_new0 (ScriptReply, 1);
    r->status = effect->status;
    r->retry_after = effect->retry_after;
    r->body = json_loads (effect->body, JSON_DECODE_ANY, NULL);
    r->at = s->now;
    g_hash_table_insert (n->replies, g_memdup2 (&effect->id, sizeof effect->id), r);
  } else {
    ScriptCall *call = g_new0 (ScriptCall, 1);
    call->node = node;
    call->process = n->process;
    call->id = effect->id;
    call->target = effect->target;
    call->method = effect->method;
    call->addr = g_strdup (effect->addr);
    call->path = g_strdup (effect->path);
    call->body = g_strdup (effect->body);
    call->sent = s->now;
    call->timeout = effect->timeout_s;
    for (guint i = 0; i < s->holds->len; i++) {
      ScriptHold *h = s->holds->pdata[i];
      call->held |= matches (call, h->node, h->path, h->text);
    }
    g_ptr_array_add (s->calls, call);
  }
}

void
script_step (Script *s, int node, HrCommand *command)
{
  g_autoptr (GPtrArray) in = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  g_ptr_array_add (in, command);
  if (!s->nodes[node].core)
    return;
  hr_core_step (s->nodes[node].core, s->now, WALL_AT_0 + s->now, in, out);
  for (guint i = 0; i < out->len; i++)
    take_effect (s, node, out->pdata[i]);
}

/* What the server answers now; NULL: nothing yet. */
static char *
serve_call (Script *s, const ScriptCall *call, int *status)
{
  if (call->target == HR_TO_STORE)
    return script_store_request (s, call, status);
  if (call->target == HR_TO_CLOUD)
    return script_cloud_request (s, call, status);
  for (guint i = 0; i < s->workers->len; i++) {
    ScriptWorker *w = s->workers->pdata[i];
    if (strcmp (w->name, call->addr) != 0)
      continue;
    *status = script_direct (s, w, call);
    return script_worker_text (w);
  }
  *status = 0;
  return g_strdup ("");
}

void
script_carry_out (Script *s, ScriptCall *call)
{
  if (call->done)
    return;
  call->answer = serve_call (s, call, &call->status);
  call->done = call->answer != NULL;
}

static void
give_result (Script *s, ScriptCall *call, int status, const char *body)
{
  guint at;
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = call->id;
  command->status = status;
  if (body)
    command->body = g_bytes_new (body, strlen (body));
  int node = call->node;
  gboolean alive = call->process == s->nodes[node].process;
  if (g_ptr_array_find (s->calls, call, &at))
    g_ptr_array_remove_index (s->calls, at);
  if (alive)
    script_step (s, node, command);
  else
    hr_command_free (command);
}

void
script_answer_with (Script *s, ScriptCall *call, int status, const char *body)
{
  g_autofree char *text = g_strdup (body); /* it may be the call's own */
  give_result (s, call, status, text);
}

void
script_answer (Script *s, ScriptCall *call)
{
  script_carry_out (s, call);
  if (call->done)
    script_answer_with (s, call, call->status, call->answer);
}

void
script_lose (Script *s, ScriptCall *call)
{
  give_result (s, call, 0, NULL);
}

ScriptCall *
script_delay (Script *s, ScriptCall *call)
{
  ScriptCall *copy = g_new0 (ScriptCall, 1);
  *copy = *call;
  copy->addr = g_strdup (call->addr);
  copy->path = g_strdup (call->path);
  copy->body = g_strdup (call->body);
  copy->answer = NULL;
  copy->done = FALSE;
  script_lose (s, call);
  return copy;
}

int
script_late (Script *s, ScriptCall *call)
{
  int status = 0;
  g_autofree char *answer = serve_call (s, call, &status);
  call_free (call);
  return status;
}

void
script_hold (Script *s, int node, const char *path, const char *text)
{
  ScriptHold *h = g_new0 (ScriptHold, 1);
  h->node = node;
  h->path = g_strdup (path);
  h->text = g_strdup (text);
  g_ptr_array_add (s->holds, h);
  for (guint i = 0; i < s->calls->len; i++) {
    ScriptCall *call = s->calls->pdata[i];
    call->held |= matches (call, node, path, text);
  }
}

void
script_release (Script *s)
{
  g_ptr_array_set_size (s->holds, 0);
  for (guint i = 0; i < s->calls->len; i++)
    ((ScriptCall *)s->calls->pdata[i])->held = FALSE;
}

ScriptCall *
script_call (Script *s, int node, const char *path, const char *text)
{
  for (guint i = 0; i < s->calls->len; i++)
    if (matches (s->calls->pdata[i], node, path, text))
      return s->calls->pdata[i];
  return NULL;
}

guint
script_count (Script *s, int node, const char *path, const char *text)
{
  guint n = 0;
  for (guint i = 0; i < s->calls->len; i++)
    n += matches (s->calls->pdata[i], node, path, text);
  return n;
}

/* ---- time ---- */

void
script_serve (Script *s)
{
  for (guint i = 0; i < s->calls->len;) {
    ScriptCall *call = s->calls->pdata[i];
    gboolean wait = call->held || (call->target == HR_TO_STORE && s->now - call->sent < s->slow);
    if (!wait)
      script_carry_out (s, call);
    if (wait || !call->done) {
      i++;
      continue;
    }
    script_answer (s, call);
    i = 0; /* the answer may have led to more, and a change wakes watches */
  }
}

static void
tell_hints (Script *s)
{
  for (int from = 0; from < s->n; from++) {
    if (!s->nodes[from].hinted)
      continue;
    s->nodes[from].hinted = FALSE;
    for (int to = 0; to < s->n && s->hints; to++) {
      if (to == from)
        continue;
      HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
      *command->peer_status = s->nodes[from].hint;
      script_step (s, to, command);
    }
  }
}

void
script_tick (Script *s, double seconds)
{
  s->now += seconds;
  for (int i = 0; i < s->n; i++)
    script_step (s, i, hr_command_new (HR_COMMAND_TICK));
  tell_hints (s);
}

/* Calls that have been out for longer than their callers wait, served or not. */
static void
end_overdue (Script *s)
{
  for (guint i = 0; i < s->calls->len;) {
    ScriptCall *call = s->calls->pdata[i];
    if (call->held || s->now - call->sent <= call->timeout) {
      i++;
      continue;
    }
    script_carry_out (s, call);
    script_lose (s, call);
    i = 0;
  }
}

void
script_run (Script *s, double seconds)
{
  double until = s->now + seconds;
  while (s->now < until - 1e-9) {
    script_tick (s, MIN (TICK_S, until - s->now));
    end_overdue (s);
    script_serve (s);
  }
}

guint64
script_request (Script *s, int node, HrMethod method, const char *path, const char *body)
{
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  guint64 id = command->id = ++s->next_request;
  command->method = method;
  command->path = g_strdup (path);
  command->body = body ? g_bytes_new (body, strlen (body)) : NULL;
  script_step (s, node, command);
  return id;
}

/* ---- beginning and end ---- */

static HrSettings *
settings_of (Script *s, int node, HrNames *names)
{
  json_t *members = json_array ();
  for (int i = 0; i < s->n; i++) {
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
      300.0, "write_rps", s->write_rps > 0 ? s->write_rps : 60.0, "value_kb", 4.0, "txn_ops", 12,
      "cloud", "rps", 8.0, "list_lag_s", 3.0);
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
script_start (Script *s, int node)
{
  ScriptNode *n = &s->nodes[node];
  g_assert (!n->core);
  n->process++;
  hr_names_init (&n->names);
  n->set = settings_of (s, node, &n->names);
  if (s->pol.hold_s == 0) {
    g_autoptr (GHashTable) vars = hr_policy_vars_new ();
    g_autoptr (GError) error = NULL;
    hr_core_policy_vars (n->set, vars);
    if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &s->pol, &error))
      g_error ("script: %s", error->message);
  }
  g_autofree char *incarnation = g_strdup_printf ("i%d-%u", node, n->process);
  n->core = hr_core_new (n->set, &s->pol, &n->names, incarnation, 1 + node);
}

void
script_end (Script *s, int node)
{
  ScriptNode *n = &s->nodes[node];
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
  Script *s = g_new0 (Script, 1);
  s->n = nodes;
  s->now = 1;
  s->hints = TRUE;
  s->calls = g_ptr_array_new_with_free_func (call_free);
  s->holds = g_ptr_array_new_with_free_func (hold_free);
  s->workers = g_ptr_array_new_with_free_func (script_worker_free);
  script_store_init (s);
  for (int i = 0; i < nodes; i++) {
    s->nodes[i].served = TRUE;
    s->nodes[i].replies = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, reply_free);
    script_start (s, i);
  }
  return s;
}

void
script_limit_writes (Script *s, double write_rps)
{
  s->write_rps = s->write_tokens = write_rps;
  s->write_at = s->now;
  for (int i = 0; i < s->n; i++) {
    script_end (s, i);
    script_start (s, i);
  }
}

Script *
script_led (int nodes)
{
  Script *s = script_new (nodes);
  script_run (s, 6);
  if (script_leader (s) < 0)
    g_error ("script: nobody leads");
  return s;
}

void
script_free (Script *s)
{
  for (int i = 0; i < s->n; i++) {
    script_end (s, i);
    g_hash_table_unref (s->nodes[i].replies);
  }
  g_ptr_array_unref (s->calls);
  g_ptr_array_unref (s->holds);
  g_ptr_array_unref (s->workers);
  script_store_free (s);
  g_free (s);
}

GLogWriterOutput
script_log (GLogLevelFlags level, const GLogField *f, gsize n, gpointer data)
{
  if (level & G_LOG_FLAG_FATAL)
    return g_log_writer_default (level, f, n, NULL);
  for (gsize i = 0; i < n && g_getenv ("HR_SIM_VERBOSE"); i++)
    if (g_str_equal (f[i].key, "MESSAGE"))
      g_print ("%s\n", (const char *)f[i].value);
  return G_LOG_WRITER_HANDLED;
}
