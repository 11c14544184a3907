/* Scales in: returns machines that are no longer needed. */
#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_scale_in_idle:
 * @fleet: the capacity left after this pass; shows to which machines it assigned something
 *
 * Returns machines without tasks to the cloud: those that are drained, and those that have been
 * idle for longer than idle_s and were assigned nothing in this pass. Called at the end of a
 * dispatch pass.
 */
void hr_scale_in_idle (HrCore *core, const HrFleetCapacity *fleet);
