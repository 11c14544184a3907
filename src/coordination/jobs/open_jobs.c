/* Adds jobs to the list of open jobs and decides which of them count as arrivals. */
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/jobs/priority_inheritance.h"

/* A job that became eligible longer ago, in seconds, was read from an old record and does not count
 * as an arrival. */
#define ARRIVAL_MAX_AGE_S 30

/* Checks whether the job has just arrived or just become ready. For a job with dependencies, only a
 * node that read the completion of the last awaited job as a change knows when it became ready. */
static gboolean
is_arrival (const HrCore *core, const HrJob *job)
{
  gboolean ready_time_is_known =
      core->store.replica.state == HR_REPLICA_FOLLOWING && job->state == HR_JOB_QUEUED;
  if (job->run.arrival_counted || (job->dependencies.n_awaited && !ready_time_is_known))
    return FALSE;
  return core->wall_time - hr_job_eligible_since (job) <= ARRIVAL_MAX_AGE_S;
}

static void
count_arrival (HrCore *core, HrJob *job)
{
  job->run.arrival_counted = TRUE;
  g_debug ("job %s has arrived: class %s, %u tasks, estimate %.0f s, image %s of %.1f GB", job->id,
           hr_intern_name (&core->names->classes, job->spec.job_class), job->n_tasks,
           job->spec.estimate_s, hr_intern_name (&core->names->images, job->spec.image),
           job->spec.image_gb);
  hr_class_note_job (core, job);
}

void
hr_job_open (HrCore *core, HrJob *job)
{
  if (job->run.is_open || job->record.is_compacted || hr_job_has_unfinished_dependencies (job))
    return;
  job->run.is_open = TRUE;
  g_array_append_val (core->store.tables.open_jobs, job->index);
  if (job->dependencies.n_awaited && !job->dependencies.ready_since)
    job->dependencies.ready_since = core->wall_time;
  hr_priority_inheritance_update (core, job);
  if (is_arrival (core, job))
    count_arrival (core, job);
}
