/* Scales out ahead of the next steps of pipelines, which are the jobs whose awaited jobs are all
 * about to end.
 *
 * A job can start when all jobs that it awaits are done, and a new machine first has to boot. If
 * the job's deadline leaves no time for a boot then, instances are demanded one boot time ahead.
 */
#pragma once
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_scale_out_for_next_steps:
 *
 * Demands instances for jobs whose awaited jobs are all about to end. The headroom of their class
 * is used first. A dispatch pass calls it after hr_scale_out_headroom().
 */
void hr_scale_out_for_next_steps (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
