#pragma once
#include "bookkeeping/store.h"

void hr_replica_apply_change (HrStore *store, const char *key, const json_t *value,
                              guint64 revision);
gboolean hr_replica_apply_job (HrStore *store, HrJob *job, const json_t *value, guint64 revision);
