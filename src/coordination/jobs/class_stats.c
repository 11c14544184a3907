/* Statistics of job classes: smoothed means, updated on each arrival and each task completion. */
#include "coordination/jobs/class_stats.h"
#include <math.h>

/* Length of the intervals in which arrivals are counted, in seconds. */
#define ARRIVAL_INTERVAL_S 10.0
/* Time constant of the exponential moving average of the arrival rate, in seconds. */
#define ARRIVAL_TIME_CONSTANT_S 120.0
/* Intervals that one update processes at most; the rest of a longer gap is skipped. */
#define MAX_INTERVALS 200
/* Arrivals in an interval count up to BURST_BASE plus BURST_FACTOR times the predicted number. */
#define BURST_BASE 2
#define BURST_FACTOR 3
/* Weight of one job in the class's smoothed resource needs. */
#define JOB_WEIGHT 0.2
/* The weight of a sample in a class's run-time correction is at least 1 / CORRECTION_WINDOW. */
#define CORRECTION_WINDOW 40
/* Number of bits in HrClassStats.teams. */
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

/* Returns the arrival rate in tasks per second. Dividing by the accumulated weight keeps the
 * average unbiased while only a few intervals have been counted. */
static double
mean_arrival_rate (const HrClassStats *stats)
{
  return stats->arrivals_weight > 0 ? stats->arrivals / stats->arrivals_weight : 0;
}

/* Adds the completed interval to the smoothed rate and starts the next one. */
static void
end_interval (HrClassStats *stats, double decay)
{
  double cap = BURST_BASE + BURST_FACTOR * mean_arrival_rate (stats) * ARRIVAL_INTERVAL_S;
  stats->arrivals = decay * stats->arrivals +
                    (1 - decay) * MIN (stats->recent_arrivals, cap) / ARRIVAL_INTERVAL_S;
  stats->arrivals_weight = decay * stats->arrivals_weight + (1 - decay);
  stats->recent_arrivals = 0;
  stats->recent_since += ARRIVAL_INTERVAL_S;
}

double
hr_class_update_arrival_rate (HrCore *core, HrClassStats *stats, guint n)
{
  double decay = exp (-ARRIVAL_INTERVAL_S / ARRIVAL_TIME_CONSTANT_S);
  if (!stats->recent_since)
    stats->recent_since = core->now;
  for (guint i = 0; core->now - stats->recent_since >= ARRIVAL_INTERVAL_S && i < MAX_INTERVALS; i++)
    end_interval (stats, decay);
  if (core->now - stats->recent_since >= ARRIVAL_INTERVAL_S)
    stats->recent_since = core->now;
  stats->recent_arrivals += n;
  if (stats->arrivals_weight > 0)
    return mean_arrival_rate (stats);
  return MIN (stats->recent_arrivals, BURST_BASE) / ARRIVAL_INTERVAL_S;
}

void
hr_class_note_job (HrCore *core, const HrJob *job)
{
  const HrJobSpec *spec = &job->spec;
  HrClassStats *stats = hr_class_stats (core, spec->job_class);
  hr_class_update_arrival_rate (core, stats, job->n_tasks);
  double weight = stats->is_seen ? JOB_WEIGHT : 1;
  stats->is_seen = TRUE;
  stats->cpus += weight * (spec->cpus - stats->cpus);
  stats->gpus += weight * (spec->gpus - stats->gpus);
  stats->memory_gb += weight * (spec->memory_gb - stats->memory_gb);
  hr_class_add_image_use (stats, spec->image, job->n_tasks);
  stats->shape = spec->shape;
  stats->priority = spec->priority; /* not the inherited priority, which differs between jobs */
  stats->allows_spot = spec->allows_spot;
  stats->types = spec->types;
  stats->teams |= G_GUINT64_CONSTANT (1) << spec->team % TEAM_BITS;
}

void
hr_class_note_run_time (HrCore *core, const HrJob *job, const HrTask *task)
{
  HrClassStats *stats = hr_class_stats (core, job->spec.job_class);
  double run_time_s = core->now - task->run->running_since;
  if (!task->run->running_since || job->spec.estimate_s <= 0 || job->spec.shape == HR_SERVICE)
    return;
  double ratio = CLAMP (run_time_s / job->spec.estimate_s, core->policy.correction_least,
                        core->policy.correction_most);
  /* Each sample has a small weight: run times differ far more between the jobs of a class than the
   * mean of the class changes over time. */
  stats->run_time_samples++;
  double weight = 1.0 / MIN (2 * stats->run_time_samples + 1, CORRECTION_WINDOW);
  stats->run_time_correction += weight * (ratio - stats->run_time_correction);
}
