#pragma once
#include "bookkeeping/store.h"

void hr_replica_tick (HrStore *store);
void hr_replica_reset (HrStore *store);
void hr_replica_read (HrStore *store, HrReadCallback callback, gpointer data);
/* The state service has answered this node of late. */
gboolean hr_replica_is_served (const HrStore *store);
