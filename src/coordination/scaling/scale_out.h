/* Scale out: demanding instances for what waits and has no capacity.
 *
 * Called in a dispatch pass, after everything that can start has started. What boots already counts
 * first (HrFleetCapacity); all functions add to the demand of the pass.
 */
#pragma once
#include "coordination/scaling/capacity_search.h"
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_scale_out_for_task:
 * @cursor: of this job
 *
 * Takes capacity for a task of the job off a machine that boots, or demands an instance for it.
 */
void hr_scale_out_for_task (HrCore *core, HrFleetCapacity *fleet, HrCapacityCursor *cursor,
                            HrDemandPlan *demand, HrJob *job);

/**
 * hr_scale_out_for_lists:
 *
 * Demands instances for the tasks that stand in lists and would start late there, and for those
 * that no list takes.
 */
void hr_scale_out_for_lists (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
