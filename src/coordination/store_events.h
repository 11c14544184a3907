/* Connects bookkeeping with the rest of the core: bookkeeping calls nothing above it but these
 * functions. What each must do is said in bookkeeping/store.h. */
#pragma once
#include "bookkeeping/store.h"

extern const HrStoreEvents hr_core_store_events;
