#include "coordination/command.h"
#include "coordination/core.h"
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
w_at (World *world, double until, SimCallback callback, gpointer data)
{
  Event *event = g_new (Event, 1);
  *event = (Event){until, ++world->seq, callback, data};
  g_sequence_insert_sorted (world->events, event, by_time, NULL);
}

void
w_broken (World *world, const char *rule, const char *fmt, ...)
{
  va_list arguments;
  va_start (arguments, fmt);
  g_autofree char *what = g_strdup_vprintf (fmt, arguments);
  va_end (arguments);
  g_ptr_array_add (world->broken, g_strdup_printf ("%.3f %s: %s", world->now, rule, what));
}

double
w_rand (World *world, double lo, double hi)
{
  return g_rand_double_range (world->rand, lo, hi);
}

static void run_node (World *world, gpointer data);

void
node_push (World *world, int i, HrCommand *command)
{
  Node *n = &world->nodes[i];
  if (world->controllers) {
    world->controllers->push (world, i, command);
    return;
  }
  g_ptr_array_add (n->queue, command);
  if (!n->stepping) {
    n->stepping = TRUE;
    w_at (world, world->now + 0.002, run_node, GINT_TO_POINTER (i + (int)n->gen * MAX_NODES));
  }
}

gboolean
node_alone (World *world, int i)
{
  Node *n = &world->nodes[i];
  double allowed = world->pol.alone_s + 4;
  return world->n > 1 && n->cut_store > world->now && n->cut_peers > world->now &&
         world->now - n->alone_at > allowed && world->now - n->store_at > allowed;
}

typedef struct {
  int to;
  HrPeerStatus status;
} SentStatus;

static void
deliver_status (World *world, gpointer data)
{
  SentStatus *sent = data;
  if (world->nodes[sent->to].up) {
    HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
    *command->peer_status = sent->status;
    node_push (world, sent->to, command);
  }
  g_free (sent);
}

void
node_perform (World *world, int i, HrEffect *effect)
{
  Node *n = &world->nodes[i];
  if (effect->kind == HR_EFFECT_REPLY) {
    SimRequest *request = g_hash_table_lookup (n->open, &effect->id);
    if (request) {
      if (effect->reply.status >= 500 && effect->reply.status != 503)
        w_broken (world, "status", "%s answered %d", request->path, effect->reply.status);
      if (effect->reply.status == 200 && strcmp (request->path, "/hello") == 0) {
        node_check_launches (world, i, effect->body);
        node_check_order (world, i, effect->id, request->body, effect->body);
        if (!request->answered)
          node_check_kills (world, i, request->body, effect->body);
        faults_on_report_answer (world, i, effect->body);
      }
      /* A leader that has not read what others decided may have been replaced. */
      if (effect->reply.status == 200 && strcmp (request->path, "/hello") == 0 &&
          !request->answered && n->behind_at && world->now - n->behind_at > world->pol.hold_s + 3)
        w_broken (world, "hold",
                  "c%d answers a worker %.1f s after another decided what it has not read", i,
                  world->now - n->behind_at);
      /* Others lead by then; workers that still hear this one do not look for them. */
      if (effect->reply.status == 200 && strcmp (request->path, "/hello") == 0 &&
          !request->answered && node_alone (world, i))
        w_broken (world, "alone", "c%d answers a worker %.1f s after it was cut off", i,
                  world->now - n->alone_at);
      w_answer (world, request, effect->reply.status, g_strdup (effect->body));
      g_hash_table_remove (n->open, &effect->id);
    }
  } else if (effect->kind == HR_EFFECT_CALL) {
    if (effect->call.target == HR_TO_WORKER)
      node_check_launches (world, i, effect->body);
    SimRequest *request = g_new0 (SimRequest, 1);
    request->node = i;
    request->gen = n->gen;
    request->call = effect->id;
    request->target = effect->call.target;
    request->addr = g_strdup (effect->call.address);
    request->method = effect->call.method;
    request->path = g_strdup (effect->call.path);
    request->body = g_strdup (effect->body);
    request->timeout = effect->call.timeout_s;
    request->machine = -1;
    request->refs = 1;
    req_send (world, request);
    req_unref (request);
  } else
    for (int k = 0; k < world->n; k++)
      if (k != i && n->cut_peers <= world->now && world->nodes[k].cut_peers <= world->now) {
        SentStatus *sent = g_new (SentStatus, 1);
        *sent = (SentStatus){k, *effect->peer_status};
        w_at (world, world->now + net_delay (world), deliver_status, sent);
      }
}

/* What a batch has decided when its process stands still leaves when that is over. */
typedef struct {
  int node;
  guint gen;
  guint64 epoch; /* that it had read then */
  GPtrArray *effects;
} Held;

static void
let_go (World *world, gpointer data)
{
  Held *held = data;
  Node *n = &world->nodes[held->node];
  n->epoch_acting = held->epoch;
  for (guint k = 0; n->up && n->gen == held->gen && k < held->effects->len; k++)
    node_perform (world, held->node, held->effects->pdata[k]);
  g_ptr_array_unref (held->effects);
  g_free (held);
}

/* For half of the time a process is stopped in the middle of a batch: with the time already
 * read, and its answers, calls and statuses not sent. */
void
node_freeze (World *world, int i, double for_s)
{
  Node *n = &world->nodes[i];
  if (!n->up || n->frozen > world->now)
    return;
  if (world->controllers) {
    n->frozen = world->now + for_s;
    world->controllers->freeze (world, i, for_s);
    return;
  }
  if (w_rand (world, 0, 1) < 0.5)
    n->freeze_next = for_s;
  else
    n->frozen = world->now + for_s;
}

static void
run_node (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data) % MAX_NODES;
  guint gen = GPOINTER_TO_INT (data) / MAX_NODES;
  Node *n = &world->nodes[i];
  if (!n->up || gen != n->gen)
    return;
  if (n->frozen > world->now) { /* its sockets keep what comes */
    w_at (world, n->frozen, run_node, data);
    return;
  }
  n->stepping = FALSE;
  g_autoptr (GPtrArray) batch = n->queue;
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  sim_log_time = world->now;
  sim_log_node = i;
  /* Clocks of different machines drift, and the time of day wanders. */
  hr_core_step (n->core, world->now * (1 + 0.0002 * i) + 100 * i, 1e9 + world->now + 0.05 * i,
                batch, out);
  for (guint k = 0; k < out->len; k++)
    sim_digest_add (world->digest, world->now, i, out->pdata[k]);
  check_launches (world, i, n->epoch_read, out);
  n->epoch_acting = n->epoch_read;
  n->epoch_read = n->epoch_sent;
  if (n->freeze_next > 0) {
    Held *held = g_new (Held, 1);
    *held = (Held){i, gen, n->epoch_acting, g_ptr_array_ref (out)};
    n->frozen = world->now + n->freeze_next;
    n->freeze_next = 0;
    w_at (world, n->frozen, let_go, held);
    return;
  }
  for (guint k = 0; k < out->len; k++)
    node_perform (world, i, out->pdata[k]);
}

static void
node_tick (World *world, gpointer data)
{
  int i = GPOINTER_TO_INT (data) % MAX_NODES;
  guint gen = GPOINTER_TO_INT (data) / MAX_NODES;
  if (!world->nodes[i].up || gen != world->nodes[i].gen)
    return;
  if (world->nodes[i].frozen > world->now) {
    w_at (world, world->nodes[i].frozen, node_tick, data);
    return;
  }
  node_push (world, i, hr_command_new (HR_COMMAND_TICK));
  w_at (world, world->now + 0.1, node_tick, data);
}

json_t *
node_settings (World *world, int i)
{
  json_t *members = json_array ();
  for (int k = 0; k < world->n; k++)
    if (k != i) {
      g_autofree char *label_row = g_strdup_printf ("c%d", k);
      json_array_append_new (members, json_pack ("{ssssss}", "label", label_row, "area", "z0",
                                                 "endpoint", "127.0.0.1:9"));
    }
  g_autofree char *label = g_strdup_printf ("c%d", i);
  json_t *facts = json_pack (
      "{s[{sssfsfsfsf}]s[{sssssf}]s{sfsfsfsfsf}s{sfsfsfsis{sfsisf}}s{sfsf}}", "teams", "name",
      "crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", world->quota_gpus,
      "objectives", "kind", "finished", "class", "gang", "within_s", 200.0, "workers", "report_s",
      world->report_s, "lease_s", world->lease_s, "gang_wait_s", 30.0, "gang_peer_s", 4.0,
      "cancel_s", world->cancel_s, "state", "rps", 250.0, "write_rps", 60.0, "value_kb",
      world->value_kb, "txn_ops", 12, "next", "value_kb", NEXT_VALUE_KB, "txn_ops", NEXT_TXN_OPS,
      "write_rps", NEXT_WRITE_RPS, "cloud", "rps", 8.0, "list_lag_s", 3.0);
  if (world->guarantee_gpus > 0)
    json_array_append_new (json_object_get (facts, "teams"),
                           json_pack ("{sssfsfsfsf}", "name", "guests", "cpus",
                                      10 * world->guarantee_gpus, "cpus_max", 0.0, "gpus",
                                      world->guarantee_gpus, "gpus_max", 0.0));
  return json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front", "127.0.0.1:1",
                    "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3", "state",
                    "127.0.0.1:4", "members", members, "facts", facts);
}

/* Reads the settings as its process does, so that the policy's figures are known. */
static void
read_settings (World *world, int i)
{
  Node *n = &world->nodes[i];
  json_t *root = node_settings (world, i);
  g_autoptr (GError) error = NULL;
  hr_names_init (&n->names);
  n->set = hr_settings_parse (root, &n->names, &error);
  if (!n->set)
    g_error ("the simulated settings: %s", error->message);
  json_decref (root);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (n->set, vars);
  if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &world->pol, &error))
    g_error ("the policy: %s", error->message);
  if (world->machines_per_part > 0)
    world->pol.machines_per_part = world->machines_per_part;
}

static void
start_core (World *world, int i)
{
  Node *n = &world->nodes[i];
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  n->stepping = FALSE;
  n->incarnation = g_strdup_printf ("%d-%u", i, n->gen);
  n->core = hr_core_new (n->set, &world->pol, &n->names, n->incarnation, g_rand_int (world->rand));
  hr_core_set_supported_format (n->core, n->speaks);
  node_tick (world, GINT_TO_POINTER (i + (int)n->gen * MAX_NODES));
}

void
node_start (World *world, int i)
{
  Node *n = &world->nodes[i];
  if (n->up)
    return;
  read_settings (world, i);
  n->up = TRUE;
  n->gen++;
  n->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)req_unref);
  n->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->heard_before = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  n->readings = g_array_new (FALSE, FALSE, sizeof (Reading));
  n->frozen = n->freeze_next = 0;
  n->epoch_sent = n->epoch_read = n->epoch_acting = 0;
  n->store_at = world->now;
  if (world->controllers)
    world->controllers->start (world, i);
  else
    start_core (world, i);
}

static void
start_due (World *world, gpointer node)
{
  node_start (world, GPOINTER_TO_INT (node));
}

void
node_start_at (World *world, int i, double at)
{
  w_at (world, at, start_due, GINT_TO_POINTER (i));
}

void
node_kill (World *world, int i)
{
  Node *n = &world->nodes[i];
  if (!n->up)
    return;
  n->up = FALSE;
  /* Connections reset: whoever waits for an answer learns at once that none comes. */
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, n->open);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    w_answer (world, value, 0, NULL);
  g_hash_table_unref (n->open);
  g_hash_table_unref (n->heard);
  g_hash_table_unref (n->heard_before);
  g_array_unref (n->readings);
  g_clear_pointer (&n->incarnation, g_free);
  if (world->controllers)
    world->controllers->end (world, i);
  else {
    g_ptr_array_unref (n->queue);
    hr_core_free (n->core);
  }
  hr_settings_free (n->set);
  hr_names_clear (&n->names);
}

static void
second (World *world, gpointer data G_GNUC_UNUSED)
{
  check_periodically (world);
  w_at (world, world->now + 0.5, second, NULL);
}

World *
world_prepare (guint32 seed, int nodes)
{
  World *world = g_new0 (World, 1);
  world->n = nodes;
  world->report_s = 2.5;
  world->lease_s = 14;
  world->cancel_s = 36;
  world->rand = g_rand_new_with_seed (seed);
  world->digest = sim_digest_new ();
  world->events = g_sequence_new (g_free);
  world->broken = g_ptr_array_new_with_free_func (g_free);
  world->loss = 0.002;
  world->dup = 0.004;
  world->late = 60;
  world->value_kb = 4;
  for (int i = 0; i < world->n; i++)
    world->nodes[i].speaks = HR_NEWEST_RECORD_FORMAT;
  fault_injection_init (world, seed);
  store_init (world);
  cloud_init (world);
  return world;
}

void
world_begin (World *world)
{
  for (int i = 0; i < world->n; i++)
    node_start (world, i);
  w_at (world, 0.5, second, NULL);
}

World *
world_new (guint32 seed, int nodes)
{
  World *world = world_prepare (seed, nodes);
  world_begin (world);
  return world;
}

void
world_restart (World *world)
{
  for (int i = 0; i < world->n; i++) {
    node_kill (world, i);
    node_start (world, i);
  }
}

void
world_run (World *world, double until)
{
  while (!g_sequence_is_empty (world->events)) {
    GSequenceIter *iter = g_sequence_get_begin_iter (world->events);
    Event *event = g_sequence_get (iter);
    if (event->t > until)
      break;
    world->now = MAX (world->now, event->t);
    SimCallback callback = event->fn;
    gpointer data = event->data;
    g_sequence_remove (iter);
    callback (world, data);
  }
  world->now = until;
}

void
world_free (World *world)
{
  for (int i = 0; i < world->n; i++)
    node_kill (world, i);
  fault_injection_free (world);
  store_free (world);
  cloud_free (world);
  if (world->jobs)
    users_free (world);
  g_sequence_free (world->events);
  g_ptr_array_unref (world->broken);
  g_rand_free (world->rand);
  sim_digest_finish (world->digest);
  g_free (world);
}
