#include "coordination/scaling/scaling.h"
#include "bookkeeping/store_reads.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/instance_deletions.h"
#include "coordination/scaling/instance_list.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scaling/machine_types.h"

/* Age after which the plan is stale even without other events: pauses end and idle machines reach
 * idle_s as time passes. */
#define MAX_PLAN_AGE_S 1

/* Returns whether the machine has been booting for much longer than its type takes. Just after this
 * node regains access to the store it cannot tell: the machine may be up, and its worker first
 * has to find this controller. */
static gboolean
boot_has_failed (const HrCore *core, const HrMachine *machine)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  return machine->state == HR_MACHINE_BOOTING && type && hr_replica_is_current (&core->store) &&
         core->now - machine->instance.requested_at > type->boot_s * core->policy.boot_limit &&
         core->now - core->store.replica.current_since > core->policy.silent_s;
}

static void
delete_failed_boots (HrCore *core)
{
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (boot_has_failed (core, machine))
      hr_fleet_request_deletion (core, machine, "it did not boot in time");
  }
}

void
hr_scaling_tick (HrCore *core)
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
