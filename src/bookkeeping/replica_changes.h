#pragma once
#include "coordination/state.h"

void hr_replica_apply_change (HrCore *core, const char *key, const json_t *value, guint64 revision);
gboolean hr_replica_apply_job (HrCore *core, HrJob *job, const json_t *value, guint64 revision);
