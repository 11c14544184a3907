/* The replica: this node's copy of the state store, in the tables.
 *
 * It begins with a listing of the whole store (replica_listing.h); then changes are read in the
 * order of their revisions, by a watch that waits for them and by reads that do not. A read brings
 * every change up to its revision, so whoever asked for it before it was sent gets an answer as new
 * as any that was given before. When changes are lost, or the tables hold more than the store, the
 * replica is reset and listed anew. All controllers together stay within the store's rate of
 * requests. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_replica_tick:
 * @store: the store
 *
 * Begins a listing, a read or a watch when one is due. Called at every step.
 */
void hr_replica_tick (HrStore *store);

/**
 * hr_replica_reset:
 * @store: the store
 *
 * The next step lists the whole store anew, and answers to earlier calls are void. What is known of
 * final jobs stays.
 */
void hr_replica_reset (HrStore *store);

/**
 * hr_replica_read:
 * @store: the store
 * @callback: called once
 * @data: for @callback
 *
 * Waits for a read that begins after this call: then the tables hold every change that anyone was
 * informed of before. Where no read is possible now, @callback is called at once, with FALSE.
 */
void hr_replica_read (HrStore *store, HrReadCallback callback, gpointer data);

/**
 * hr_replica_is_served:
 * @store: the store
 *
 * Returns: has the state service answered this node of late?
 */
gboolean hr_replica_is_served (const HrStore *store);

/**
 * hr_replica_note_answer:
 * @store: the store
 * @is_answered: FALSE: a request had no answer, or one that is of no use
 *
 * Concludes from a few failures in a row that the state service is unavailable to this node, and
 * from one answer that it is available. For bookkeeping alone.
 */
void hr_replica_note_answer (HrStore *store, gboolean is_answered);
