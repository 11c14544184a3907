/* Searches the fleet for free capacity for waiting tasks, before instances are requested for them.
 */
#pragma once
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/* Position of a search for capacity for tasks with the same needs. Free capacity only shrinks
 * within a pass, so the search for the next such task resumes here. Zero-initialised before the
 * first task. */
typedef struct {
  HrFreeCapacity *last; /* where the previous task found capacity; NULL: nowhere */
  int round;            /* see N_ROUNDS */
  guint index;          /* of the next machine to visit in this round */
} HrCapacityCursor;

/**
 * hr_capacity_find:
 * @fleet: free capacity left in this pass
 * @n: search only the first @n machines of @fleet
 * @cursor: position of the search for tasks with the same needs
 * @job: (nullable): the task's job; %NULL for expected tasks that have no job yet
 * @need: the task's requirements
 *
 * Reserves capacity for one task on a machine where it is free, or will be once a boot or a stop
 * has ended. Prefers busy machines, so that idle ones can be returned, and spot machines, as they
 * are cheaper.
 *
 * Returns: whether capacity was found.
 */
gboolean hr_capacity_find (HrCore *core, HrFleetCapacity *fleet, guint n, HrCapacityCursor *cursor,
                           const HrJob *job, const HrTaskNeed *need);
