#pragma once
#include "coordination/state.h"

guint32 hr_shard_of (const char *machine, guint n_shards);
void hr_shards_assign (HrCore *core);
void hr_shard_choose (HrCore *core, HrJob *job);
