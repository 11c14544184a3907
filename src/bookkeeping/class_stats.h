/* Statistics of a class of jobs: run times, arrivals, and the images that its tasks use.
 *
 * coordination/jobs/ and coordination/scheduling/ update them. They are kept in memory only. */
#pragma once
#include "protocol/jobspec.h"
#include <glib.h>

/* An image that recent tasks of a class use, with its decayed number of tasks. */
typedef struct {
  guint32 image;
  double weight;
} HrImageUse;

/* Statistics of a class of jobs, for estimates of run times and for headroom. */
typedef struct {
  double run_time_correction; /* actual / estimated run time, smoothed */
  guint run_time_samples;
  double arrivals, arrivals_weight;     /* tasks per second, smoothed: arrivals / arrivals_weight */
  double recent_arrivals, recent_since; /* arrivals of the last seconds, not yet in `arrivals` */
  double cpus, gpus, memory_gb;         /* resources of a task of its recent jobs, smoothed */
  HrImageUse images[12];                /* most used images, in descending order of weight */
  guint n_images;
  HrShape shape;
  HrPriority priority;
  gboolean allows_spot, is_seen; /* is_seen: a job of the class has been counted */
  guint64 types;                 /* machine types that its latest job allows, as in HrJobSpec */
  guint64 teams;  /* bit set of the teams with jobs of the class, by index modulo 64 */
  guint headroom; /* tasks for which this planning pass reserves capacity */
} HrClassStats;

/**
 * hr_class_add_image_use:
 * @stats: statistics of a class
 * @image: an image
 * @tasks: number of tasks of the class that will use the image
 *
 * Adds the tasks to the image's weight. The weights of earlier tasks decay.
 */
void hr_class_add_image_use (HrClassStats *stats, guint32 image, guint tasks);
