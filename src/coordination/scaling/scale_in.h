/* Scale in: returning machines that nothing needs. */
#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_scale_in_idle:
 * @fleet: with what this pass has assigned to machines
 *
 * Returns idle machines: those that are drained, and those that were idle for long enough and that
 * nothing was assigned to in this pass. Called last in a dispatch pass.
 */
void hr_scale_in_idle (HrCore *core, const HrFleetCapacity *fleet);
