/* Transactions on their way to the state service: queued by kind, sent within this node's share of
 * the allowance for changes. */
#include "coordination/state.h"
#include "protocol/json_util.h"

#define MAX_TRANSACTIONS_IN_FLIGHT 8

char *
hr_job_record_key (const HrJob *j)
{
  return g_strconcat ("h/j/", j->id, NULL);
}

char *
hr_record_page_key (const HrJob *j, guint page)
{
  return hr_record_page_key_of (j, j->record.sized_page_keys ? j->record.tasks_per_page : 0, page);
}

char *
hr_record_page_key_of (const HrJob *j, guint tasks_per_page, guint page)
{
  return tasks_per_page ? g_strdup_printf ("h/u/%s/%u/%u", j->id, tasks_per_page, page)
                        : g_strdup_printf ("h/t/%s/%u", j->id, page);
}

json_t *
hr_transaction_require (json_t *when, const char *path, guint64 revision)
{
  json_array_append_new (when, json_pack ("{sssI}", "path", path, "stamp", (json_int_t)revision));
  return when;
}

json_t *
hr_transaction_put (json_t *writes, const char *path, char *value_text, guint64 claim)
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
hr_transaction_submit (HrCore *c, HrTransactionKind kind, json_t *when, json_t *writes,
                       guint changes, double timeout, HrResultCallback fn, gpointer data)
{
  HrTransaction *t = g_new0 (HrTransaction, 1);
  t->conditions = when;
  t->writes = writes;
  t->changes = changes;
  t->timeout_s = timeout;
  t->callback = fn;
  t->data = data;
  g_queue_push_tail (&c->store.transactions.queues[kind], t);
}

static void
on_commit (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  HrTransaction *t = data;
  c->store.transactions.in_flight--;
  if (status == 429) { /* the allowance is shared: step back a little, out of step */
    c->store.transactions.paused_until = c->now + g_rand_double_range (c->random, 0.05, 0.15);
    /* Users of other members come first, whose writes we do not see. */
    c->store.transactions.background_paused_until =
        c->now + g_rand_double_range (c->random, 0.3, 0.6);
    /* It is used up: what was saved here for a burst would only be refused. */
    c->store.transactions.allowance.tokens = 0;
    c->store.transactions.allowance.refilled_at = c->now;
  }
  t->callback (c, status, body, sent, t->data);
  json_decref (t->conditions);
  json_decref (t->writes);
  g_free (t);
}

void
hr_transactions_send (HrCore *c)
{
  static const double keep[HR_TRANSACTION_KINDS] = {0, 0.05, 0.3};
  for (int k = 0; k < HR_TRANSACTION_KINDS; k++)
    while (!g_queue_is_empty (&c->store.transactions.queues[k]) &&
           c->store.transactions.in_flight < MAX_TRANSACTIONS_IN_FLIGHT &&
           c->now >= (k == HR_TRANSACTION_USER
                          ? c->store.transactions.paused_until
                          : MAX (c->store.transactions.paused_until,
                                 c->store.transactions.background_paused_until))) {
      HrTransaction *t = g_queue_peek_head (&c->store.transactions.queues[k]);
      if (!hr_token_bucket_take (&c->store.transactions.allowance, c->now, t->changes,
                                 keep[k] * c->store.transactions.allowance.burst))
        break;
      g_queue_pop_head (&c->store.transactions.queues[k]);
      c->store.transactions.in_flight++;
      json_t *o = json_pack ("{sOsO}", "when", t->conditions, "writes", t->writes);
      hr_core_call (c, HR_TO_STORE, NULL, HR_POST, g_strdup ("/commit"), hr_json_take_text (o),
                    t->timeout_s, on_commit, t);
    }
}
