/* Statistics of a class of jobs: run times, arrivals, and the images that its work uses.
 *
 * They are updated by coordination/jobs/ and scheduling/, in memory alone. */
#pragma once
#include "protocol/jobspec.h"
#include <glib.h>

/* How much of the recent work of a class uses an image. */
typedef struct {
  guint32 image;
  double weight;
} HrImageUse;

/* Statistics of a class of jobs, for estimates of run times and for headroom. */
typedef struct {
  double run_time_correction; /* actual / estimated run time, smoothed */
  guint run_time_samples;
  double arrivals, arrivals_weight;     /* tasks a second, smoothed: arrivals / arrivals_weight */
  double recent_arrivals, recent_since; /* of the last seconds, not in `arrivals` yet */
  double cpus, gpus, memory_gb;         /* of its recent jobs' tasks */
  HrImageUse images[12];                /* the most used ones, most used first */
  guint n_images;
  HrShape shape;
  HrPriority priority;
  gboolean allows_spot, is_seen;
  guint64 types;
  guint64 teams;  /* that have jobs of it: bits, by index modulo 64 */
  guint headroom; /* tasks that capacity is reserved for in this pass */
} HrClassStats;

/**
 * hr_class_use_image:
 * @stats: statistics of a class
 * @image: an image
 * @tasks: how many tasks of the class will use it
 *
 * Counts the tasks; earlier ones count less and less.
 */
void hr_class_use_image (HrClassStats *stats, guint32 image, guint tasks);
