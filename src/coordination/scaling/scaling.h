/* Periodic calls to the cloud: machine types, the list of instances, deletions and requests. */
#pragma once
#include "coordination/state.h"

/**
 * hr_scaling_tick:
 *
 * Makes the calls to the cloud that are due. Every controller calls it on each tick; controllers
 * other than the leader only read the machine types.
 */
void hr_scaling_tick (HrCore *core);
