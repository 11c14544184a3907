/* Histograms of durations with fixed buckets, in the style of Prometheus. Recording takes constant
 * time and allocates nothing. They are implemented here because Debian packages no C library of
 * HdrHistogram. */
#pragma once
#include <glib.h>

#define HR_HISTOGRAM_BUCKETS 12

typedef struct {
  guint64 counts[HR_HISTOGRAM_BUCKETS + 1]; /* by bucket; the last one: above all bounds */
  double sum;                               /* of all durations, seconds */
} HrHistogram;

/**
 * hr_histogram_add:
 * @histogram: the histogram
 * @seconds: a duration
 *
 * Counts a duration.
 */
void hr_histogram_add (HrHistogram *histogram, double seconds);

/**
 * hr_histogram_print:
 * @histogram: the histogram
 * @text: the text to append to
 * @name: the name of the metric
 * @help: the help text of the metric
 *
 * Appends the histogram in the Prometheus text format.
 */
void hr_histogram_print (const HrHistogram *histogram, GString *text, const char *name,
                         const char *help);
