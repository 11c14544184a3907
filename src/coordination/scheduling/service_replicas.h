/* Starts of service replicas. Replicas are not in the lists of the plan, because they have no end.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_replicas_start:
 * @services: (element-type HrJob): the services with waiting replicas, by priority
 *
 * Starts waiting replicas on machines with free capacity. If the image fetch there would miss an
 * objective of the class, batch tasks are preempted on a machine that has the image cached. Called
 * at the beginning of a dispatch pass.
 */
void hr_replicas_start (HrCore *core, GPtrArray *services);
