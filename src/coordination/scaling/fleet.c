/* The fleet: the machines that are not gone, and what becomes of them. */
#include "coordination/scaling/fleet.h"
#include "bookkeeping/replica.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/instance_deletions.h"
#include "coordination/scaling/instance_list.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/task_lists.h"

/* The plan is stale after so long without a pass, s: time alone moves it too, as pauses end and
 * idle machines age. */
#define MAX_PLAN_AGE_S 1

void
hr_fleet_add (HrCore *core, HrMachine *machine)
{
  machine->instance.known_since = core->now;
  machine->instance.listed_at = 0;
  g_ptr_array_add (core->scaling.fleet, machine);
}

void
hr_machine_gone (HrCore *core, HrMachine *machine, const char *why)
{
  GArray *list = machine->plan.list;
  hr_termination_incarnations_over (core, machine, G_MAXUINT32, HR_PROOF_MACHINE_DELETED);
  machine->state = HR_MACHINE_GONE;
  machine->instance.is_deleted = TRUE;
  for (guint i = 0; i < list->len; i++) {
    HrTaskRef ref = g_array_index (list, HrTaskRef, i);
    hr_task_unplan (hr_job_of_task (core, ref), ref.task);
  }
  g_array_set_size (list, 0);
  g_ptr_array_remove_fast (core->scaling.fleet, machine);
  core->scheduling.plan_is_stale = TRUE;
  g_debug ("%s is gone: %s", machine->name, why);
}

void
hr_fleet_delete (HrCore *core, HrMachine *machine, const char *why)
{
  if (machine->state == HR_MACHINE_DELETING || machine->state == HR_MACHINE_GONE)
    return;
  g_info ("%s is returned: %s", machine->name, why);
  machine->state = HR_MACHINE_DELETING;
  machine->instance.deletion_in_flight = FALSE;
  core->scheduling.plan_is_stale = TRUE;
}

/* Has the machine taken far longer to boot than its type should? After a cut of our own it may be
 * up: its agent has to find this controller first. */
static gboolean
boot_has_failed (const HrCore *core, const HrMachine *machine)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  return machine->state == HR_MACHINE_BOOTING && type && hr_replica_is_served (&core->store) &&
         core->now - machine->instance.requested_at > type->boot_s * core->policy.boot_limit &&
         core->now - core->store.replica.served_since > core->policy.silent_s;
}

static void
delete_failed_boots (HrCore *core)
{
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (boot_has_failed (core, machine))
      hr_fleet_delete (core, machine, "it does not come up");
  }
}

void
hr_fleet_tick (HrCore *core)
{
  hr_machine_types_tick (core);
  if (!core->leadership.is_leader || !hr_leadership_may_answer (core))
    return;
  hr_instance_list_tick (core);
  delete_failed_boots (core);
  hr_instance_deletions_send (core);
  hr_instance_requests_retry (core);
  hr_instance_requests_send (core);
  if (core->now - core->scheduling.planned_at > MAX_PLAN_AGE_S)
    core->scheduling.plan_is_stale = TRUE;
}
