/* Statistics of job classes: smoothed means, updated with each arrival and each end of a task. */
#include "coordination/jobs/class_stats.h"
#include <math.h>

/* Arrivals are counted in intervals of this length, s. */
#define ARRIVAL_INTERVAL_S 10.0
/* How fast the rate of arrivals forgets, s. */
#define ARRIVAL_TIME_CONSTANT_S 120.0
/* Intervals that are worked through at once; longer gaps are skipped. */
#define MAX_INTERVALS 200
/* Arrivals of an interval count up to this base plus so many times what the rate predicts. */
#define BURST_BASE 2
#define BURST_FACTOR 3
/* Weight of one job in what a class's tasks look like. */
#define JOB_WEIGHT 0.2
/* A class's run-time correction is the mean of about this many samples' effect at the most. */
#define CORRECTION_WINDOW 40
/* Teams are kept as bits of one word. */
#define TEAM_BITS 64

HrClassStats *
hr_class_stats (HrCore *core, guint32 job_class)
{
  while (core->scheduling.class_stats->len <= job_class) {
    HrClassStats stats = {.run_time_correction = 1};
    g_array_append_val (core->scheduling.class_stats, stats);
  }
  return &g_array_index (core->scheduling.class_stats, HrClassStats, job_class);
}

/* Tasks a second, over the intervals counted so far: a young average counts what it has seen. */
static double
mean_arrivals (const HrClassStats *stats)
{
  return stats->arrivals_weight > 0 ? stats->arrivals / stats->arrivals_weight : 0;
}

/* Adds the interval that has ended to the smoothed rate, and begins the next. */
static void
end_interval (HrClassStats *stats, double keep)
{
  double most = BURST_BASE + BURST_FACTOR * mean_arrivals (stats) * ARRIVAL_INTERVAL_S;
  stats->arrivals =
      keep * stats->arrivals + (1 - keep) * MIN (stats->recent_arrivals, most) / ARRIVAL_INTERVAL_S;
  stats->arrivals_weight = keep * stats->arrivals_weight + (1 - keep);
  stats->recent_arrivals = 0;
  stats->recent_since += ARRIVAL_INTERVAL_S;
}

double
hr_class_arrivals (HrCore *core, HrClassStats *stats, guint n)
{
  double keep = exp (-ARRIVAL_INTERVAL_S / ARRIVAL_TIME_CONSTANT_S);
  if (!stats->recent_since)
    stats->recent_since = core->now;
  for (guint i = 0; core->now - stats->recent_since >= ARRIVAL_INTERVAL_S && i < MAX_INTERVALS; i++)
    end_interval (stats, keep);
  if (core->now - stats->recent_since >= ARRIVAL_INTERVAL_S)
    stats->recent_since = core->now;
  stats->recent_arrivals += n;
  if (stats->arrivals_weight > 0)
    return mean_arrivals (stats);
  return MIN (stats->recent_arrivals, BURST_BASE) / ARRIVAL_INTERVAL_S;
}

void
hr_class_note_job (HrCore *core, const HrJob *job)
{
  const HrJobSpec *spec = &job->spec;
  HrClassStats *stats = hr_class_stats (core, spec->job_class);
  hr_class_arrivals (core, stats, job->n_tasks);
  double weight = stats->is_seen ? JOB_WEIGHT : 1;
  stats->is_seen = TRUE;
  stats->cpus += weight * (spec->cpus - stats->cpus);
  stats->gpus += weight * (spec->gpus - stats->gpus);
  stats->memory_gb += weight * (spec->memory_gb - stats->memory_gb);
  hr_class_add_image_use (stats, spec->image, job->n_tasks);
  stats->shape = spec->shape;
  stats->priority = spec->priority; /* not what it inherits: that differs from job to job */
  stats->allows_spot = spec->allows_spot;
  stats->types = spec->types;
  stats->teams |= G_GUINT64_CONSTANT (1) << spec->team % TEAM_BITS;
}

void
hr_class_note_run_time (HrCore *core, const HrJob *job, const HrTask *task)
{
  HrClassStats *stats = hr_class_stats (core, job->spec.job_class);
  double run_time_s = core->now - task->running_since;
  if (!task->running_since || job->spec.estimate_s <= 0 || job->spec.shape == HR_SERVICE)
    return;
  double ratio = CLAMP (run_time_s / job->spec.estimate_s, core->policy.correction_least,
                        core->policy.correction_most);
  /* One task counts little: jobs differ far more than a class drifts. */
  stats->run_time_samples++;
  double weight = 1.0 / MIN (2 * stats->run_time_samples + 1, CORRECTION_WINDOW);
  stats->run_time_correction += weight * (ratio - stats->run_time_correction);
}
