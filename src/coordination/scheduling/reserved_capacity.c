/* Which capacity is reserved for starving jobs that come before another job. */
#include "coordination/scheduling/reserved_capacity.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/resources.h"

/* Returns whether the job leaves reserved capacity to the starving job. A gang that replaces a lost
 * task does not: its other tasks occupy machines meanwhile. */
static gboolean
comes_after (const HrJob *job, const HrJob *starving)
{
  if (job->run.gang_incomplete_since)
    return FALSE;
  if (hr_job_priority (job) != hr_job_priority (starving))
    return hr_job_priority (job) > hr_job_priority (starving);
  return !job->quota.is_starving || hr_compare_by_deadline (&job, &starving) > 0;
}

HrResources
hr_reserved_ahead (const HrCore *core, const HrJob *job, const HrMachine *machine)
{
  HrResources ahead = {0, 0, 0};
  for (guint i = 0; i < machine->plan.list->len; i++) {
    HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, i);
    const HrJob *starving = hr_job_of_task (core, ref);
    if (!starving->tasks[ref.task].goes_first || starving == job)
      break; /* such tasks are the first ones of the list, in the order of their reservations */
    if (comes_after (job, starving))
      hr_resources_add (&ahead, hr_resources_of_task (&starving->spec));
  }
  return ahead;
}
