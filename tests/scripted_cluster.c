#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <string.h>

#define TICK_S 0.05
#define REAL_TIME_AT_START 1e9 /* real time when the test's clock is 0, in seconds */

/* ---- calls ---- */

static void
call_free (gpointer data)
{
  ClusterCall *call = data;
  g_free (call->addr);
  g_free (call->path);
  g_free (call->body);
  g_free (call->answer);
  g_free (call);
}

static void
hold_free (gpointer data)
{
  ClusterHold *hold = data;
  g_free (hold->path);
  g_free (hold->text);
  g_free (hold);
}

static gboolean
matches (const ClusterCall *call, int node, const char *path, const char *text)
{
  return call->node == node && (!path || strstr (call->path, path)) &&
         (!text || (call->body && strstr (call->body, text)));
}

static void
reply_free (gpointer data)
{
  ClusterReply *reply = data;
  json_decref (reply->body);
  g_free (reply);
}

static void
handle_effect (Cluster *cluster, int node, HrEffect *effect)
{
  ClusterNode *n = &cluster->nodes[node];
  if (effect->kind == HR_EFFECT_PEER_STATUS) {
    n->status = *effect->peer_status;
    n->status_sent = TRUE;
  } else if (effect->kind == HR_EFFECT_REPLY) {
    ClusterReply *reply = g_new0 (ClusterReply, 1);
    reply->status = effect->reply.status;
    reply->retry_after = effect->reply.retry_after_s;
    reply->body = json_loads (effect->body, JSON_DECODE_ANY, NULL);
    reply->at = cluster->now;
    g_hash_table_insert (n->replies, g_memdup2 (&effect->id, sizeof effect->id), reply);
  } else {
    ClusterCall *call = g_new0 (ClusterCall, 1);
    call->node = node;
    call->process = n->process;
    call->id = effect->id;
    call->target = effect->call.target;
    call->method = effect->call.method;
    call->addr = g_strdup (effect->call.address);
    call->path = g_strdup (effect->call.path);
    call->body = g_strdup (effect->body);
    call->sent = cluster->now;
    call->timeout = effect->call.timeout_s;
    for (guint i = 0; i < cluster->holds->len; i++) {
      ClusterHold *hold = cluster->holds->pdata[i];
      call->held |= matches (call, hold->node, hold->path, hold->text);
    }
    g_ptr_array_add (cluster->calls, call);
  }
}

void
cluster_step (Cluster *cluster, int node, HrCommand *command)
{
  g_autoptr (GPtrArray) commands = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  g_ptr_array_add (commands, command);
  if (!cluster->nodes[node].core)
    return;
  hr_core_step (cluster->nodes[node].core, cluster->now, REAL_TIME_AT_START + cluster->now,
                commands, out);
  for (guint i = 0; i < out->len; i++)
    handle_effect (cluster, node, out->pdata[i]);
}

/* Carries the call out at its target and returns the answer; NULL: a watch that has no changes
 * yet. */
static char *
serve_call (Cluster *cluster, const ClusterCall *call, int *status)
{
  if (call->target == HR_TO_STORE)
    return cluster_store_request (cluster, call, status);
  if (call->target == HR_TO_CLOUD)
    return cluster_cloud_request (cluster, call, status);
  for (guint i = 0; i < cluster->workers->len; i++) {
    ClusterWorker *worker = cluster->workers->pdata[i];
    if (strcmp (worker->name, call->addr) != 0)
      continue;
    *status = cluster_deliver_direct_call (worker, call);
    return cluster_worker_heartbeat_text (worker);
  }
  *status = 0;
  return g_strdup ("");
}

void
cluster_carry_out (Cluster *cluster, ClusterCall *call)
{
  if (call->done)
    return;
  call->answer = serve_call (cluster, call, &call->status);
  call->done = call->answer != NULL;
}

static void
deliver_result (Cluster *cluster, ClusterCall *call, int status, const char *body)
{
  guint at;
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = call->id;
  command->result.status = status;
  if (body)
    command->body = g_bytes_new (body, strlen (body));
  int node = call->node;
  gboolean alive = call->process == cluster->nodes[node].process;
  if (g_ptr_array_find (cluster->calls, call, &at))
    g_ptr_array_remove_index (cluster->calls, at);
  if (alive)
    cluster_step (cluster, node, command);
  else
    hr_command_free (command);
}

void
cluster_answer_with (Cluster *cluster, ClusterCall *call, int status, const char *body)
{
  g_autofree char *text =
      g_strdup (body); /* body may be the call's answer, which deliver_result() frees */
  deliver_result (cluster, call, status, text);
}

void
cluster_answer (Cluster *cluster, ClusterCall *call)
{
  cluster_carry_out (cluster, call);
  if (call->done)
    cluster_answer_with (cluster, call, call->status, call->answer);
}

void
cluster_lose (Cluster *cluster, ClusterCall *call)
{
  deliver_result (cluster, call, 0, NULL);
}

ClusterCall *
cluster_delay (Cluster *cluster, ClusterCall *call)
{
  ClusterCall *copy = g_new0 (ClusterCall, 1);
  *copy = *call;
  copy->addr = g_strdup (call->addr);
  copy->path = g_strdup (call->path);
  copy->body = g_strdup (call->body);
  copy->answer = NULL;
  copy->done = FALSE;
  cluster_lose (cluster, call);
  return copy;
}

int
cluster_carry_out_delayed (Cluster *cluster, ClusterCall *call)
{
  int status = 0;
  g_autofree char *answer = serve_call (cluster, call, &status);
  call_free (call);
  return status;
}

void
cluster_hold (Cluster *cluster, int node, const char *path, const char *text)
{
  ClusterHold *hold = g_new0 (ClusterHold, 1);
  hold->node = node;
  hold->path = g_strdup (path);
  hold->text = g_strdup (text);
  g_ptr_array_add (cluster->holds, hold);
  for (guint i = 0; i < cluster->calls->len; i++) {
    ClusterCall *call = cluster->calls->pdata[i];
    call->held |= matches (call, node, path, text);
  }
}

void
cluster_release (Cluster *cluster)
{
  g_ptr_array_set_size (cluster->holds, 0);
  for (guint i = 0; i < cluster->calls->len; i++)
    ((ClusterCall *)cluster->calls->pdata[i])->held = FALSE;
}

ClusterCall *
cluster_find_call (Cluster *cluster, int node, const char *path, const char *text)
{
  for (guint i = 0; i < cluster->calls->len; i++)
    if (matches (cluster->calls->pdata[i], node, path, text))
      return cluster->calls->pdata[i];
  return NULL;
}

guint
cluster_count_calls (Cluster *cluster, int node, const char *path, const char *text)
{
  guint n = 0;
  for (guint i = 0; i < cluster->calls->len; i++)
    n += matches (cluster->calls->pdata[i], node, path, text);
  return n;
}

/* ---- clock ---- */

void
cluster_serve (Cluster *cluster)
{
  for (guint i = 0; i < cluster->calls->len;) {
    ClusterCall *call = cluster->calls->pdata[i];
    gboolean wait = call->held || (call->target == HR_TO_STORE &&
                                   cluster->now - call->sent < cluster->store_delay_s);
    if (!wait)
      cluster_carry_out (cluster, call);
    if (wait || !call->done) {
      i++;
      continue;
    }
    cluster_answer (cluster, call);
    i = 0; /* the answer may have caused further calls, and a change wakes watches */
  }
}

static void
send_statuses (Cluster *cluster)
{
  for (int from = 0; from < cluster->n; from++) {
    if (!cluster->nodes[from].status_sent)
      continue;
    cluster->nodes[from].status_sent = FALSE;
    for (int to = 0; to < cluster->n && cluster->exchange_statuses; to++) {
      if (to == from)
        continue;
      HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
      *command->peer_status = cluster->nodes[from].status;
      cluster_step (cluster, to, command);
    }
  }
}

void
cluster_tick (Cluster *cluster, double seconds)
{
  cluster->now += seconds;
  for (int i = 0; i < cluster->n; i++)
    cluster_step (cluster, i, hr_command_new (HR_COMMAND_TICK));
  send_statuses (cluster);
}

/* Carries out the calls whose timeouts have passed; their callers get no answer. */
static void
time_out_calls (Cluster *cluster)
{
  for (guint i = 0; i < cluster->calls->len;) {
    ClusterCall *call = cluster->calls->pdata[i];
    if (call->held || cluster->now - call->sent <= call->timeout) {
      i++;
      continue;
    }
    cluster_carry_out (cluster, call);
    cluster_lose (cluster, call);
    i = 0;
  }
}

void
cluster_run (Cluster *cluster, double seconds)
{
  double until = cluster->now + seconds;
  while (cluster->now < until - 1e-9) {
    cluster_tick (cluster, MIN (TICK_S, until - cluster->now));
    time_out_calls (cluster);
    cluster_serve (cluster);
  }
}

guint64
cluster_request (Cluster *cluster, int node, HrMethod method, const char *path, const char *body)
{
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  guint64 id = command->id = ++cluster->next_request;
  command->request.method = method;
  command->request.path = g_strdup (path);
  command->body = body ? g_bytes_new (body, strlen (body)) : NULL;
  cluster_step (cluster, node, command);
  return id;
}

/* ---- construction ---- */

static HrSettings *
settings_new (Cluster *cluster, int node, HrNames *names)
{
  json_t *members = json_array ();
  for (int i = 0; i < cluster->n; i++) {
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
      300.0, "write_rps", cluster->write_rps > 0 ? cluster->write_rps : 60.0, "value_kb", 4.0,
      "txn_ops", 12, "cloud", "rps", 8.0, "list_lag_s", 3.0);
  json_t *root = json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front",
                            "127.0.0.1:1", "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3",
                            "state", "127.0.0.1:4", "members", members, "facts", facts);
  g_autoptr (GError) error = NULL;
  HrSettings *settings = hr_settings_parse (root, names, &error);
  json_decref (root);
  if (!settings)
    g_error ("scripted cluster: %s", error->message);
  return settings;
}

void
cluster_start_node (Cluster *cluster, int node)
{
  ClusterNode *n = &cluster->nodes[node];
  g_assert (!n->core);
  n->process++;
  hr_names_init (&n->names);
  n->settings = settings_new (cluster, node, &n->names);
  if (cluster->policy.hold_s == 0) {
    g_autoptr (GHashTable) vars = hr_policy_vars_new ();
    g_autoptr (GError) error = NULL;
    hr_core_policy_vars (n->settings, vars);
    if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &cluster->policy, &error))
      g_error ("scripted cluster: %s", error->message);
  }
  g_autofree char *incarnation = g_strdup_printf ("i%d-%u", node, n->process);
  n->core = hr_core_new (n->settings, &cluster->policy, &n->names, incarnation, 1 + node);
}

void
cluster_stop_node (Cluster *cluster, int node)
{
  ClusterNode *n = &cluster->nodes[node];
  if (!n->core)
    return;
  hr_core_free (n->core);
  hr_names_clear (&n->names);
  hr_settings_free (n->settings);
  n->core = NULL;
  n->process++; /* answers to the calls of the old process are dropped */
}

Cluster *
cluster_new (int nodes)
{
  Cluster *cluster = g_new0 (Cluster, 1);
  cluster->n = nodes;
  cluster->now = 1;
  cluster->exchange_statuses = TRUE;
  cluster->calls = g_ptr_array_new_with_free_func (call_free);
  cluster->holds = g_ptr_array_new_with_free_func (hold_free);
  cluster->workers = g_ptr_array_new_with_free_func (cluster_worker_free);
  cluster_store_init (cluster);
  for (int i = 0; i < nodes; i++) {
    cluster->nodes[i].store_available = TRUE;
    cluster->nodes[i].replies =
        g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, reply_free);
    cluster_start_node (cluster, i);
  }
  return cluster;
}

void
cluster_limit_writes (Cluster *cluster, double write_rps)
{
  cluster->write_rps = cluster->write_tokens = write_rps;
  cluster->write_tokens_at = cluster->now;
  for (int i = 0; i < cluster->n; i++) {
    cluster_stop_node (cluster, i);
    cluster_start_node (cluster, i);
  }
}

Cluster *
cluster_new_with_leader (int nodes)
{
  Cluster *cluster = cluster_new (nodes);
  cluster_run (cluster, 6);
  if (cluster_leader (cluster) < 0)
    g_error ("scripted cluster: no controller leads after 6 s");
  return cluster;
}

void
cluster_free (Cluster *cluster)
{
  for (int i = 0; i < cluster->n; i++) {
    cluster_stop_node (cluster, i);
    g_hash_table_unref (cluster->nodes[i].replies);
  }
  g_ptr_array_unref (cluster->calls);
  g_ptr_array_unref (cluster->holds);
  g_ptr_array_unref (cluster->workers);
  cluster_store_free (cluster);
  g_free (cluster);
}

GLogWriterOutput
cluster_log_writer (GLogLevelFlags level, const GLogField *fields, gsize n,
                    gpointer data G_GNUC_UNUSED)
{
  if (level & G_LOG_FLAG_FATAL)
    return g_log_writer_default (level, fields, n, NULL);
  for (gsize i = 0; i < n && g_getenv ("HR_SIM_VERBOSE"); i++)
    if (g_str_equal (fields[i].key, "MESSAGE"))
      g_print ("%s\n", (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}
