/* Transactions on their way to the state service: queued by kind, sent within this node's share of
 * the allowance for changes. */
#include "bookkeeping/transactions.h"
#include "bookkeeping/store.h"
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"

#define MAX_TRANSACTIONS_IN_FLIGHT 8

char *
hr_job_record_key (const HrJob *job)
{
  return g_strconcat ("h/j/", job->id, NULL);
}

char *
hr_record_page_key (const HrJob *job, guint page)
{
  return hr_record_page_key_of (job, job->record.sized_page_keys ? job->record.tasks_per_page : 0,
                                page);
}

char *
hr_record_page_key_of (const HrJob *job, guint tasks_per_page, guint page)
{
  return tasks_per_page ? g_strdup_printf ("h/u/%s/%u/%u", job->id, tasks_per_page, page)
                        : g_strdup_printf ("h/t/%s/%u", job->id, page);
}

json_t *
hr_transaction_require (json_t *when, const char *path, guint64 revision)
{
  json_array_append_new (when, hr_store_condition (path, revision));
  return when;
}

json_t *
hr_transaction_put (json_t *writes, const char *path, char *value_text, guint64 lease_id)
{
  json_t *value = json_loads (value_text, JSON_DECODE_ANY, NULL);
  json_array_append_new (writes, hr_store_put (path, value, lease_id));
  g_free (value_text);
  return writes;
}

void
hr_transaction_submit (HrStore *store, HrTransactionKind kind, json_t *when, json_t *writes,
                       guint changes, double timeout, HrStoreCallback callback, gpointer data)
{
  HrTransaction *transaction = g_new0 (HrTransaction, 1);
  transaction->conditions = when;
  transaction->writes = writes;
  transaction->changes = changes;
  transaction->timeout_s = timeout;
  transaction->callback = callback;
  transaction->data = data;
  g_queue_push_tail (&store->transactions.queues[kind], transaction);
}

static void
on_commit (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  HrTransaction *transaction = data;
  store->transactions.in_flight--;
  if (status == 429) { /* the allowance is shared: step back a little, out of step */
    store->transactions.paused_until = store->now + g_rand_double_range (store->random, 0.05, 0.15);
    /* Users of other members come first, whose writes we do not see. */
    store->transactions.background_paused_until =
        store->now + g_rand_double_range (store->random, 0.3, 0.6);
    /* It is used up: what was saved here for a burst would only be refused. */
    store->transactions.allowance.tokens = 0;
    store->transactions.allowance.refilled_at = store->now;
  }
  transaction->callback (store, status, body, sent, transaction->data);
  json_decref (transaction->conditions);
  json_decref (transaction->writes);
  g_free (transaction);
}

void
hr_transactions_send (HrStore *store)
{
  static const double keep[HR_TRANSACTION_KINDS] = {0, 0.05, 0.3};
  for (int k = 0; k < HR_TRANSACTION_KINDS; k++)
    while (!g_queue_is_empty (&store->transactions.queues[k]) &&
           store->transactions.in_flight < MAX_TRANSACTIONS_IN_FLIGHT &&
           store->now >= (k == HR_TRANSACTION_USER
                              ? store->transactions.paused_until
                              : MAX (store->transactions.paused_until,
                                     store->transactions.background_paused_until))) {
      HrTransaction *transaction = g_queue_peek_head (&store->transactions.queues[k]);
      if (!hr_token_bucket_take (&store->transactions.allowance, store->now, transaction->changes,
                                 keep[k] * store->transactions.allowance.burst))
        break;
      g_queue_pop_head (&store->transactions.queues[k]);
      store->transactions.in_flight++;
      store->events->call (store->core, HR_POST, g_strdup (HR_STORE_COMMIT_PATH),
                           hr_store_commit_text (transaction->conditions, transaction->writes),
                           transaction->timeout_s, on_commit, transaction);
    }
}
