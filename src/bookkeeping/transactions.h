/* Transactions: atomic writes to the state store, conditional on the revisions of keys.
 *
 * A transaction is built, then submitted. Submitted transactions are queued by kind and sent within
 * this node's share of the state store's write allowance, a few at a time. The callback receives
 * the HTTP status: 200: committed; 409: a condition does not hold; 400: refused for its size or
 * shape, or because a lease that it names has ended; 0 and any other status, such as 429 (too many
 * writes): the outcome is treated as unknown, so the transaction may have been committed. In that
 * case the same transaction may be submitted again: its conditions prevent it from taking effect
 * twice. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>
#include <jansson.h>

/**
 * hr_transaction_new:
 *
 * Returns: (transfer full): a transaction without conditions and writes
 */
HrTransaction *hr_transaction_new (void);

/**
 * hr_transaction_unref:
 * @transaction: (transfer full): a transaction
 *
 * Releases a reference to the transaction, and frees it with the last one.
 */
void hr_transaction_unref (HrTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrTransaction, hr_transaction_unref)

/**
 * hr_transaction_require:
 * @transaction: a transaction that was not submitted yet
 * @key: a key of the store
 * @revision: the revision that the key must have; 0: the key must not exist
 *
 * Adds a condition on the revision of a key.
 */
void hr_transaction_require (HrTransaction *transaction, const char *key, guint64 revision);

/**
 * hr_transaction_put:
 * @transaction: a transaction that was not submitted yet
 * @key: a key of the store
 * @value_text: (transfer full): the value, as JSON text
 *
 * Adds a write of the key's value.
 */
void hr_transaction_put (HrTransaction *transaction, const char *key, char *value_text);

/**
 * hr_transaction_put_with_lease:
 * @transaction: a transaction that was not submitted yet
 * @key: a key of the store
 * @value_text: (transfer full): the value, as JSON text
 * @lease_id: a lease granted by the store; not 0
 *
 * Adds a write of the key's value. The state store deletes the key when the lease ends.
 */
void hr_transaction_put_with_lease (HrTransaction *transaction, const char *key, char *value_text,
                                    guint64 lease_id);

/**
 * hr_transaction_delete:
 * @transaction: a transaction that was not submitted yet
 * @key: a key of the store
 *
 * Adds the deletion of a key.
 */
void hr_transaction_delete (HrTransaction *transaction, const char *key);

/**
 * hr_transaction_submit:
 * @store: the store
 * @kind: the queue of the transaction; the queues are sent in the order of HrTransactionKind
 * @transaction: (transfer none): the transaction; a reference is kept until the response
 * @timeout_s: timeout of the request, in seconds
 * @callback: called once, with the response
 * @data: for @callback; not freed if the process ends before the response
 *
 * Queues the transaction; hr_transactions_send() sends it. Each of its writes takes a token of the
 * write allowance.
 */
void hr_transaction_submit (HrStore *store, HrTransactionKind kind, HrTransaction *transaction,
                            double timeout_s, HrStoreCallback callback, gpointer data);

/**
 * hr_transactions_send:
 * @store: the store
 *
 * Sends queued transactions within the write allowance. Called once in each hr_core_step().
 */
void hr_transactions_send (HrStore *store);

/**
 * hr_transactions_user_wait_s:
 * @store: the store
 *
 * Estimates how long a user's write would wait if it were queued now, while every other controller
 * has as many users' writes to send.
 *
 * Returns: the time until it is sent, in seconds
 */
double hr_transactions_user_wait_s (const HrStore *store);

/**
 * hr_pending_transaction_free:
 * @pending: (transfer full): a transaction that will receive no response
 *
 * Frees the transaction without calling its callback.
 */
void hr_pending_transaction_free (HrPendingTransaction *pending);
