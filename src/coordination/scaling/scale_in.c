/* Scales in: returns machines that are no longer needed. */
#include "coordination/scaling/scale_in.h"
#include "coordination/scaling/fleet.h"

/* Whether a machine is returned, and why. */
typedef enum { KEEP, RETURN_DRAINED, RETURN_IDLE } ScaleInVerdict;

static ScaleInVerdict
scale_in_verdict (const HrCore *core, const HrFreeCapacity *capacity)
{
  const HrMachine *machine = capacity->machine;
  if (machine->state != HR_MACHINE_UP || machine->tasks->len || machine->plan.list->len)
    return KEEP;
  if (machine->is_draining)
    return RETURN_DRAINED;
  if (capacity->is_reserved || !machine->idle_since)
    return KEEP;
  /* Time without access to the store does not count as idle: no task could be assigned then. */
  double since = MAX (machine->idle_since, core->store.replica.current_since);
  return core->now - since > core->policy.idle_s ? RETURN_IDLE : KEEP;
}

void
hr_scale_in_idle (HrCore *core, const HrFleetCapacity *fleet)
{
  for (guint i = 0; i < fleet->n; i++) {
    const HrFreeCapacity *capacity = &fleet->machines[i];
    ScaleInVerdict verdict = scale_in_verdict (core, capacity);
    if (verdict != KEEP)
      hr_fleet_request_deletion (core, capacity->machine,
                                 verdict == RETURN_DRAINED ? "it is drained" : "it is idle");
  }
}
