/* The replica: this node's copy of the state store, in the tables.
 *
 * The replica begins with a listing of the whole state store (replica_listing.h). After that it
 * reads changes in the order of their revisions, with a watch, which waits for changes, and with
 * reads, which do not. A read returns every change up to its revision, so a caller that waited for
 * it before it was sent sees a state at least as new as any that was returned before. When changes
 * are lost, or the tables hold unrecorded decisions, the replica is reset and listed again. All
 * controllers together stay within the state store's request rate. */
#pragma once
#include "bookkeeping/store_reads.h"
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
 * Resets the replica: the next step lists the whole state store again, and responses to earlier
 * requests are discarded. Final jobs stay in the tables.
 */
void hr_replica_reset (HrStore *store);
