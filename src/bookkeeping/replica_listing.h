/* Lists the whole state store, page by page, to initialize the replica. */
#pragma once
#include "bookkeeping/store.h"

/**
 * hr_replica_listing_begin:
 * @store: the store, whose replica is not synced
 *
 * Clears the data that the listing reads again, and requests the first page. When the listing is
 * complete, the replica follows the state store from the revision of the first page on. After a
 * failure the replica is not synced, and the listing is retried after a delay.
 */
void hr_replica_listing_begin (HrStore *store);
