/* Headroom: spare capacity for expected tasks that cannot wait for a machine to boot.
 *
 * It is set per class of jobs: the number of tasks expected to arrive during a boot, scaled by the
 * kind of the class's objectives and bounded by the limits of its teams (scheduling/quotas.c).
 */
#pragma once
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_headroom:
 *
 * Returns: the headroom of the class in this pass, in tasks.
 */
guint hr_headroom (HrCore *core, guint32 job_class);

/**
 * hr_headroom_wanted:
 *
 * Returns: the headroom that the class should have before the limits of teams are applied, in
 * tasks. Only services, and classes with a wait or a deadline objective, have headroom.
 */
guint hr_headroom_wanted (HrCore *core, guint32 job_class);

/**
 * hr_scale_out_headroom:
 *
 * Reserves free capacity for the headroom of all classes, and demands instances for the part that
 * finds none.
 */
void hr_scale_out_headroom (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
