#include "sim/world.h"
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

static double
delay (World *w)
{
  double usual = w_rand (w, 0, 1) < 0.02 ? w_rand (w, 0.1, 0.5) : w_rand (w, 0.001, 0.01);
  return usual + troubles_link_delay (w);
}

void
req_unref (Req *r)
{
  if (--r->refs)
    return;
  g_free (r->addr);
  g_free (r->path);
  g_free (r->body);
  g_free (r);
}

static void run_node (World *w, gpointer p);

static void
push (World *w, int i, HrCommand *cmd)
{
  Node *n = &w->nodes[i];
  g_ptr_array_add (n->queue, cmd);
  if (!n->stepping) {
    n->stepping = TRUE;
    w_at (w, w->now + 0.002, run_node, GINT_TO_POINTER (i + (int)n->gen * MAX_NODES));
  }
}

/* ---- answers ---- */

typedef struct {
  Req *r;
  int status;
  char *body;
} Answer;

/* The state service answered this node; has it read what others decided? */
static void
served (World *w, const Req *r, const char *body)
{
  Node *n = &w->nodes[r->node];
  n->store_at = w->now;
  if (!g_str_has_prefix (r->path, "/changes"))
    return;
  json_t *o = json_loads (body, 0, NULL);
  guint64 epoch = json_integer_value (json_object_get (o, "epoch"));
  if (epoch >= n->behind_epoch)
    n->behind_at = 0;
  n->epoch_sent = MAX (n->epoch_sent, epoch);
  json_decref (o);
}

static void
deliver_answer (World *w, gpointer p)
{
  Answer *a = p;
  Req *r = a->r;
  if (!r->answered) {
    r->answered = TRUE;
    if (r->node >= 0) {
      Node *n = &w->nodes[r->node];
      if (n->up && n->gen == r->gen) {
        HrCommand *c = hr_command_new (HR_C_RESULT);
        c->id = r->call;
        c->status = a->status;
        if (r->target == HR_TO_STORE && a->status == 200)
          served (w, r, a->body);
        if (a->body)
          c->body = g_bytes_new (a->body, strlen (a->body));
        push (w, r->node, c);
      }
    } else {
      json_t *v = a->body ? json_loads (a->body, JSON_DECODE_ANY, NULL) : NULL;
      r->done (w, a->status, v, r->data);
      json_decref (v);
    }
  }
  req_unref (r);
  g_free (a->body);
  g_free (a);
}

static SMachine *
machine_at (World *w, const char *addr)
{
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    if (strcmp (m->addr, addr) == 0)
      return m;
  }
  return NULL;
}

/* Until when the way between a controller and what it talks to is cut. */
static double
cut_until (World *w, Req *r, gboolean *hold)
{
  Node *n = &w->nodes[r->node >= 0 ? r->node : r->to];
  double t = 0;
  *hold = n->hold;
  SMachine *worker = r->machine >= 0                             ? w->machines->pdata[r->machine]
                     : r->target == HR_TO_WORKER && r->node >= 0 ? machine_at (w, r->addr)
                                                                 : NULL;
  double zone = troubles_zone_cut (w, r, worker);
  if (zone > w->now) {
    *hold = w->troubles.zone_hold;
    return zone;
  }
  if (r->node < 0) {
    t = r->machine >= 0 ? n->cut_workers : n->cut_users;
    if (r->machine >= 0) {
      SMachine *m = w->machines->pdata[r->machine];
      if (m->cut > t) {
        t = m->cut;
        *hold = m->hold;
      }
    }
  } else if (r->target == HR_TO_STORE)
    t = n->cut_store;
  else if (r->target == HR_TO_WORKER) {
    SMachine *m = machine_at (w, r->addr);
    t = n->cut_workers;
    if (m && m->cut > t) {
      t = m->cut;
      *hold = m->hold;
    }
  }
  return t;
}

void
w_answer (World *w, Req *r, int status, char *body)
{
  gboolean hold;
  double cut = cut_until (w, r, &hold), t = w->now + delay (w) + troubles_delay (w, r);
  if (r->answer_lost || (r->node < 0 && r->machine >= 0 &&
                         ((SMachine *)w->machines->pdata[r->machine])->deaf > w->now)) {
    g_free (body);
    return;
  }
  if (cut > w->now) {
    if (!hold) {
      g_free (body);
      return;
    }
    t = cut + delay (w);
  }
  if (r->answer_lost || (!w->calm && w_rand (w, 0, 1) < w->loss)) {
    g_free (body);
    return;
  }
  Answer *a = g_new (Answer, 1);
  *a = (Answer){r, status, body};
  r->refs++;
  w_at (w, t, deliver_answer, a);
}

/* ---- requests ---- */

void
req_arrive (World *w, gpointer p)
{
  Req *r = p;
  if (r->node >= 0) {
    if (r->target == HR_TO_STORE)
      store_request (w, r);
    else if (r->target == HR_TO_CLOUD)
      cloud_request (w, r);
    else
      worker_request (w, r);
  } else {
    Node *n = &w->nodes[r->to];
    if (!n->up)
      w_answer (w, r, 0, NULL); /* refused */
    else {
      HrCommand *c = hr_command_new (HR_C_REQUEST);
      c->id = ++n->next;
      c->method = r->method;
      c->path = g_strdup (r->path);
      c->body = r->body ? g_bytes_new (r->body, strlen (r->body)) : NULL;
      guint64 *key = g_new (guint64, 1);
      *key = c->id;
      r->refs++;
      g_hash_table_insert (n->open, key, r);
      push (w, r->to, c);
    }
  }
  req_unref (r);
}

static void
expire (World *w, gpointer p)
{
  Req *r = p;
  Answer *a = g_new0 (Answer, 1);
  a->r = r;
  deliver_answer (w, a); /* no answer came; drops the reference too */
}

Req *
req_copy (const Req *r, int to)
{
  Req *c = g_new0 (Req, 1);
  c->node = -1;
  c->to = to;
  c->machine = r->machine;
  c->method = r->method;
  c->path = g_strdup (r->path);
  c->body = g_strdup (r->body);
  c->answered = TRUE;
  c->refs = 1;
  return c;
}

void
req_stray (World *w, Req *r, double t)
{
  w->stray_until = MAX (w->stray_until, t);
  w_at (w, t, req_arrive, r);
}

/* A copy of a report comes seconds to well over a lease later. Nobody waits for its answer. */
static void
late_copy (World *w, Req *r)
{
  req_stray (w, req_copy (r, r->to), w->now + w_rand (w, 1, 90));
}

static void
send_off (World *w, Req *r)
{
  gboolean hold;
  double cut = cut_until (w, r, &hold), t = w->now + delay (w);
  r->refs++;
  w_at (w, w->now + r->timeout, expire, r);
  SMachine *worker = r->node >= 0 && r->target == HR_TO_WORKER ? machine_at (w, r->addr) : NULL;
  if (worker && worker->deaf > w->now)
    return;
  if (!w->calm && r->node < 0 && r->machine >= 0 && w_rand (w, 0, 1) < w->copies)
    late_copy (w, r);
  if (cut > w->now) {
    if (!hold)
      return;
    t = cut + delay (w);
  }
  if (troubles_take (w, r, t))
    return;
  if (w->choose) {
    w_meet_fate (w, r, w->choose (w, r, w->choose_data), t);
    return;
  }
  if (!w->calm && worker && w->late_orders > 0 && w_rand (w, 0, 1) < w->late_orders) {
    r->refs++;
    req_stray (w, r, t + w_rand (w, 30, 75));
    return;
  }
  if (!w->calm && w_rand (w, 0, 1) < w->loss) {
    if (r->node >= 0 && w_rand (w, 0, 1) < 0.5) { /* no answer, but carried out later */
      r->refs++;
      req_stray (w, r, t + w_rand (w, 3, w->late));
    }
    return;
  }
  r->refs++;
  w_at (w, t, req_arrive, r);
  /* Late copies: what was sent once may be carried out again, minutes later. */
  if (!w->calm && r->node >= 0 && w_rand (w, 0, 1) < w->dup) {
    r->refs++;
    req_stray (w, r, t + w_rand (w, 0.05, w->late));
  }
}

void
w_ask (World *w, int node, int machine, HrMethod m, const char *path, char *body, double timeout,
       void (*done) (World *, int, json_t *, gpointer), gpointer data)
{
  Req *r = g_new0 (Req, 1);
  r->node = -1;
  r->to = node;
  r->machine = machine;
  r->method = m;
  r->path = g_strdup (path);
  r->body = body;
  r->timeout = timeout;
  r->done = done;
  r->data = data;
  r->refs = 1;
  send_off (w, r);
  req_unref (r);
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
  HrHint hint;
} Hint;

static void
deliver_hint (World *w, gpointer p)
{
  Hint *h = p;
  if (w->nodes[h->to].up) {
    HrCommand *c = hr_command_new (HR_C_HINT);
    c->hint = h->hint;
    push (w, h->to, c);
  }
  g_free (h);
}

/* A process launches only what it recorded itself: what an earlier owner recorded
 * may have ended since, and others may use its place. */
static void
check_launches (World *w, int i, const char *text)
{
  json_t *o = json_loads (text, 0, NULL), *e;
  size_t k;
  g_autofree char *inc = g_strdup_printf ("%d-%u", i, w->nodes[i].gen);
  json_array_foreach (json_object_get (o, "orders"), k, e)
  {
    g_autofree char *key =
        g_strdup_printf ("%s/%d", json_string_value (json_object_get (e, "piece")),
                         (int)json_integer_value (json_object_get (e, "try")));
    const char *by = g_hash_table_lookup (w->assigned, key);
    if (strcmp (json_string_value (json_object_get (e, "verb")), "launch") == 0 &&
        g_strcmp0 (by, inc) != 0)
      w_broken (w, "launch", "c%d launches %s, recorded by %s", i, key, by ? by : "nobody");
  }
  json_decref (o);
}

/* Reports are ordered by session and number, not by arrival: one of an earlier session
 * gets no answer that counts, an overtaken one no orders. */
static void
check_order (World *w, int i, const char *report, const char *answer)
{
  json_t *r = json_loads (report, 0, NULL), *a = json_loads (answer, 0, NULL);
  guint64 session = json_integer_value (json_object_get (r, "tenure")),
          n = json_integer_value (json_object_get (r, "tally"));
  const char *name = json_string_value (json_object_get (r, "rockhand"));
  guint64 *seen = g_hash_table_lookup (w->nodes[i].heard, name);
  if (!seen) {
    seen = g_new0 (guint64, 2);
    g_hash_table_insert (w->nodes[i].heard, g_strdup (name), seen);
  }
  if (session < seen[0])
    w_broken (w, "order", "c%d answers %s in a session that is over", i, name);
  else if (session == seen[0] && n < seen[1] && json_array_size (json_object_get (a, "orders")))
    w_broken (w, "order", "c%d gives orders on an overtaken report of %s", i, name);
  if (session > seen[0] || (session == seen[0] && n > seen[1])) {
    seen[0] = session;
    seen[1] = n;
  }
  json_decref (r);
  json_decref (a);
}

/* What a worker shows running of a job that was withdrawn longer ago than an owner may go on
 * without knowing is told to stop in the very answer that renews its lease. */
static void
check_kills (World *w, int i, const char *report, const char *answer)
{
  json_t *r = json_loads (report, 0, NULL), *a = json_loads (answer, 0, NULL), *item, *order;
  size_t k, n;
  guint64 *seen =
      g_hash_table_lookup (w->nodes[i].heard, json_string_value (json_object_get (r, "rockhand")));
  gboolean counts = seen &&
                    seen[0] == (guint64)json_integer_value (json_object_get (r, "tenure")) &&
                    seen[1] == (guint64)json_integer_value (json_object_get (r, "tally")) &&
                    json_integer_value (json_object_get (r, "baton")) ==
                        json_integer_value (json_object_get (a, "baton"));
  json_array_foreach (json_object_get (r, "pieces"), k, item)
  {
    const char *piece = json_string_value (json_object_get (item, "piece"));
    g_autofree char *id = g_strndup (piece, strrchr (piece, '/') - piece);
    guint32 idx;
    SJob *j = job_by_id (w, id, &idx);
    gboolean killed = strcmp (json_string_value (json_object_get (item, "stance")), "exited") == 0;
    json_array_foreach (json_object_get (a, "orders"), n, order) killed |=
        strcmp (json_string_value (json_object_get (order, "verb")), "kill") == 0 &&
        strcmp (json_string_value (json_object_get (order, "piece")), piece) == 0;
    if (counts && j && j->withdrawn_at && w->now - j->withdrawn_at > w->pol.hold_s + 3 && !killed)
      w_broken (w, "hold", "c%d lets %s go on %.1f s after its withdrawal", i, piece,
                w->now - j->withdrawn_at);
  }
  json_decref (r);
  json_decref (a);
}

static void
perform (World *w, int i, HrEffect *e)
{
  Node *n = &w->nodes[i];
  if (e->kind == HR_E_REPLY) {
    Req *r = g_hash_table_lookup (n->open, &e->id);
    if (r) {
      if (e->status >= 500 && e->status != 503)
        w_broken (w, "status", "%s answered %d", r->path, e->status);
      if (e->status == 200 && strcmp (r->path, "/hello") == 0) {
        check_launches (w, i, e->body);
        check_order (w, i, r->body, e->body);
        if (!r->answered)
          check_kills (w, i, r->body, e->body);
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
  } else if (e->kind == HR_E_CALL) {
    if (e->target == HR_TO_WORKER)
      check_launches (w, i, e->body);
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
    send_off (w, r);
    req_unref (r);
  } else
    for (int k = 0; k < w->n; k++)
      if (k != i && n->cut_peers <= w->now && w->nodes[k].cut_peers <= w->now) {
        Hint *h = g_new (Hint, 1);
        *h = (Hint){k, e->hint};
        w_at (w, w->now + delay (w), deliver_hint, h);
      }
}

/* What a batch has decided when its process stands still leaves when that is over. */
typedef struct {
  int node;
  guint gen;
  GPtrArray *effects;
} Held;

static void
let_go (World *w, gpointer p)
{
  Held *h = p;
  Node *n = &w->nodes[h->node];
  for (guint k = 0; n->up && n->gen == h->gen && k < h->effects->len; k++)
    perform (w, h->node, h->effects->pdata[k]);
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
  judge_launches (w, i, n->epoch_read, out);
  n->epoch_read = n->epoch_sent;
  if (n->freeze_next > 0) {
    Held *h = g_new (Held, 1);
    *h = (Held){i, gen, g_ptr_array_ref (out)};
    n->frozen = w->now + n->freeze_next;
    n->freeze_next = 0;
    w_at (w, n->frozen, let_go, h);
    return;
  }
  for (guint k = 0; k < out->len; k++)
    perform (w, i, out->pdata[k]);
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
  push (w, i, hr_command_new (HR_C_TICK));
  w_at (w, w->now + 0.1, node_tick, p);
}

void
node_start (World *w, int i)
{
  Node *n = &w->nodes[i];
  if (n->up)
    return;
  json_t *members = json_array ();
  for (int k = 0; k < w->n; k++)
    if (k != i) {
      g_autofree char *l = g_strdup_printf ("c%d", k);
      json_array_append_new (
          members, json_pack ("{ssssss}", "label", l, "area", "z0", "endpoint", "127.0.0.1:9"));
    }
  g_autofree char *label = g_strdup_printf ("c%d", i);
  json_t *facts =
      json_pack ("{s[{sssfsfsfsf}]s[{sssssf}]s{sfsfsfsfsf}s{sfsfsfsi}s{sfsf}}", "teams", "name",
                 "crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", w->quota_gpus,
                 "objectives", "kind", "finished", "class", "gang", "within_s", 200.0, "workers",
                 "report_s", w->report_s, "lease_s", w->lease_s, "gang_wait_s", 30.0, "gang_peer_s",
                 4.0, "cancel_s", w->cancel_s, "state", "rps", 250.0, "write_rps", 60.0, "value_kb",
                 4.0, "txn_ops", 12, "cloud", "rps", 8.0, "list_lag_s", 3.0);
  if (w->guarantee_gpus > 0)
    json_array_append_new (json_object_get (facts, "teams"),
                           json_pack ("{sssfsfsfsf}", "name", "guests", "cpus",
                                      10 * w->guarantee_gpus, "cpus_max", 0.0, "gpus",
                                      w->guarantee_gpus, "gpus_max", 0.0));
  json_t *root = json_pack ("{sssssssss{ssss}soso}", "label", label, "area", "z0", "front",
                            "127.0.0.1:1", "back", "127.0.0.1:2", "outside", "cloud", "127.0.0.1:3",
                            "state", "127.0.0.1:4", "members", members, "facts", facts);
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
  n->up = TRUE;
  n->gen++;
  n->queue = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  n->open = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)req_unref);
  n->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  n->stepping = FALSE;
  n->frozen = n->freeze_next = 0;
  n->epoch_sent = n->epoch_read = 0;
  n->store_at = w->now;
  g_autofree char *inc = g_strdup_printf ("%d-%u", i, n->gen);
  n->core = hr_core_new (n->set, &w->pol, &n->names, inc, g_rand_int (w->rand));
  node_tick (w, GINT_TO_POINTER (i + (int)n->gen * MAX_NODES));
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
  g_ptr_array_unref (n->queue);
  hr_core_free (n->core);
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
world_new (guint32 seed, int nodes)
{
  World *w = g_new0 (World, 1);
  w->n = nodes;
  w->report_s = 2.5;
  w->lease_s = 14;
  w->cancel_s = 36;
  w->rand = g_rand_new_with_seed (seed);
  w->events = g_sequence_new (g_free);
  w->broken = g_ptr_array_new_with_free_func (g_free);
  w->loss = 0.002;
  w->dup = 0.004;
  w->late = 60;
  troubles_init (w, seed);
  store_init (w);
  cloud_init (w);
  for (int i = 0; i < w->n; i++)
    node_start (w, i);
  w_at (w, 0.5, second, NULL);
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
  g_free (w);
}
