/* Searches the fleet for free capacity for waiting tasks. */
#include "coordination/scaling/capacity_search.h"
#include "coordination/scheduling/placement.h"

/* A search visits, in this order: busy spot machines, other busy machines, idle spot machines,
 * other idle machines. */
#define N_ROUNDS 4

static gboolean
is_in_round (int round, const HrFreeCapacity *capacity)
{
  gboolean wants_idle = round / 2, wants_spot = !(round % 2);
  gboolean is_idle = capacity->machine->tasks->len == 0 && !capacity->is_reserved;
  return is_idle == wants_idle && capacity->machine->is_spot == wants_spot;
}

static gboolean
is_suitable (const HrCore *core, const HrMachine *machine, const HrJob *job, const HrTaskNeed *need)
{
  if (machine->is_spot && !need->allows_spot)
    return FALSE;
  if (machine->state != HR_MACHINE_UP && machine->state != HR_MACHINE_BOOTING)
    return FALSE;
  if (machine->is_draining || (need->types && !(need->types >> machine->type & 1)))
    return FALSE;
  return !job ||
         (hr_job_allows_machine (core, job, machine) && hr_job_allows_zone (core, job, machine));
}

gboolean
hr_capacity_find (HrCore *core, HrFleetCapacity *fleet, guint n, HrCapacityCursor *cursor,
                  const HrJob *job, const HrTaskNeed *need)
{
  if (cursor->last && (!job || hr_job_allows_zone (core, job, cursor->last->machine)) &&
      hr_free_capacity_take (cursor->last, need->resources))
    return TRUE;
  for (; cursor->round < N_ROUNDS; cursor->round++, cursor->index = 0)
    for (; cursor->index < n; cursor->index++) {
      HrFreeCapacity *capacity = &fleet->machines[cursor->index];
      if (!is_in_round (cursor->round, capacity) ||
          !is_suitable (core, capacity->machine, job, need) ||
          !hr_free_capacity_take (capacity, need->resources))
        continue;
      capacity->is_reserved = TRUE;
      cursor->last = capacity;
      return TRUE;
    }
  return FALSE;
}
