/* What bookkeeping tells and asks the parts of coordination. */
#pragma once
#include "bookkeeping/store.h"

extern const HrStoreEvents hr_core_store_events;
