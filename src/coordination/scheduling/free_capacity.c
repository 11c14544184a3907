/* A snapshot of the free capacity of the fleet, for the end of a dispatch pass. */
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/resources.h"

/* Returns the capacity that is free on the machine after the tasks that are being stopped there
 * have ended. */
static HrResources
free_after_stops (HrCore *core, const HrMachine *machine)
{
  HrResources free = machine->free;
  for (guint k = 0; k < machine->tasks->len; k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    const HrJob *job = hr_job_of_task (core, ref);
    if (job->tasks[ref.task].stop_wanted)
      hr_resources_add (&free, hr_resources_of_task (&job->spec));
  }
  return free;
}

void
hr_fleet_capacity_init (HrFleetCapacity *fleet, HrCore *core)
{
  guint n = core->scaling.fleet->len;
  *fleet = (HrFleetCapacity){g_new0 (HrFreeCapacity, n + 1), n, 0};
  for (guint i = 0, up = n; i < n; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    guint at = machine->state == HR_MACHINE_BOOTING ? fleet->n_booting++ : --up;
    fleet->machines[at] = (HrFreeCapacity){machine, free_after_stops (core, machine), FALSE};
  }
}

static void
take_reservations (const HrCore *core, HrFreeCapacity *capacity)
{
  const GArray *list = capacity->machine->plan.list;
  for (guint i = 0; i < list->len; i++) {
    HrTaskRef ref = g_array_index (list, HrTaskRef, i);
    const HrJob *job = hr_job_of_task (core, ref);
    if (!job->tasks[ref.task].has_reservation)
      continue;
    hr_resources_subtract (&capacity->free, hr_resources_of_task (&job->spec));
    capacity->is_reserved = TRUE;
  }
}

void
hr_fleet_capacity_take_reservations (HrFleetCapacity *fleet, HrCore *core)
{
  for (guint i = fleet->n_booting; i < fleet->n; i++)
    take_reservations (core, &fleet->machines[i]);
}

void
hr_fleet_capacity_clear (HrFleetCapacity *fleet)
{
  g_clear_pointer (&fleet->machines, g_free);
}

gboolean
hr_free_capacity_take (HrFreeCapacity *capacity, HrResources need)
{
  if (!hr_resources_cover (capacity->free, need))
    return FALSE;
  hr_resources_subtract (&capacity->free, need);
  return TRUE;
}
