#include "sim/messages.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

double sim_log_time;
int sim_log_node;

typedef struct {
  double t;
  guint64 seq;
  WFn fn;
  gpointer data;
} Event;

static int
by_time (gconstpointer a, gconstpointer b, gpointer d)
{
  const Event *x = a, *y = b;
  return x->t < y->t ? -1 : x->t > y->t ? 1 : x->seq < y->seq ? -1 : x->seq > y->seq;
}

void
w_at (World *w, double t, WFn fn, gpointer data)
{
  Event *e = g_new (Event, 1);
  *e = (Event){t, ++w->seq, fn, data};
  g_sequence_insert_sorted (w->events, e, by_time, NULL);
}

void
w_broken (World *w, const char *rule, const char *fmt, ...)
{
  va_list ap;
  va_start (ap, fmt);
  g_autofree char *what = g_strdup_vprintf (fmt, ap);
  va_end (ap);
  g_ptr_array_add (w->broken, g_strdup_printf ("%.3f %s: %s", w->now, rule, what));
}

double
w_rand (World *w, double lo, double hi)
{
  return g_rand_double_range (w->rand, lo, hi);
}

static void run_node (World *w, gpointer p);

void
node_push (World *w, int i, HrCommand *cmd)
{
  Node *n = &w->nodes[i];
  if (w->controllers) {
    w->controllers->push (w, i, cmd);
    return;
  }
  g_ptr_array_add (n->queue, cmd);
  if (!n->stepping) {
    n->stepping = TRUE;
    w_at (w, w->now + 0.002, run_node, GINT_TO_POINTER (i + (int)n->gen * MAX_NODES));
  }
}

gboolean
node_alone (World *w, int i)
{
  Node *n = &w->nodes[i];
  double allowed = w->pol.alone_s + 4;
  return w->n > 1 && n->cut_store > w->now && n->cut_peers > w->now &&
         w->now - n->alone_at > allowed && w->now - n->store_at > allowed;
}

typedef struct {
  int to;
  HrPeerStatus hint;
} Hint;

static void
deliver_hint (World *w, gpointer p)
{
  Hint *h = p;
  if (w->nodes[h->to].up) {
    HrCommand *c = hr_command_new (HR_COMMAND_PEER_STATUS);
    *c->peer_status = h->hint;
    node_push (w, h->to, c);
  }
  g_free (h);
}

void
node_perform (World *w, int i, HrEffect *e)
{
  Node *n = &w->nodes[i];
  if (e->kind == HR_EFFECT_REPLY) {
    Req *r = g_hash_table_lookup (n->open, &e->id);
    if (r) {
      if (e->status >= 500 && e->status != 503)
        w_broken (w, "status", "%s answered %d", r->path, e->status);
      if (e->status == 200 && strcmp (r->path, "/hello") == 0) {
        node_check_launches (w, i, e->body);
        node_check_order (w, i, e->id, r->body, e->body);
        if (!r->answered)
          node_check_kills (w, i, r->body, e->body);
        troubles_reply (w, i, e->body);
      }
      /* An owner that has not read what others decided may have been replaced. */
      if (e->status == 200 && strcmp (r->path, "/hello") == 0 && !r->answered && n->behind_at &&
          w->now - n->behind_at > w->pol.hold_s + 3)
        w_broken (w, "hold",
                  "c%d answers a worker %.1f s after another decided what it has not read", i,
                  w->now - n->behind_at);
      /* Others lead by then; workers that still hear this one do not look for them. */
      if (e->status == 200 && strcmp (r->path, "/hello") == 0 && !r->answered && node_alone (w, i))
        w_broken (w, "alone", "c%d answers a worker %.1f s after it was cut off", i,
                  w->now - n->alone_at);
      w_answer (w, r, e->status, g_strdup (e->body));
      g_hash_table_remove (n->open, &e->id);
    }
  } else if (e->kind == HR_EFFECT_CALL) {
    if (e->target == HR_TO_WORKER)
      node_check_launches (w, i, e->body);
    Req *r = g_new0 (Req, 1);
    r->node = i;
    r->gen = n->gen;
    r->call = e->id;
    r->target = e->target;
    r->addr = g_strdup (e->addr);
    r->method = e->method;
    r->path = g_strdup (e->path);
    r->body = g_strdup (e->body);
    r->timeout = e->timeout_s;
    r->machine = -1;
    r->refs = 1;
    req_send (w, r);
    req_unref (r);
  } else
    for (int k = 0; k < w->n; k++)
      if (k != i && n->cut_peers <= w->now && w->nodes[k].cut_peers <= w->now) {
        Hint *h = g_new (Hint, 1);
        *h = (Hint){k, *e->peer_status};
        w_at (w, w->now + net_delay (w), deliver_hint, h);
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
let_go (World *w, gpointer p)
{
  Held *h = p;
  Node *n = &w->nodes[h->node];
  n->epoch_acting = h->epoch;
  for (guint k = 0; n->up && n->gen == h->gen && k < h->effects->len; k++)
    node_perform (w, h->node, h->effects->pdata[k]);
  g_ptr_array_unref (h->effects);
  g_free (h);
}

/* For half of the time a process is stopped in the middle of a batch: with the time already
 * read, and its answers, calls and hints not sent. */
void
node_freeze (World *w, int i, double for_s)
{
  Node *n = &w->nodes[i];
  if (!n->up || n->frozen > w->now)
    return;
  if (w->controllers) {
    n->frozen = w->now + for_s;
    w->controllers->freeze (w, i, for_s);
    return;
  }
  if (w_rand (w, 0, 1) < 0.5)
    n->freeze_next = for_s;
  else
    n->frozen = w->now + for_s;
}

static void
run_node (World *w, gpointer p)
{
  int i = GPOINTER_TO_INT (p) % MAX_NODES;
  guint gen = GPOINTER_TO_INT (p) / MAX_NODES;
  Node *n = &w->nodes[i];
  if (!n->up || gen != n->gen)
    return;
  if (n->frozen > w->now) { /* its sockets keep what comes */
    w_at (w, n->frozen, run_node, p);
    return;
  }
  n->stepping = FALSE;
  g_autoptr (GPtrArray) batch = n->queue;
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
  sim_log_time = w->now;
  sim_log_node = i;
  /* Clocks of different machines drift, and the time of day wanders. */
  hr_core_step (n->core, w->now * (1 + 0.0002 * i) + 100 * i, 1e9 + w->now + 0.05 * i, batch, out);
  for (guint k = 0; k < out->len; k++)
    sim_digest_add (w->digest, w->now, i, out->pdata[k]);
  judge_launches (w, i, n->epoch_read, out);
  n->epoch_acting = n->epoch_read;
  n->epoch_read = n->epoch_sent;
  if (n->freeze_next > 0) {
    Held *h = g_new (Held, 1);
    *h = (Held){i, gen, n->epoch_acting, g_ptr_array_ref (out)};
    n->frozen = w->now + n->freeze_next;
    n->freeze_next = 0;
    w_at (w, n->frozen, let_go, h);
    return;
  }
  for (guint k = 0; k < out->len; k++)
    node_perform (w, i, out->pdata[k]);
}

static void
node_tick (World *w, gpointer p)
{
  int i = GPOINTER_TO_INT (p) % MAX_NODES;
  guint gen = GPOINTER_TO_INT (p) / MAX_NODES;
  if (!w->nodes[i].up || gen != w->nodes[i].gen)
    return;
  if (w->nodes[i].frozen > w->now) {
    w_at (w, w->nodes[i].frozen, node_tick, p);
    return;
  }
  node_push (w, i, hr_command_new (HR_COMMAND_TICK));
  w_at (w, w->now + 0.1, node_tick, p);
}

json_t *
node_settings (World *w, int i)
{
  json_t *members = json_array ();
  for (int k = 0; k < w->n; k++)
    if (k != i) {
      g_autofree char *l = g_strdup_printf ("c%d", k);
      json_array_append_new (
          members, json_pack ("{ssssss}", "label", l, "area", "z0", "endpoint", "127.0.0.1:9"));
    }
  g_autofree char *label = g_strdup_printf ("c%d", i);
  json_t *facts = json_pack (
      "{s[{sssfsfsfsf}]s[{sssssf}]s{sfsfsfsfsf}s{sfsfsfsis{sfsisf}}s{sfsf}}", "teams", "name",
      "crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", w->quota_gpus, "objectives",
      "kind", "finished", "class", "gang", "within_s", 200.0, "workers", "report_s", w->report_s,
      "lease_s", w->lease_s, "gang_wait_s", 30.0, "gang_peer_s", 4.0, "cancel_s", w->cancel_s,
      "state", "rps", 250.0, "write_rps", 60.0, "value_kb", w->value_kb, "txn_ops", 12, "next",
      "value_kb", NEXT_VALUE_KB, "txn_ops", NEXT_TXN_OPS, "write_rps", NEXT_WRITE_RPS, "cloud",
      "rps", 8.0, "list_lag_s", 3.0);
  if (w->guarantee_gpus > 0)
    json_array_append_new (json_object_get (facts, "teams"),
                           json_pack ("{sssfsfsfsf}", "name", "guests", "cpus",
                                      10 * w->guarantee_gpus, "cpus_max", 0.0, "gpus",
                                      w->guarantee_gpus, "gpus_max", 0.0));
  return json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front", "127.0.0.1:1",
                    "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3", "state",
                    "127.0.0.1:4", "members", members, "facts", facts);
}

/* Reads the settings as its process does, so that the policy's figures are known. */
static void
read_settings (World *w, int i)
{
  Node *n = &w->nodes[i];
  json_t *root = node_settings (w, i);
  g_autoptr (GError) e = NULL;
  hr_names_init (&n->names);
  n->set = hr_settings_parse (root, &n->names, &e);
  if (!n->set)
    g_error ("the simulated settings: %s", e->message);
  json_decref (root);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (n->set, vars);
  if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &w->pol, &e))
    g_error ("the policy: %s", e->message);
  if (w->machines_per_part > 0)
    w->pol.machines_per_part = w->machines_per_part;
}

static void
start_core (World *w, int i)
{
  Node *n = &w->nodes[i];
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  n->stepping = FALSE;
  n->incarnation = g_strdup_printf ("%d-%u", i, n->gen);
  n->core = hr_core_new (n->set, &w->pol, &n->names, n->incarnation, g_rand_int (w->rand));
  hr_core_set_supported_format (n->core, n->speaks);
  node_tick (w, GINT_TO_POINTER (i + (int)n->gen * MAX_NODES));
}

void
node_start (World *w, int i)
{
  Node *n = &w->nodes[i];
  if (n->up)
    return;
  read_settings (w, i);
  n->up = TRUE;
  n->gen++;
  n->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)req_unref);
  n->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->heard_before = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  n->readings = g_array_new (FALSE, FALSE, sizeof (Reading));
  n->frozen = n->freeze_next = 0;
  n->epoch_sent = n->epoch_read = n->epoch_acting = 0;
  n->store_at = w->now;
  if (w->controllers)
    w->controllers->start (w, i);
  else
    start_core (w, i);
}

static void
start_due (World *w, gpointer node)
{
  node_start (w, GPOINTER_TO_INT (node));
}

void
node_start_at (World *w, int i, double at)
{
  w_at (w, at, start_due, GINT_TO_POINTER (i));
}

void
node_kill (World *w, int i)
{
  Node *n = &w->nodes[i];
  if (!n->up)
    return;
  n->up = FALSE;
  /* Connections reset: whoever waits for an answer learns at once that none comes. */
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, n->open);
  while (g_hash_table_iter_next (&it, NULL, &v))
    w_answer (w, v, 0, NULL);
  g_hash_table_unref (n->open);
  g_hash_table_unref (n->heard);
  g_hash_table_unref (n->heard_before);
  g_array_unref (n->readings);
  g_clear_pointer (&n->incarnation, g_free);
  if (w->controllers)
    w->controllers->end (w, i);
  else {
    g_ptr_array_unref (n->queue);
    hr_core_free (n->core);
  }
  hr_settings_free (n->set);
  hr_names_clear (&n->names);
}

static void
second (World *w, gpointer p)
{
  judge_tick (w);
  w_at (w, w->now + 0.5, second, NULL);
}

World *
world_prepare (guint32 seed, int nodes)
{
  World *w = g_new0 (World, 1);
  w->n = nodes;
  w->report_s = 2.5;
  w->lease_s = 14;
  w->cancel_s = 36;
  w->rand = g_rand_new_with_seed (seed);
  w->digest = sim_digest_new ();
  w->events = g_sequence_new (g_free);
  w->broken = g_ptr_array_new_with_free_func (g_free);
  w->loss = 0.002;
  w->dup = 0.004;
  w->late = 60;
  w->value_kb = 4;
  for (int i = 0; i < w->n; i++)
    w->nodes[i].speaks = HR_FORMAT;
  troubles_init (w, seed);
  store_init (w);
  cloud_init (w);
  return w;
}

void
world_begin (World *w)
{
  for (int i = 0; i < w->n; i++)
    node_start (w, i);
  w_at (w, 0.5, second, NULL);
}

World *
world_new (guint32 seed, int nodes)
{
  World *w = world_prepare (seed, nodes);
  world_begin (w);
  return w;
}

void
world_restart (World *w)
{
  for (int i = 0; i < w->n; i++) {
    node_kill (w, i);
    node_start (w, i);
  }
}

void
world_run (World *w, double until)
{
  while (!g_sequence_is_empty (w->events)) {
    GSequenceIter *it = g_sequence_get_begin_iter (w->events);
    Event *e = g_sequence_get (it);
    if (e->t > until)
      break;
    w->now = MAX (w->now, e->t);
    WFn fn = e->fn;
    gpointer data = e->data;
    g_sequence_remove (it);
    fn (w, data);
  }
  w->now = until;
}

void
world_free (World *w)
{
  for (int i = 0; i < w->n; i++)
    node_kill (w, i);
  troubles_free (w);
  store_free (w);
  cloud_free (w);
  if (w->jobs)
    users_free (w);
  g_sequence_free (w->events);
  g_ptr_array_unref (w->broken);
  g_rand_free (w->rand);
  sim_digest_finish (w->digest);
  g_free (w);
}
