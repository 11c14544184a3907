/* What is due with the cloud from time to time: machine types, the list of instances, deletions and
 * requests. */
#pragma once
#include "coordination/state.h"

/**
 * hr_scaling_tick:
 *
 * Does what is due with the cloud: machine types, the list of instances, deletions and requests.
 * Called with each tick, by every controller; all but the types is the leader's.
 */
void hr_scaling_tick (HrCore *core);
