/* Requests and answers on their way: delays, cuts, losses, copies. */
#include "sim/messages.h"
#include <string.h>

double
net_delay (World *w)
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
  guint64 store_revision = json_integer_value (json_object_get (o, "epoch"));
  if (store_revision >= n->behind_epoch)
    n->behind_at = 0;
  n->epoch_sent = MAX (n->epoch_sent, store_revision);
  Reading reading = {w->now, n->epoch_sent};
  g_array_append_val (n->readings, reading);
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
        HrCommand *c = hr_command_new (HR_COMMAND_RESULT);
        c->id = r->call;
        c->status = a->status;
        if (r->target == HR_TO_STORE && a->status == 200)
          served (w, r, a->body);
        if (r->target == HR_TO_STORE && strcmp (r->path, "/commit") == 0)
          troubles_moment (w, ON_WRITE_ANSWERED);
        if (a->body)
          c->body = g_bytes_new (a->body, strlen (a->body));
        node_push (w, r->node, c);
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
  double cut = cut_until (w, r, &hold), t = w->now + net_delay (w) + troubles_delay (w, r);
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
    t = cut + net_delay (w);
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
      HrCommand *c = hr_command_new (HR_COMMAND_REQUEST);
      c->id = ++n->next;
      c->method = r->method;
      c->path = g_strdup (r->path);
      c->body = r->body ? g_bytes_new (r->body, strlen (r->body)) : NULL;
      guint64 *key = g_new (guint64, 1);
      *key = c->id;
      r->refs++;
      g_hash_table_insert (n->open, key, r);
      if (w->controllers && r->machine >= 0)
        node_note_report (w, r->to, c->id, ((SMachine *)w->machines->pdata[r->machine])->name);
      node_push (w, r->to, c);
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

void
req_send (World *w, Req *r)
{
  gboolean hold;
  double cut = cut_until (w, r, &hold), t = w->now + net_delay (w);
  if (r->node >= 0 && r->target == HR_TO_STORE && strcmp (r->path, "/commit") == 0)
    troubles_moment (w, ON_WRITE_SENT);
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
    t = cut + net_delay (w);
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
  req_send (w, r);
  req_unref (r);
}
