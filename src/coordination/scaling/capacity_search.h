/* The search for free capacity for what still waits, before instances are requested for it.
 */
#pragma once
#include "coordination/scaling/demand.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/* How far a search for tasks of one kind has come. Free capacity only shrinks, so the search for
 * the next task of that kind goes on from there. All zero at the beginning. */
typedef struct {
  HrFreeCapacity *last; /* where the previous task found capacity; NULL: none did */
  int round;            /* of machine kinds, in the order of preference */
  guint index;
} HrCapacityCursor;

/**
 * hr_capacity_find:
 * @n: only the first so many machines of @fleet are looked at
 * @job: (nullable): the job, where there is one already
 *
 * Takes the capacity for one task off a machine where it is free, or will be once a boot or a stop
 * has ended. Busy machines come first, so that idle ones can be returned, and spot ones before
 * others, as they are cheaper.
 *
 * Returns: whether there was any.
 */
gboolean hr_capacity_find (HrCore *core, HrFleetCapacity *fleet, guint n, HrCapacityCursor *cursor,
                           const HrJob *job, const HrTaskNeed *need);
