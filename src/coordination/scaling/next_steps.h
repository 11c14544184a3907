/* Scale out ahead of the next steps of pipelines.
 *
 * A job starts when the last one that it awaits is done, and a machine takes a boot to come up.
 * Where there is no time for that afterwards, instances are demanded that much ahead.
 */
#pragma once
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_scale_out_for_next_steps:
 *
 * Demands instances for jobs all of whose awaited ones are about to end. Headroom for arrivals of
 * their class counts first. Called in a dispatch pass after hr_scale_out_headroom().
 */
void hr_scale_out_for_next_steps (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
