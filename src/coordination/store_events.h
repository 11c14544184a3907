/* The callbacks through which bookkeeping calls the rest of the core. It calls nothing else of the
 * core. bookkeeping/store.h documents each callback. */
#pragma once
#include "bookkeeping/store.h"

extern const HrStoreEvents hr_core_store_events;
