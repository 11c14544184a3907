#include "bookkeeping/transactions.h"
#include "bookkeeping/token_bucket.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "protocol/store_api.h"

#define MAX_TRANSACTIONS_IN_FLIGHT 8
/* Lower bound of the state store's latency in estimates. */
#define MIN_LATENCY_S 0.001
/* Pauses after a response 429: the state store's write allowance, which all controllers share, is
 * used up. They are random, so that the controllers do not retry all at once. */
#define MIN_BUSY_PAUSE_S 0.05
#define MAX_BUSY_PAUSE_S 0.15
#define MIN_BACKGROUND_PAUSE_S 0.3
#define MAX_BACKGROUND_PAUSE_S 0.6

/* Shares of the burst that transactions of each kind reserve for the kinds of higher priority. */
static const double reserved_shares[HR_TRANSACTION_KINDS] = {
    [HR_TRANSACTION_USER] = 0, [HR_TRANSACTION_LAUNCH] = 0.05, [HR_TRANSACTION_BOOKKEEPING] = 0.3};

/* ---- building ---- */

static void
condition_clear (gpointer data)
{
  HrStoreCondition *condition = data;
  g_free (condition->key);
}

static void
write_clear (gpointer data)
{
  HrStoreWrite *change = data;
  g_free (change->key);
  g_free (change->value);
}

HrTransaction *
hr_transaction_new (void)
{
  HrTransaction *transaction = g_rc_box_new0 (HrTransaction);
  transaction->conditions = g_array_new (FALSE, FALSE, sizeof (HrStoreCondition));
  g_array_set_clear_func (transaction->conditions, condition_clear);
  transaction->writes = g_array_new (FALSE, FALSE, sizeof (HrStoreWrite));
  g_array_set_clear_func (transaction->writes, write_clear);
  return transaction;
}

static void
transaction_clear (gpointer data)
{
  HrTransaction *transaction = data;
  g_array_unref (transaction->conditions);
  g_array_unref (transaction->writes);
}

void
hr_transaction_unref (HrTransaction *transaction)
{
  g_rc_box_release_full (transaction, transaction_clear);
}

void
hr_transaction_require (HrTransaction *transaction, const char *key, guint64 revision)
{
  HrStoreCondition condition = {g_strdup (key), revision};
  g_array_append_val (transaction->conditions, condition);
}

void
hr_transaction_put (HrTransaction *transaction, const char *key, char *value_text)
{
  hr_transaction_put_with_lease (transaction, key, value_text, 0);
}

void
hr_transaction_put_with_lease (HrTransaction *transaction, const char *key, char *value_text,
                               guint64 lease_id)
{
  HrStoreWrite change = {g_strdup (key), value_text, lease_id};
  g_array_append_val (transaction->writes, change);
}

void
hr_transaction_delete (HrTransaction *transaction, const char *key)
{
  HrStoreWrite change = {.key = g_strdup (key)};
  g_array_append_val (transaction->writes, change);
}

/* ---- sending ---- */

void
hr_transaction_submit (HrStore *store, HrTransactionKind kind, HrTransaction *transaction,
                       double timeout_s, HrStoreCallback callback, gpointer data)
{
  HrPendingTransaction *pending = g_new0 (HrPendingTransaction, 1);
  pending->transaction = g_rc_box_acquire (transaction);
  pending->timeout_s = timeout_s;
  pending->callback = callback;
  pending->data = data;
  g_queue_push_tail (&store->transactions.queues[kind], pending);
}

void
hr_pending_transaction_free (HrPendingTransaction *pending)
{
  hr_transaction_unref (pending->transaction);
  g_free (pending);
}

static void
pause_after_refusal (HrStore *store)
{
  HrTransactions *transactions = &store->transactions;
  transactions->paused_until =
      store->now + hr_random_range (store->random, MIN_BUSY_PAUSE_S, MAX_BUSY_PAUSE_S);
  /* Users' requests at other controllers have priority; this node does not see their writes. */
  transactions->background_paused_until =
      store->now + hr_random_range (store->random, MIN_BACKGROUND_PAUSE_S, MAX_BACKGROUND_PAUSE_S);
  /* The shared allowance is used up: writes from the tokens saved here would be refused. */
  transactions->allowance.tokens = 0;
  transactions->allowance.refilled_at = store->now;
}

static void
on_commit (HrStore *store, int status, json_t *body, double sent_at, gpointer data)
{
  HrPendingTransaction *pending = data;
  store->transactions.in_flight--;
  if (status == 429)
    pause_after_refusal (store);
  pending->callback (store, status, body, sent_at, pending->data);
  hr_pending_transaction_free (pending);
}

static gboolean
may_send (const HrStore *store, HrTransactionKind kind)
{
  const HrTransactions *transactions = &store->transactions;
  double paused_until = transactions->paused_until;
  if (kind != HR_TRANSACTION_USER)
    paused_until = MAX (paused_until, transactions->background_paused_until);
  return transactions->in_flight < MAX_TRANSACTIONS_IN_FLIGHT && store->now >= paused_until;
}

static void
send_pending (HrStore *store, HrPendingTransaction *pending)
{
  const HrTransaction *transaction = pending->transaction;
  store->transactions.in_flight++;
  char *body = hr_store_commit_text (transaction->conditions, transaction->writes);
  store->events->call (store->core, HR_POST, g_strdup (HR_STORE_COMMIT_PATH), body,
                       pending->timeout_s, on_commit, pending);
}

static void
send_queue (HrStore *store, HrTransactionKind kind)
{
  GQueue *queue = &store->transactions.queues[kind];
  HrTokenBucket *allowance = &store->transactions.allowance;
  while (!g_queue_is_empty (queue) && may_send (store, kind)) {
    HrPendingTransaction *pending = g_queue_peek_head (queue);
    if (!hr_token_bucket_take (allowance, store->now, pending->transaction->writes->len,
                               reserved_shares[kind] * allowance->burst))
      return;
    g_queue_pop_head (queue);
    send_pending (store, pending);
  }
}

double
hr_transactions_user_wait_s (const HrStore *store)
{
  const HrTokenBucket *allowance = &store->transactions.allowance;
  guint n_controllers = store->settings->members->len + 1;
  guint n_queued = g_queue_get_length ((GQueue *)&store->transactions.queues[HR_TRANSACTION_USER]);
  double n_waiting =
      n_queued + 1 - hr_token_bucket_available (allowance, store->now) / n_controllers;
  double rate =
      MIN (allowance->rate / n_controllers,
           MAX_TRANSACTIONS_IN_FLIGHT / MAX (store->replica.read_latency_s, MIN_LATENCY_S));
  return MAX (0, n_waiting / rate);
}

void
hr_transactions_send (HrStore *store)
{
  for (int kind = 0; kind < HR_TRANSACTION_KINDS; kind++)
    send_queue (store, kind);
}
