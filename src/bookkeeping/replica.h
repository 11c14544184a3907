#pragma once
#include "coordination/state.h"

void hr_replica_tick (HrCore *core);
void hr_replica_reset (HrCore *core);
void hr_replica_read (HrCore *core, HrReadCallback callback, gpointer data);
/* The state service has answered this node of late. */
gboolean hr_replica_is_served (const HrCore *core);
