#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/random_range.h"
#include "sim/cloud.h"
#include "sim/invariant_checks.h"
#include "sim/log.h"
#include "sim/messages.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

double sim_log_time;
int sim_log_node;

typedef struct {
  double t;
  guint64 seq;
  SimCallback fn;
  gpointer data;
} Event;

static int
by_time (gconstpointer left, gconstpointer right, gpointer data G_GNUC_UNUSED)
{
  const Event *first = left, *second = right;
  return first->t < second->t       ? -1
         : first->t > second->t     ? 1
         : first->seq < second->seq ? -1
                                    : first->seq > second->seq;
}

void
sim_schedule (SimCluster *cluster, double until, SimCallback callback, gpointer data)
{
  Event *event = g_new (Event, 1);
  *event = (Event){until, ++cluster->seq, callback, data};
  g_sequence_insert_sorted (cluster->events, event, by_time, NULL);
}

void
sim_report_violation (SimCluster *cluster, const char *rule, const char *fmt, ...)
{
  va_list arguments;
  va_start (arguments, fmt);
  g_autofree char *description = g_strdup_vprintf (fmt, arguments);
  va_end (arguments);
  g_ptr_array_add (cluster->violations,
                   g_strdup_printf ("%.3f %s: %s", cluster->now, rule, description));
}

double
sim_rand_range (SimCluster *cluster, double lo, double hi)
{
  return hr_random_range (cluster->rand, lo, hi);
}

static void run_node (SimCluster *cluster, gpointer data);

void
node_push (SimCluster *cluster, int i, HrCommand *command)
{
  SimNode *n = &cluster->nodes[i];
  if (cluster->controllers) {
    cluster->controllers->push (cluster, i, command);
    return;
  }
  g_ptr_array_add (n->queue, command);
  if (!n->step_scheduled) {
    n->step_scheduled = TRUE;
    sim_schedule (cluster, cluster->now + 0.002, run_node,
                  GINT_TO_POINTER (i + (int)n->generation * MAX_NODES));
  }
}

gboolean
node_isolated (SimCluster *cluster, int i)
{
  SimNode *n = &cluster->nodes[i];
  double allowed = cluster->policy.alone_s + 4;
  return cluster->n > 1 && n->cut_store_until > cluster->now && n->cut_peers_until > cluster->now &&
         cluster->now - n->isolated_at > allowed && cluster->now - n->store_answered_at > allowed;
}

typedef struct {
  int to;
  HrPeerStatus status;
} SentStatus;

static void
deliver_status (SimCluster *cluster, gpointer data)
{
  SentStatus *sent = data;
  if (cluster->nodes[sent->to].up) {
    HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
    *command->peer_status = sent->status;
    node_push (cluster, sent->to, command);
  }
  g_free (sent);
}

void
node_perform (SimCluster *cluster, int i, HrEffect *effect)
{
  SimNode *n = &cluster->nodes[i];
  if (effect->kind == HR_EFFECT_REPLY) {
    SimRequest *request = g_hash_table_lookup (n->open, &effect->id);
    if (request) {
      if (effect->reply.status >= 500 && effect->reply.status != 503)
        sim_report_violation (cluster, "status", "%s answered %d", request->path,
                              effect->reply.status);
      if (effect->reply.status == 200 && strcmp (request->path, "/hello") == 0) {
        node_check_launches (cluster, i, effect->body);
        node_check_order (cluster, i, effect->id, request->body, effect->body);
        if (!request->answered)
          node_check_kills (cluster, i, request->body, effect->body);
        faults_on_report_answer (cluster, i, effect->body);
      }
      /* Another controller may have replaced a leader that has not read a change of the leader
       * record. */
      if (effect->reply.status == 200 && strcmp (request->path, "/hello") == 0 &&
          !request->answered && n->unread_leader_change_at &&
          cluster->now - n->unread_leader_change_at > cluster->policy.hold_s + 3)
        sim_report_violation (
            cluster, "hold",
            "c%d answers a worker %.1f s after a change of the leader record that it has not read",
            i, cluster->now - n->unread_leader_change_at);
      /* Another controller leads by then, and workers that still get answers from this one do not
       * look for the new leader. */
      if (effect->reply.status == 200 && strcmp (request->path, "/hello") == 0 &&
          !request->answered && node_isolated (cluster, i))
        sim_report_violation (cluster, "alone", "c%d answers a worker %.1f s after it was isolated",
                              i, cluster->now - n->isolated_at);
      sim_send_response (cluster, request, effect->reply.status, g_strdup (effect->body));
      g_hash_table_remove (n->open, &effect->id);
    }
  } else if (effect->kind == HR_EFFECT_CALL) {
    if (effect->call.target == HR_TO_WORKER)
      node_check_launches (cluster, i, effect->body);
    SimRequest *request = g_new0 (SimRequest, 1);
    request->node = i;
    request->generation = n->generation;
    request->call = effect->id;
    request->target = effect->call.target;
    request->addr = g_strdup (effect->call.address);
    request->method = effect->call.method;
    request->path = g_strdup (effect->call.path);
    request->body = g_strdup (effect->body);
    request->timeout = effect->call.timeout_s;
    request->machine = -1;
    request->refs = 1;
    req_send (cluster, request);
    req_unref (request);
  } else
    for (int k = 0; k < cluster->n; k++)
      if (k != i && n->cut_peers_until <= cluster->now &&
          cluster->nodes[k].cut_peers_until <= cluster->now) {
        SentStatus *sent = g_new (SentStatus, 1);
        *sent = (SentStatus){k, *effect->peer_status};
        sim_schedule (cluster, cluster->now + net_delay (cluster), deliver_status, sent);
      }
}

/* The effects of a batch whose process was suspended; they are performed when it resumes. */
typedef struct {
  int node;
  guint generation;
  guint64 epoch; /* revision up to which the batch had read */
  GPtrArray *effects;
} HeldEffects;

static void
perform_held (SimCluster *cluster, gpointer data)
{
  HeldEffects *held = data;
  SimNode *n = &cluster->nodes[held->node];
  n->epoch_acting = held->epoch;
  for (guint k = 0; n->up && n->generation == held->generation && k < held->effects->len; k++)
    node_perform (cluster, held->node, held->effects->pdata[k]);
  g_ptr_array_unref (held->effects);
  g_free (held);
}

/* Half of the suspensions begin in the middle of a batch: the process has read the time, and has
 * not sent its answers, calls and statuses. */
void
node_freeze (SimCluster *cluster, int i, double for_s)
{
  SimNode *n = &cluster->nodes[i];
  if (!n->up || n->frozen_until > cluster->now)
    return;
  if (cluster->controllers) {
    n->frozen_until = cluster->now + for_s;
    cluster->controllers->freeze (cluster, i, for_s);
    return;
  }
  if (sim_rand_range (cluster, 0, 1) < 0.5)
    n->freeze_next_batch_s = for_s;
  else
    n->frozen_until = cluster->now + for_s;
}

static void
run_node (SimCluster *cluster, gpointer data)
{
  int i = GPOINTER_TO_INT (data) % MAX_NODES;
  guint generation = GPOINTER_TO_INT (data) / MAX_NODES;
  SimNode *n = &cluster->nodes[i];
  if (!n->up || generation != n->generation)
    return;
  if (n->frozen_until > cluster->now) { /* its sockets buffer the messages that arrive */
    sim_schedule (cluster, n->frozen_until, run_node, data);
    return;
  }
  n->step_scheduled = FALSE;
  g_autoptr (GPtrArray) batch = n->queue;
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  sim_log_time = cluster->now;
  sim_log_node = i;
  /* Monotonic clocks of different machines drift, and their real times differ. */
  hr_core_step (n->core, cluster->now * (1 + 0.0002 * i) + 100 * i, 1e9 + cluster->now + 0.05 * i,
                batch, out);
  for (guint k = 0; k < out->len; k++)
    sim_digest_add (cluster->digest, cluster->now, i, out->pdata[k]);
  check_launches (cluster, i, n->epoch_read, out);
  n->epoch_acting = n->epoch_read;
  n->epoch_read = n->epoch_sent;
  if (n->freeze_next_batch_s > 0) {
    HeldEffects *held = g_new (HeldEffects, 1);
    *held = (HeldEffects){i, generation, n->epoch_acting, g_ptr_array_ref (out)};
    n->frozen_until = cluster->now + n->freeze_next_batch_s;
    n->freeze_next_batch_s = 0;
    sim_schedule (cluster, n->frozen_until, perform_held, held);
    return;
  }
  for (guint k = 0; k < out->len; k++)
    node_perform (cluster, i, out->pdata[k]);
}

static void
node_tick (SimCluster *cluster, gpointer data)
{
  int i = GPOINTER_TO_INT (data) % MAX_NODES;
  guint generation = GPOINTER_TO_INT (data) / MAX_NODES;
  if (!cluster->nodes[i].up || generation != cluster->nodes[i].generation)
    return;
  if (cluster->nodes[i].frozen_until > cluster->now) {
    sim_schedule (cluster, cluster->nodes[i].frozen_until, node_tick, data);
    return;
  }
  node_push (cluster, i, hr_command_new (HR_COMMAND_TICK));
  sim_schedule (cluster, cluster->now + 0.1, node_tick, data);
}

json_t *
node_settings (SimCluster *cluster, int i)
{
  json_t *members = json_array ();
  for (int k = 0; k < cluster->n; k++)
    if (k != i) {
      g_autofree char *peer_label = g_strdup_printf ("c%d", k);
      json_array_append_new (members, json_pack ("{ssssss}", "label", peer_label, "area", "z0",
                                                 "endpoint", "127.0.0.1:9"));
    }
  g_autofree char *label = g_strdup_printf ("c%d", i);
  json_t *facts = json_pack (
      "{s[{sssfsfsfsf}]s[{sssssf}]s{sfsfsfsfsf}s{sfsfsfsis{sfsisf}}s{sfsf}}", "teams", "name",
      "crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", cluster->quota_gpus,
      "objectives", "kind", "finished", "class", "gang", "within_s", 200.0, "workers", "report_s",
      cluster->report_s, "lease_s", cluster->lease_s, "gang_wait_s", 30.0, "gang_peer_s", 4.0,
      "cancel_s", cluster->cancel_s, "state", "rps", 250.0, "write_rps", 60.0, "value_kb",
      cluster->value_kb, "txn_ops", 12, "next", "value_kb", NEXT_VALUE_KB, "txn_ops", NEXT_TXN_OPS,
      "write_rps", NEXT_WRITE_RPS, "cloud", "rps", 8.0, "list_lag_s", 3.0);
  if (cluster->guarantee_gpus > 0)
    json_array_append_new (json_object_get (facts, "teams"),
                           json_pack ("{sssfsfsfsf}", "name", "guests", "cpus",
                                      10 * cluster->guarantee_gpus, "cpus_max", 0.0, "gpus",
                                      cluster->guarantee_gpus, "gpus_max", 0.0));
  return json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front", "127.0.0.1:1",
                    "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3", "state",
                    "127.0.0.1:4", "members", members, "facts", facts);
}

/* Reads the settings as the node's process does, so that the checks know the policy's tunables. */
static void
read_settings (SimCluster *cluster, int i)
{
  SimNode *n = &cluster->nodes[i];
  json_t *root = node_settings (cluster, i);
  g_autoptr (GError) error = NULL;
  hr_names_init (&n->names);
  n->settings = hr_settings_parse (root, &n->names, &error);
  if (!n->settings)
    g_error ("the simulated settings: %s", error->message);
  json_decref (root);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (n->settings, vars);
  if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &cluster->policy, &error))
    g_error ("the policy: %s", error->message);
  if (cluster->machines_per_part > 0)
    cluster->policy.machines_per_part = cluster->machines_per_part;
}

static void
start_core (SimCluster *cluster, int i)
{
  SimNode *n = &cluster->nodes[i];
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  n->step_scheduled = FALSE;
  n->incarnation = g_strdup_printf ("%d-%u", i, n->generation);
  n->core = hr_core_new (n->settings, &cluster->policy, &n->names, n->incarnation,
                         g_rand_int (cluster->rand));
  hr_core_set_supported_format (n->core, n->record_format);
  node_tick (cluster, GINT_TO_POINTER (i + (int)n->generation * MAX_NODES));
}

void
node_start (SimCluster *cluster, int i)
{
  SimNode *n = &cluster->nodes[i];
  if (n->up)
    return;
  read_settings (cluster, i);
  n->up = TRUE;
  n->generation++;
  n->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)req_unref);
  n->newest_answered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->answered_at_handover = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  n->store_reads = g_array_new (FALSE, FALSE, sizeof (SimStoreRead));
  n->frozen_until = n->freeze_next_batch_s = 0;
  n->epoch_sent = n->epoch_read = n->epoch_acting = 0;
  n->store_answered_at = cluster->now;
  if (cluster->controllers)
    cluster->controllers->start (cluster, i);
  else
    start_core (cluster, i);
}

static void
start_scheduled (SimCluster *cluster, gpointer node)
{
  node_start (cluster, GPOINTER_TO_INT (node));
}

void
node_start_at (SimCluster *cluster, int i, double at)
{
  sim_schedule (cluster, at, start_scheduled, GINT_TO_POINTER (i));
}

void
node_kill (SimCluster *cluster, int i)
{
  SimNode *n = &cluster->nodes[i];
  if (!n->up)
    return;
  n->up = FALSE;
  /* Its connections are reset: senders of open requests learn at once that no answer comes. */
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, n->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sim_send_response (cluster, value, 0, NULL);
  g_hash_table_unref (n->open);
  g_hash_table_unref (n->newest_answered);
  g_hash_table_unref (n->answered_at_handover);
  g_array_unref (n->store_reads);
  g_clear_pointer (&n->incarnation, g_free);
  if (cluster->controllers)
    cluster->controllers->end (cluster, i);
  else {
    g_ptr_array_unref (n->queue);
    hr_core_free (n->core);
  }
  hr_settings_free (n->settings);
  hr_names_clear (&n->names);
}

static void
periodic_check (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  check_periodically (cluster);
  sim_schedule (cluster, cluster->now + 0.5, periodic_check, NULL);
}

SimCluster *
sim_cluster_new_stopped (guint32 seed, int nodes)
{
  SimCluster *cluster = g_new0 (SimCluster, 1);
  cluster->n = nodes;
  cluster->report_s = 2.5;
  cluster->lease_s = 14;
  cluster->cancel_s = 36;
  cluster->rand = g_rand_new_with_seed (seed);
  cluster->digest = sim_digest_new ();
  cluster->events = g_sequence_new (g_free);
  cluster->violations = g_ptr_array_new_with_free_func (g_free);
  cluster->loss_share = 0.002;
  cluster->duplicate_share = 0.004;
  cluster->max_late_s = 60;
  cluster->value_kb = 4;
  for (int i = 0; i < cluster->n; i++)
    cluster->nodes[i].record_format = HR_NEWEST_RECORD_FORMAT;
  fault_injection_init (cluster, seed);
  store_init (cluster);
  cloud_init (cluster);
  return cluster;
}

void
sim_cluster_start (SimCluster *cluster)
{
  for (int i = 0; i < cluster->n; i++)
    node_start (cluster, i);
  sim_schedule (cluster, 0.5, periodic_check, NULL);
}

SimCluster *
sim_cluster_new (guint32 seed, int nodes)
{
  SimCluster *cluster = sim_cluster_new_stopped (seed, nodes);
  sim_cluster_start (cluster);
  return cluster;
}

void
sim_cluster_restart_nodes (SimCluster *cluster)
{
  for (int i = 0; i < cluster->n; i++) {
    node_kill (cluster, i);
    node_start (cluster, i);
  }
}

void
sim_cluster_run (SimCluster *cluster, double until)
{
  while (!g_sequence_is_empty (cluster->events)) {
    GSequenceIter *iter = g_sequence_get_begin_iter (cluster->events);
    Event *event = g_sequence_get (iter);
    if (event->t > until)
      break;
    cluster->now = MAX (cluster->now, event->t);
    SimCallback callback = event->fn;
    gpointer data = event->data;
    g_sequence_remove (iter);
    callback (cluster, data);
  }
  cluster->now = until;
}

void
sim_cluster_free (SimCluster *cluster)
{
  for (int i = 0; i < cluster->n; i++)
    node_kill (cluster, i);
  fault_injection_free (cluster);
  store_free (cluster);
  cloud_free (cluster);
  if (cluster->jobs)
    users_free (cluster);
  g_sequence_free (cluster->events);
  g_ptr_array_unref (cluster->violations);
  g_rand_free (cluster->rand);
  sim_digest_finish (cluster->digest);
  g_free (cluster);
}
