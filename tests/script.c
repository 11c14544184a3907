#include "script.h"
#include "protocol/jsonx.h"
#include <string.h>

#define TICK_S 0.05
#define WALL_AT_0 1e9 /* the time of day when the clock shows 0 */

static const char types[] =
    "{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":96,\"cache_gb\":100,"
    "\"fetch_gb_per_s\":0.3,\"hourly\":5.0,\"low_price\":2.0,\"startup_s\":40,\"quarries\":"
    "[\"z0\",\"z1\"]}]}";

/* ---- calls ---- */

static void
call_free (gpointer p)
{
  ScriptCall *call = p;
  g_free (call->addr);
  g_free (call->path);
  g_free (call->body);
  g_free (call->answer);
  g_free (call);
}

static void
hold_free (gpointer p)
{
  ScriptHold *h = p;
  g_free (h->path);
  g_free (h->text);
  g_free (h);
}

static gboolean
matches (const ScriptCall *call, int node, const char *path, const char *text)
{
  return call->node == node && (!path || g_str_has_prefix (call->path, path)) &&
         (!text || (call->body && strstr (call->body, text)));
}

static void
reply_free (gpointer p)
{
  ScriptReply *r = p;
  json_decref (r->body);
  g_free (r);
}

static void
take_effect (Script *s, int node, HrEffect *e)
{
  ScriptNode *n = &s->nodes[node];
  if (e->kind == HR_E_HINT) {
    n->hint = e->hint;
    n->hinted = TRUE;
  } else if (e->kind == HR_E_REPLY) {
    ScriptReply *r = g_new0 (ScriptReply, 1);
    r->status = e->status;
    r->retry_after = e->retry_after;
    r->body = json_loads (e->body, JSON_DECODE_ANY, NULL);
    r->at = s->now;
    g_hash_table_insert (n->replies, g_memdup2 (&e->id, sizeof e->id), r);
  } else {
    ScriptCall *call = g_new0 (ScriptCall, 1);
    call->node = node;
    call->process = n->process;
    call->id = e->id;
    call->target = e->target;
    call->method = e->method;
    call->addr = g_strdup (e->addr);
    call->path = g_strdup (e->path);
    call->body = g_strdup (e->body);
    call->sent = s->now;
    for (guint i = 0; i < s->holds->len; i++) {
      ScriptHold *h = s->holds->pdata[i];
      call->held |= matches (call, h->node, h->path, h->text);
    }
    g_ptr_array_add (s->calls, call);
  }
}

/* One batch of a single command (taken). */
static void
step (Script *s, int node, HrCommand *cmd)
{
  g_autoptr (GPtrArray) in = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  g_ptr_array_add (in, cmd);
  if (!s->nodes[node].core)
    return;
  hr_core_step (s->nodes[node].core, s->now, WALL_AT_0 + s->now, in, out);
  for (guint i = 0; i < out->len; i++)
    take_effect (s, node, out->pdata[i]);
}

static char *
cloud_request (Script *s, const ScriptCall *call, int *status)
{
  *status = 200;
  if (strcmp (call->path, "/machine_types") == 0)
    return g_strdup (types);
  if (!g_str_has_prefix (call->path, "/rentals?")) {
    *status = strcmp (call->path, "/rentals") == 0 ? 503 : 200; /* nothing to be had */
    return g_strdup ("{\"error\":\"no capacity\"}");
  }
  json_t *list = json_array ();
  for (guint i = 0; i < s->workers->len; i++) {
    ScriptWorker *w = s->workers->pdata[i];
    json_array_append_new (list, json_pack ("{sssssssssbsssf}", "name_id", w->name, "addr", w->name,
                                            "hull", "g2", "quarry", "z0", "loaners", 0, "stance",
                                            "running", "age_s", s->now + 100));
  }
  gboolean further = strstr (call->path, "after=m") != NULL;
  if (further)
    json_array_clear (list);
  return hr_json_take_text (json_pack ("{sosb}", "rockhands", list, "more", 0));
}

/* What the server answers now; NULL: nothing yet. */
static char *
serve_call (Script *s, const ScriptCall *call, int *status)
{
  if (call->target == HR_TO_STORE)
    return script_store_request (s, call, status);
  if (call->target == HR_TO_CLOUD)
    return cloud_request (s, call, status);
  *status = 0; /* direct orders are lost: a worker learns of them with its next report */
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
  HrCommand *cmd = hr_command_new (HR_C_RESULT);
  cmd->id = call->id;
  cmd->status = status;
  if (body)
    cmd->body = g_bytes_new (body, strlen (body));
  int node = call->node;
  gboolean alive = call->process == s->nodes[node].process;
  if (g_ptr_array_find (s->calls, call, &at))
    g_ptr_array_remove_index (s->calls, at);
  if (alive)
    step (s, node, cmd);
  else
    hr_command_free (cmd);
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
    if (!call->held)
      script_carry_out (s, call);
    if (call->held || !call->done) {
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
      HrCommand *cmd = hr_command_new (HR_C_HINT);
      cmd->hint = s->nodes[from].hint;
      step (s, to, cmd);
    }
  }
}

void
script_tick (Script *s, double seconds)
{
  s->now += seconds;
  for (int i = 0; i < s->n; i++)
    step (s, i, hr_command_new (HR_C_TICK));
  tell_hints (s);
}

void
script_run (Script *s, double seconds)
{
  double until = s->now + seconds;
  while (s->now < until - 1e-9) {
    script_tick (s, MIN (TICK_S, until - s->now));
    script_serve (s);
  }
}

/* ---- users ---- */

guint64
script_request (Script *s, int node, HrMethod method, const char *path, const char *body)
{
  HrCommand *cmd = hr_command_new (HR_C_REQUEST);
  guint64 id = cmd->id = ++s->next_request;
  cmd->method = method;
  cmd->path = g_strdup (path);
  cmd->body = body ? g_bytes_new (body, strlen (body)) : NULL;
  step (s, node, cmd);
  return id;
}

json_t *
script_job (const char *id, guint tasks)
{
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", id, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces",
                    (int)tasks, "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle",
                    "img-0", "size_gb", 1.0, "hulls", "quarry", "together", 0, "apart", 0,
                    "loaners", 0, "guess_s", 60.0, "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

guint64
script_submit (Script *s, int node, const char *id, guint tasks)
{
  g_autofree char *body = hr_json_take_text (script_job (id, tasks));
  return script_request (s, node, HR_POST, HR_JOBS_PATH, body);
}

guint64
script_poll (Script *s, int node, const char *id)
{
  g_autofree char *path = g_strconcat (HR_JOBS_PATH "/", id, NULL);
  return script_request (s, node, HR_GET, path, NULL);
}

guint64
script_abort (Script *s, int node, const char *id)
{
  g_autofree char *path = g_strconcat (HR_JOBS_PATH "/", id, "/abort", NULL);
  return script_request (s, node, HR_POST, path, NULL);
}

const ScriptReply *
script_reply (Script *s, int node, guint64 request)
{
  return g_hash_table_lookup (s->nodes[node].replies, &request);
}

int
script_status (Script *s, int node, guint64 request)
{
  const ScriptReply *r = script_reply (s, node, request);
  return r ? r->status : 0;
}

const char *
script_stance (Script *s, int node, guint64 request)
{
  const ScriptReply *r = script_reply (s, node, request);
  return r ? hr_json_str (r->body, "stance") : NULL;
}

/* ---- workers ---- */

static void
worker_free (gpointer p)
{
  ScriptWorker *w = p;
  g_ptr_array_unref (w->tasks);
  g_free (w->name);
  g_free (w);
}

ScriptWorker *
script_worker (Script *s, const char *name)
{
  ScriptWorker *w = g_new0 (ScriptWorker, 1);
  w->name = g_strdup (name);
  w->tenure = 1;
  w->tasks = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  g_ptr_array_add (s->workers, w);
  return w;
}

static void
obey (ScriptWorker *w, json_t *order)
{
  const char *verb = hr_json_str (order, "verb"), *piece = hr_json_str (order, "piece");
  json_t *try = json_object_get (order, "try"), *task = NULL;
  guint at = 0;
  for (guint i = 0; i < w->tasks->len; i++)
    if (g_strcmp0 (hr_json_str (w->tasks->pdata[i], "piece"), piece) == 0 &&
        json_equal (json_object_get (w->tasks->pdata[i], "try"), try)) {
      task = w->tasks->pdata[i];
      at = i;
    }
  if (strcmp (verb, "launch") == 0 && !task)
    g_ptr_array_add (w->tasks,
                     json_pack ("{sssOss}", "piece", piece, "try", try, "stance", "running"));
  else if (strcmp (verb, "kill") == 0 && task) {
    json_object_set_new (task, "stance", json_string ("exited"));
    json_object_set_new (task, "cause", json_string ("halted"));
  } else if (strcmp (verb, "clear") == 0 && task)
    g_ptr_array_remove_index (w->tasks, at);
}

int
script_report (Script *s, ScriptWorker *w, int node)
{
  json_t *pieces = json_array (), *order;
  for (guint i = 0; i < w->tasks->len; i++)
    json_array_append (pieces, w->tasks->pdata[i]);
  g_autofree char *body = hr_json_take_text (
      json_pack ("{sssssssssbsisisIsnso}", "rockhand", w->name, "addr", w->name, "hull", "g2",
                 "quarry", "z0", "loaners", 0, "tenure", (int)w->tenure, "tally", (int)++w->tally,
                 "baton", (json_int_t)w->baton, "warning_s", "pieces", pieces));
  guint64 id = script_request (s, node, HR_POST, "/hello", body);
  const ScriptReply *r = script_reply (s, node, id);
  if (!r || r->status != 200)
    return r ? r->status : 0;
  guint64 baton = json_integer_value (json_object_get (r->body, "baton"));
  if (baton < w->baton)
    return r->status;
  w->baton = baton;
  size_t i;
  json_array_foreach (json_object_get (r->body, "orders"), i, order) obey (w, order);
  return r->status;
}

void
script_worker_runs (ScriptWorker *w)
{
  for (guint i = 0; i < w->tasks->len; i++)
    json_object_set_new (w->tasks->pdata[i], "stance", json_string ("running"));
}

void
script_worker_ends (ScriptWorker *w, const char *cause)
{
  for (guint i = 0; i < w->tasks->len; i++) {
    json_object_set_new (w->tasks->pdata[i], "stance", json_string ("exited"));
    json_object_set_new (w->tasks->pdata[i], "cause", json_string (cause));
  }
}

gboolean
script_worker_has (const ScriptWorker *w, const char *job)
{
  g_autofree char *prefix = g_strconcat (job, "/", NULL);
  for (guint i = 0; i < w->tasks->len; i++) {
    json_t *task = w->tasks->pdata[i];
    if (g_str_has_prefix (hr_json_str (task, "piece"), prefix) &&
        strcmp (hr_json_str (task, "stance"), "exited") != 0)
      return TRUE;
  }
  return FALSE;
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
  json_t *facts =
      json_pack ("{s[{sssfsfsfsf}]s[]s{sfsfsfsfsf}s{sfsfsfsi}s{sfsf}}", "teams", "name", "crew",
                 "cpus", 0.0, "cpus_max", 200.0, "gpus", 0.0, "gpus_max", 100.0, "objectives",
                 "workers", "report_s", 2.5, "lease_s", 14.0, "gang_wait_s", 30.0, "gang_peer_s",
                 4.0, "cancel_s", 36.0, "state", "rps", 300.0, "write_rps", 60.0, "value_kb", 4.0,
                 "txn_ops", 12, "cloud", "rps", 8.0, "list_lag_s", 3.0);
  json_t *root = json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front",
                            "127.0.0.1:1", "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3",
                            "state", "127.0.0.1:4", "members", members, "facts", facts);
  g_autoptr (GError) e = NULL;
  HrSettings *set = hr_settings_parse (root, names, &e);
  json_decref (root);
  if (!set)
    g_error ("script: %s", e->message);
  return set;
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
    g_autoptr (GError) e = NULL;
    hr_core_policy_vars (n->set, vars);
    if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &s->pol, &e))
      g_error ("script: %s", e->message);
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
  s->workers = g_ptr_array_new_with_free_func (worker_free);
  script_store_init (s);
  for (int i = 0; i < nodes; i++) {
    s->nodes[i].served = TRUE;
    s->nodes[i].replies = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, reply_free);
    script_start (s, i);
  }
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
