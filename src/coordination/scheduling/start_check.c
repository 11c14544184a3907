/* Decides whether a task may start now on a given machine. */
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/reserved_capacity.h"
#include "coordination/scheduling/resources.h"

gboolean
hr_job_is_waiting (const HrCore *core, const HrJob *job)
{
  return job->state == HR_JOB_QUEUED && job->tasks && !job->run.attempt_ending &&
         job->run.n_live + job->n_done < job->n_tasks && core->now >= job->run.retry_at;
}

gboolean
hr_job_waits_for_capacity (HrCore *core, const HrJob *job)
{
  gboolean is_replacing = job->spec.shape == HR_GANG && job->run.n_live;
  return job->spec.shape != HR_SERVICE && !is_replacing && hr_job_is_waiting (core, job) &&
         hr_team_allows_start (core, job, hr_job_start_unit (job));
}

HrStartVerdict
hr_start_check_job (HrCore *core, const HrJob *job, guint n)
{
  if (core->now < job->run.retry_at)
    return HR_START_RETRY_PAUSE;
  return hr_team_allows_start (core, job, n) ? HR_START_OK : HR_START_QUOTA;
}

HrStartVerdict
hr_start_check_machine (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  HrResources need = hr_resources_of_task (&job->spec);
  if (!hr_resources_cover (hr_machine_unused (machine), need) || core->now < machine->full_until)
    return HR_START_NO_CAPACITY;
  if (!hr_machine_is_reachable (core, machine) || !hr_job_allows_machine (core, job, machine) ||
      !hr_job_allows_zone (core, job, machine))
    return HR_START_UNSUITABLE;
  HrResources available =
      job->spec.shape == HR_SERVICE ? hr_machine_unused (machine) : hr_machine_unreserved (machine);
  hr_resources_subtract (&available, hr_reserved_ahead (core, job, machine));
  return hr_resources_cover (available, need) ? HR_START_OK : HR_START_RESERVED;
}
