/* Transactions: writes to the state store that are carried out together or not at all, provided
 * that the keys they are conditional on are still at the revisions stated.
 *
 * A transaction is built, then submitted. Submitted ones are queued by kind and sent within this
 * node's share of the store's allowance for changes; no more than a few are in flight. The callback
 * receives the HTTP status: 200 carried out; 409 a condition does not hold; 400 refused for its
 * size or shape; 0 and all else unknown, so it may have been carried out. The same transaction may
 * be submitted again then: its conditions keep it from taking effect twice. */
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
 * Gives up a reference; the last one frees it.
 */
void hr_transaction_unref (HrTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrTransaction, hr_transaction_unref)

/**
 * hr_transaction_require:
 * @transaction: a transaction that was not submitted yet
 * @key: a key of the store
 * @revision: the revision that the key must be at; 0: it must not exist
 *
 * Adds a condition.
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
 * Adds a write of the key's value; the store deletes the key when the lease ends.
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
 * @kind: decides how early it is sent
 * @transaction: (transfer none): what is to be written; a reference is kept until it is answered
 * @timeout_s: how long the answer is awaited once it was sent
 * @callback: called once with the answer
 * @data: for @callback; not freed if the process ends before the answer
 *
 * Queues the transaction; hr_transactions_send() sends it. Its writes count against the allowance.
 */
void hr_transaction_submit (HrStore *store, HrTransactionKind kind, HrTransaction *transaction,
                            double timeout_s, HrStoreCallback callback, gpointer data);

/**
 * hr_transactions_send:
 * @store: the store
 *
 * Sends what is queued, as far as the allowance goes. Called at every step.
 */
void hr_transactions_send (HrStore *store);

/**
 * hr_pending_transaction_free:
 * @pending: (transfer full): a transaction that no answer will come to
 *
 * Frees it without calling its callback.
 */
void hr_pending_transaction_free (HrPendingTransaction *pending);
