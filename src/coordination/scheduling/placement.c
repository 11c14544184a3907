/* Placement constraints: which machines are suitable for a job's tasks. */
#include "coordination/scheduling/placement.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/resources.h"

gboolean
hr_machine_is_plannable (const HrCore *core, const HrMachine *machine)
{
  if (machine->is_draining || machine->type == HR_NONE)
    return FALSE;
  return machine->state == HR_MACHINE_BOOTING ||
         (machine->state == HR_MACHINE_UP &&
          core->now - MAX (machine->agent.last_heartbeat_at, core->leadership.term_began_at) <
              2 * core->policy.silent_s);
}

gboolean
hr_machine_is_reachable (const HrCore *core, const HrMachine *machine)
{
  return machine->state == HR_MACHINE_UP && machine->agent.last_heartbeat_at > 0 &&
         core->now - machine->agent.last_heartbeat_at < core->policy.silent_s;
}

gboolean
hr_job_allows_machine (const HrCore *core, const HrJob *job, const HrMachine *machine)
{
  const HrJobSpec *spec = &job->spec;
  const HrMachineType *type =
      hr_machine_is_plannable (core, machine) ? hr_machine_type_of (core, machine) : NULL;
  /* A retry avoids the machine of the last failure for a while, so that it runs elsewhere if it
   * can. */
  if (machine->index == job->run.failed_machine &&
      core->now < job->run.failed_machine_avoided_until)
    return FALSE;
  if (job->plan.shard != HR_NONE && job->plan.shard < core->scheduling.n_shards &&
      machine->plan.shard != job->plan.shard)
    return FALSE;
  return type && (!spec->types || (spec->types >> machine->type & 1)) &&
         (spec->zone == HR_NONE || spec->zone == machine->zone) &&
         (spec->allows_spot || !machine->is_spot) &&
         hr_resources_cover (hr_resources_of_type (type), hr_resources_of_task (spec));
}

gboolean
hr_machine_fits_alongside_services (const HrCore *core, const HrMachine *machine,
                                    const HrJobSpec *spec)
{
  HrResources available = hr_resources_of_type (hr_machine_type_of (core, machine));
  hr_resources_subtract (&available, machine->services);
  return hr_resources_cover (available, hr_resources_of_task (spec));
}

gboolean
hr_job_allows_zone (const HrCore *core, const HrJob *job, const HrMachine *machine)
{
  if (!job->spec.one_zone && !job->spec.spread)
    return TRUE;
  guint n_in_zone = 0;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    const HrTask *task = &job->tasks[i];
    if (!hr_task_is_placed (task))
      continue;
    guint32 zone = hr_machine_by_index (core, task->run->placement.machine)->zone;
    if (zone == HR_NONE)
      return FALSE; /* the machine is known from a record only, so the zone constraint is unknown */
    gboolean same_zone = zone == machine->zone;
    if (job->spec.one_zone && !same_zone)
      return FALSE;
    n_in_zone += same_zone;
  }
  return !job->spec.spread || n_in_zone < (job->n_tasks + 1) / 2;
}
