/* Jobs as they arrive: the list of those that the leader has to look at, and what arrives of each
 * class, for spare room. */
#include "coordination/state.h"
#include <math.h>

#define BUCKET_S 10.0
#define RATE_TAU_S 120.0

/* Tasks arriving a second, smoothed. What arrives in one bunch (at the very start,
 * or after an outage) says little about what comes next, so it counts capped. */
double
hr_class_arrivals (HrCore *c, HrClassStats *s, guint n)
{
  double keep = exp (-BUCKET_S / RATE_TAU_S);
  if (!s->recent_since)
    s->recent_since = c->now;
  for (guint i = 0; c->now - s->recent_since >= BUCKET_S && i < 200; i++) {
    double most =
        2 + 3 * (s->arrivals_weight > 0 ? s->arrivals / s->arrivals_weight : 0) * BUCKET_S;
    s->arrivals = keep * s->arrivals + (1 - keep) * MIN (s->recent_arrivals, most) / BUCKET_S;
    s->arrivals_weight =
        keep * s->arrivals_weight + (1 - keep); /* young averages count what they have seen */
    s->recent_arrivals = 0;
    s->recent_since += BUCKET_S;
  }
  if (c->now - s->recent_since >= BUCKET_S)
    s->recent_since = c->now;
  s->recent_arrivals += n;
  return s->arrivals_weight > 0 ? s->arrivals / s->arrivals_weight
                                : MIN (s->recent_arrivals, 2) / BUCKET_S;
}

/* Keeps the list of jobs that the owner has to look at. One that waits for others has no task
 * and takes no room, limit or guarantee: it comes in when the last of them is done. */
void
hr_job_open (HrCore *c, HrJob *j)
{
  if (j->run.is_open || j->record.is_compacted || hr_job_has_unfinished_dependencies (j))
    return;
  j->run.is_open = TRUE;
  g_array_append_val (c->store.tables.open_jobs, j->index);
  if (j->dependencies.n_awaited && !j->dependencies.ready_since)
    j->dependencies.ready_since = c->wall_time;
  hr_priority_inheritance_job_read (c, j);
  /* When a job of which the end of the last awaited one was not seen became ready nobody knows. */
  gboolean unknown = j->dependencies.n_awaited &&
                     (c->store.replica.state != HR_REPLICA_FOLLOWING || j->state != HR_JOB_QUEUED);
  if (j->run.arrival_counted || unknown || c->wall_time - hr_job_eligible_since (j) > 30)
    return;
  j->run.arrival_counted = TRUE;
  g_debug ("%s arrives: %s, %u tasks, estimate %.0f s, image %s of %.1f GB", j->id,
           hr_intern_name (&c->names->classes, j->spec.job_class), j->n_tasks, j->spec.estimate_s,
           hr_intern_name (&c->names->images, j->spec.image), j->spec.image_gb);
  HrClassStats *s = hr_class_stats (c, j->spec.job_class);
  hr_class_arrivals (c, s, j->n_tasks);
  double k = s->is_seen ? 0.2 : 1;
  s->is_seen = TRUE;
  s->cpus += k * (j->spec.cpus - s->cpus);
  s->gpus += k * (j->spec.gpus - s->gpus);
  s->memory_gb += k * (j->spec.memory_gb - s->memory_gb);
  hr_class_use_image (s, j->spec.image, j->n_tasks);
  s->shape = j->spec.shape;
  s->priority = j->spec.priority; /* its own: what it is needed for differs from job to job */
  s->allows_spot = j->spec.allows_spot;
  s->types = j->spec.types;
  s->teams |= G_GUINT64_CONSTANT (1) << j->spec.team % 64;
}
