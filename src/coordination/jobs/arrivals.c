/* Jobs as they arrive: the list of those that the leader has to look at, and what arrives of each
 * class, for spare room. */
#include "coordination/jobs/arrivals.h"
#include "coordination/jobs/priority_inheritance.h"
#include "coordination/state.h"
#include <math.h>

#define BUCKET_S 10.0
#define RATE_TAU_S 120.0

/* Tasks arriving a second, smoothed. What arrives in one bunch (at the very start,
 * or after an outage) says little about what comes next, so it counts capped. */
double
hr_class_arrivals (HrCore *core, HrClassStats *stats, guint n)
{
  double keep = exp (-BUCKET_S / RATE_TAU_S);
  if (!stats->recent_since)
    stats->recent_since = core->now;
  for (guint i = 0; core->now - stats->recent_since >= BUCKET_S && i < 200; i++) {
    double most =
        2 +
        3 * (stats->arrivals_weight > 0 ? stats->arrivals / stats->arrivals_weight : 0) * BUCKET_S;
    stats->arrivals =
        keep * stats->arrivals + (1 - keep) * MIN (stats->recent_arrivals, most) / BUCKET_S;
    stats->arrivals_weight =
        keep * stats->arrivals_weight + (1 - keep); /* young averages count what they have seen */
    stats->recent_arrivals = 0;
    stats->recent_since += BUCKET_S;
  }
  if (core->now - stats->recent_since >= BUCKET_S)
    stats->recent_since = core->now;
  stats->recent_arrivals += n;
  return stats->arrivals_weight > 0 ? stats->arrivals / stats->arrivals_weight
                                    : MIN (stats->recent_arrivals, 2) / BUCKET_S;
}

/* Keeps the list of jobs that the leader has to look at. One that waits for others has no task
 * and takes no room, limit or guarantee: it comes in when the last of them is done. */
void
hr_job_open (HrCore *core, HrJob *job)
{
  if (job->run.is_open || job->record.is_compacted || hr_job_has_unfinished_dependencies (job))
    return;
  job->run.is_open = TRUE;
  g_array_append_val (core->store.tables.open_jobs, job->index);
  if (job->dependencies.n_awaited && !job->dependencies.ready_since)
    job->dependencies.ready_since = core->wall_time;
  hr_priority_inheritance_job_read (core, job);
  /* When a job of which the end of the last awaited one was not seen became ready nobody knows. */
  gboolean unknown =
      job->dependencies.n_awaited &&
      (core->store.replica.state != HR_REPLICA_FOLLOWING || job->state != HR_JOB_QUEUED);
  if (job->run.arrival_counted || unknown || core->wall_time - hr_job_eligible_since (job) > 30)
    return;
  job->run.arrival_counted = TRUE;
  g_debug ("%s arrives: %s, %u tasks, estimate %.0f s, image %s of %.1f GB", job->id,
           hr_intern_name (&core->names->classes, job->spec.job_class), job->n_tasks,
           job->spec.estimate_s, hr_intern_name (&core->names->images, job->spec.image),
           job->spec.image_gb);
  HrClassStats *stats = hr_class_stats (core, job->spec.job_class);
  hr_class_arrivals (core, stats, job->n_tasks);
  double k = stats->is_seen ? 0.2 : 1;
  stats->is_seen = TRUE;
  stats->cpus += k * (job->spec.cpus - stats->cpus);
  stats->gpus += k * (job->spec.gpus - stats->gpus);
  stats->memory_gb += k * (job->spec.memory_gb - stats->memory_gb);
  hr_class_use_image (stats, job->spec.image, job->n_tasks);
  stats->shape = job->spec.shape;
  stats->priority = job->spec.priority; /* its own: what it is needed for differs from job to job */
  stats->allows_spot = job->spec.allows_spot;
  stats->types = job->spec.types;
  stats->teams |= G_GUINT64_CONSTANT (1) << job->spec.team % 64;
}

HrClassStats *
hr_class_stats (HrCore *core, guint32 job_class)
{
  while (core->scheduling.class_stats->len <= job_class) {
    HrClassStats stats = {.run_time_correction = 1};
    g_array_append_val (core->scheduling.class_stats, stats);
  }
  return &g_array_index (core->scheduling.class_stats, HrClassStats, job_class);
}
