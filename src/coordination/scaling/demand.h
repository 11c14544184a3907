/* Sums up the demand for instances in a dispatch pass.
 *
 * Each task without capacity is added individually and assigned to the cheapest machine type that
 * fits, packed with other tasks onto shared instances. The total replaces the demand of the
 * previous pass and is requested on the next tick (instance_requests.h).
 */
#pragma once
#include "coordination/state.h"

/* The requirements that one task has of a machine. */
typedef struct {
  HrResources resources;
  guint64 types; /* bit set of allowed machine types, by index; 0: any */
  guint32 zone;  /* HR_NONE: any */
  gboolean allows_spot;
} HrTaskNeed;

/* The demand for instances of one dispatch pass. */
typedef struct {
  GArray *entries; /* DemandEntry (demand.c) */
} HrDemandPlan;

/**
 * hr_task_need_of_job:
 *
 * Returns: the requirements of a task of the job.
 */
HrTaskNeed hr_task_need_of_job (const HrJobSpec *spec);

/**
 * hr_task_need_of_class:
 *
 * Returns: the expected requirements of a task of the class, judging by its recent jobs.
 */
HrTaskNeed hr_task_need_of_class (const HrClassStats *stats);

/**
 * hr_demand_plan_init:
 * @demand: (out caller-allocates): to be freed with hr_demand_plan_clear()
 *
 * Initialises an empty demand.
 */
void hr_demand_plan_init (HrDemandPlan *demand);

/**
 * hr_demand_plan_clear:
 *
 * Frees the members that hr_demand_plan_init() allocated, but not the structure itself.
 */
void hr_demand_plan_clear (HrDemandPlan *demand);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrDemandPlan, hr_demand_plan_clear)

/**
 * hr_demand_plan_add:
 *
 * Adds one task to the demand. The kind of instance is the cheapest one that fits and that the
 * cloud has not refused recently; the task shares the last instance demanded of that kind if it
 * fits there, else one more instance is demanded. Adds nothing if no kind is suitable. The machine
 * types must be known.
 */
void hr_demand_plan_add (HrCore *core, HrDemandPlan *demand, const HrTaskNeed *need);

/**
 * hr_demand_plan_submit:
 *
 * Replaces the demand to be requested on the next tick with this one.
 */
void hr_demand_plan_submit (HrCore *core, const HrDemandPlan *demand);
