/* Scales out: demands instances for waiting tasks without capacity.
 *
 * A dispatch pass calls these functions after it has started every task that can start. They use
 * the capacity of machines that boot already (HrFleetCapacity) before they add to the demand of the
 * pass.
 */
#pragma once
#include "coordination/scaling/capacity_search.h"
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_scale_out_for_task:
 * @cursor: position of the search for capacity for tasks of this job
 *
 * Reserves capacity for one task of the job on a machine that boots, or demands an instance for it.
 */
void hr_scale_out_for_task (HrCore *core, HrFleetCapacity *fleet, HrCapacityCursor *cursor,
                            HrDemandPlan *demand, HrJob *job);

/**
 * hr_scale_out_for_lists:
 *
 * Demands instances for tasks that would start late in the machine lists that they are in, and for
 * tasks in no list.
 */
void hr_scale_out_for_lists (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
