/* Where the replicas of services start. They stand in no list of the plan: a replica has no end.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_replicas_start:
 * @services: (element-type HrJob): in the order in which they are served
 *
 * Starts the replicas that wait, where capacity is free, or where batch tasks can be preempted on a
 * machine with the image and a fetch would take too long. Called first in a dispatch pass.
 */
void hr_replicas_start (HrCore *core, GPtrArray *services);
