/* The demand for instances that a dispatch pass sums up.
 *
 * Each task without capacity is added by itself; it goes onto the cheapest machine type that fits,
 * together with others that fit beside it. What comes of it replaces the demand of the pass before,
 * and is requested with the next tick (instance_requests.h).
 */
#pragma once
#include "coordination/state.h"

/* What one task needs of a machine. */
typedef struct {
  HrResources resources;
  guint64 types; /* machine types that will do: bits by index; 0: any */
  guint32 zone;  /* HR_NONE: any */
  gboolean allows_spot;
} HrTaskNeed;

/* The demand of one pass. */
typedef struct {
  GArray *entries; /* of a private type */
} HrDemandPlan;

/**
 * hr_task_need_of_job:
 *
 * Returns: what a task of the job needs.
 */
HrTaskNeed hr_task_need_of_job (const HrJobSpec *spec);

/**
 * hr_task_need_of_class:
 *
 * Returns: what a task of the class should need, as its recent jobs did.
 */
HrTaskNeed hr_task_need_of_class (const HrClassStats *stats);

/**
 * hr_demand_plan_init:
 * @demand: (out caller-allocates): to be freed with hr_demand_plan_clear()
 */
void hr_demand_plan_init (HrDemandPlan *demand);

/**
 * hr_demand_plan_clear:
 *
 * Frees what hr_demand_plan_init() made.
 */
void hr_demand_plan_clear (HrDemandPlan *demand);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrDemandPlan, hr_demand_plan_clear)

/**
 * hr_demand_plan_add:
 *
 * Adds a task: beside others on an instance that is demanded already, or on one more of the
 * cheapest type that fits and that the cloud has not just refused. Without such a type nothing is
 * added. The machine types have to be known.
 */
void hr_demand_plan_add (HrCore *core, HrDemandPlan *demand, const HrTaskNeed *need);

/**
 * hr_demand_plan_submit:
 *
 * Makes this the demand that is requested with the next tick.
 */
void hr_demand_plan_submit (HrCore *core, const HrDemandPlan *demand);
