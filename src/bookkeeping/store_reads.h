/* Waiting for reads of the store, and whether it answers this node. The reads themselves are the
 * replica's (replica.h). */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/* Reads come every second; after a longer gap this node was not served, s. */
#define HR_UNSERVED_S 4.0

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
