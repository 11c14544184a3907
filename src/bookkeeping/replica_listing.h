/* The listing of the whole state store, page by page, with which a replica begins. */
#pragma once
#include "bookkeeping/store.h"

/**
 * hr_replica_listing_begin:
 * @store: the store, whose replica is unread
 *
 * Clears what the listing will read anew and requests the first page. At the end the replica
 * follows the store from the first page's revision on; after a failure it is unread again, and is
 * to be listed after a while.
 */
void hr_replica_listing_begin (HrStore *store);
