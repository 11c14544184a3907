/* Headroom: capacity for tasks that are expected and could not wait for a boot.
 *
 * It is set per class of jobs: as many tasks as should arrive during a boot, by the kind of the
 * class's objectives, within what the limits of its teams leave (scheduling/quotas.c).
 */
#pragma once
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_headroom:
 *
 * Returns: for how many tasks of the class there is headroom in this pass.
 */
guint hr_headroom (HrCore *core, guint32 job_class);

/**
 * hr_headroom_wanted:
 *
 * Returns: the tasks of the class that cannot wait for a boot, whatever the limits of teams leave:
 * replicas of services, and those of classes for whose start or end there is an objective.
 */
guint hr_headroom_wanted (HrCore *core, guint32 job_class);

/**
 * hr_scale_out_headroom:
 *
 * Takes the headroom of all classes off what is free, and demands instances for what is missing.
 */
void hr_scale_out_headroom (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
