/* Transactions on their way to the state service: queued by kind, sent within this node's share of
 * the allowance for changes. */
#include "coordination/state.h"
#include "protocol/json_util.h"

#define MAX_WRITES_OUT 8

char *
hr_job_key (const HrJob *j)
{
  return g_strconcat ("h/j/", j->id, NULL);
}

char *
hr_page_key (const HrJob *j, guint page)
{
  return hr_page_key_of (j, j->resplit ? j->per_page : 0, page);
}

char *
hr_page_key_of (const HrJob *j, guint per_page, guint page)
{
  return per_page ? g_strdup_printf ("h/u/%s/%u/%u", j->id, per_page, page)
                  : g_strdup_printf ("h/t/%s/%u", j->id, page);
}

json_t *
hr_cond (json_t *when, const char *path, guint64 stamp)
{
  json_array_append_new (when, json_pack ("{sssI}", "path", path, "stamp", (json_int_t)stamp));
  return when;
}

json_t *
hr_set (json_t *writes, const char *path, char *value_text, guint64 claim)
{
  json_t *v = json_loads (value_text, JSON_DECODE_ANY, NULL);
  json_t *o = json_pack ("{ssso}", "set", path, "value", v);
  if (claim)
    json_object_set_new (o, "claim", json_integer (claim));
  json_array_append_new (writes, o);
  g_free (value_text);
  return writes;
}

void
hr_commit (HrCore *c, HrTxnKind kind, json_t *when, json_t *writes, guint changes, double timeout,
           HrResultFn fn, gpointer data)
{
  HrTxn *t = g_new0 (HrTxn, 1);
  t->when = when;
  t->writes = writes;
  t->changes = changes;
  t->timeout = timeout;
  t->fn = fn;
  t->data = data;
  g_queue_push_tail (&c->txns[kind], t);
}

static void
on_commit (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  HrTxn *t = data;
  c->txns_out--;
  if (status == 429) { /* the allowance is shared: step back a little, out of step */
    c->write_pause = c->now + g_rand_double_range (c->rand, 0.05, 0.15);
    /* Users of other members come first, whose writes we do not see. */
    c->books_pause = c->now + g_rand_double_range (c->rand, 0.3, 0.6);
    /* It is used up: what was saved here for a burst would only be refused. */
    c->write_bucket.tokens = 0;
    c->write_bucket.at = c->now;
  }
  t->fn (c, status, body, sent, t->data);
  json_decref (t->when);
  json_decref (t->writes);
  g_free (t);
}

void
hr_transactions_send (HrCore *c)
{
  static const double keep[HR_TXN_KINDS] = {0, 0.05, 0.3};
  for (int k = 0; k < HR_TXN_KINDS; k++)
    while (!g_queue_is_empty (&c->txns[k]) && c->txns_out < MAX_WRITES_OUT &&
           c->now >= (k == HR_TXN_USER ? c->write_pause : MAX (c->write_pause, c->books_pause))) {
      HrTxn *t = g_queue_peek_head (&c->txns[k]);
      if (!hr_bucket_take (&c->write_bucket, c->now, t->changes, keep[k] * c->write_bucket.burst))
        break;
      g_queue_pop_head (&c->txns[k]);
      c->txns_out++;
      json_t *o = json_pack ("{sOsO}", "when", t->when, "writes", t->writes);
      hr_call (c, HR_TO_STORE, NULL, HR_POST, g_strdup ("/commit"), hr_json_take_text (o),
               t->timeout, on_commit, t);
    }
}
