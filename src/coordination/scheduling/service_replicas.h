/* Where the replicas of services start. */
#pragma once
#include "coordination/state.h"

/* Starts the replicas that wait, where there is room or room can be made. services: HrJob, in the
 * order in which they are served. */
void hr_replicas_start (HrCore *core, GPtrArray *services);
