/* The fleet: all machines whose deletion is not confirmed. */
#include "coordination/scaling/fleet.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/task_lists.h"

void
hr_fleet_add (HrCore *core, HrMachine *machine)
{
  machine->instance.in_fleet_since = core->now;
  machine->instance.listed_at = 0;
  g_ptr_array_add (core->scaling.fleet, machine);
}

void
hr_fleet_remove (HrCore *core, HrMachine *machine, const char *why)
{
  GArray *list = machine->plan.list;
  hr_termination_end_incarnations (core, machine, G_MAXUINT64, HR_PROOF_MACHINE_DELETED);
  machine->state = HR_MACHINE_GONE;
  machine->instance.is_deleted = TRUE;
  for (guint i = 0; i < list->len; i++) {
    HrTaskRef ref = g_array_index (list, HrTaskRef, i);
    hr_task_mark_unlisted (hr_job_of_task (core, ref), ref.task);
  }
  g_array_set_size (list, 0);
  g_ptr_array_remove_fast (core->scaling.fleet, machine);
  core->scheduling.plan_is_stale = TRUE;
  g_debug ("machine %s left the fleet: %s", machine->name, why);
}

void
hr_fleet_request_deletion (HrCore *core, HrMachine *machine, const char *why)
{
  if (machine->state == HR_MACHINE_DELETING || machine->state == HR_MACHINE_GONE)
    return;
  g_info ("returning machine %s to the cloud: %s", machine->name, why);
  machine->state = HR_MACHINE_DELETING;
  machine->instance.deletion_in_flight = FALSE;
  core->scheduling.plan_is_stale = TRUE;
}
