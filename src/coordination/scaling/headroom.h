/* Headroom: spare capacity for expected tasks that cannot wait for a machine to boot.
 *
 * It is set per class of jobs: the number of tasks expected to arrive within a period, bounded by
 * the limits of the class's teams (scheduling/quotas.c). The policy sets the period in boot times,
 * for services (headroom_boots) and for each kind of objective (headroom_waits,
 * headroom_deadlines). Services have headroom_base tasks in addition.
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
 * Reserves free capacity for the headroom of all classes, and adds demand for instances for the
 * tasks without free capacity.
 */
void hr_scale_out_headroom (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand);
