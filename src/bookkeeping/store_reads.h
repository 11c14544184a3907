/* Waiting for reads of the state store, and its availability to this node. The replica sends the
 * reads (replica.h). */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/* Maximum time since the last successful read for which the replica counts as current, in seconds.
 * Reads are sent about once a second. */
#define HR_MAX_READ_GAP_S 4.0

/**
 * hr_replica_read:
 * @store: the store
 * @callback: called once
 * @data: for @callback
 *
 * Waits for a read that is sent after this call. When it succeeds, the tables hold every change
 * that was acknowledged to anyone before the call. If no read is possible now, calls @callback at
 * once, with FALSE.
 */
void hr_replica_read (HrStore *store, HrReadCallback callback, gpointer data);

/**
 * hr_replica_is_current:
 * @store: the store
 *
 * Returns: whether the last successful read was sent at most %HR_MAX_READ_GAP_S ago
 */
gboolean hr_replica_is_current (const HrStore *store);

/**
 * hr_replica_update_availability:
 * @store: the store
 * @is_answered: FALSE if a request had no response, or an unusable one
 *
 * Marks the state store as unavailable to this node after consecutive failures, and as available
 * after one response. Only bookkeeping may call it.
 */
void hr_replica_update_availability (HrStore *store, gboolean is_answered);
