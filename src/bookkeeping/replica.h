/* The replica: this node's copy of the state store, in the tables.
 *
 * It begins with a listing of the whole store (replica_listing.h); then changes are read in the
 * order of their revisions, by a watch that waits for them and by reads that do not. A read brings
 * every change up to its revision, so whoever asked for it before it was sent gets an answer as new
 * as any that was given before. When changes are lost, or the tables hold more than the store, the
 * replica is reset and listed anew. All controllers together stay within the store's rate of
 * requests. */
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
 * The next step lists the whole store anew, and answers to earlier calls are void. What is known of
 * final jobs stays.
 */
void hr_replica_reset (HrStore *store);
