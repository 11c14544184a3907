/* Durations counted in fixed buckets, as Prometheus has them: no allocation, constant time. Debian
 * has no C library of HdrHistogram. */
#pragma once
#include <glib.h>

#define HR_HISTOGRAM_BUCKETS 12

typedef struct {
  guint64 counts[HR_HISTOGRAM_BUCKETS + 1]; /* by bucket; the last one: beyond all bounds */
  double sum;                               /* of all durations, seconds */
} HrHistogram;

/**
 * hr_histogram_add:
 * @histogram: the histogram
 * @seconds: a duration to count
 */
void hr_histogram_add (HrHistogram *histogram, double seconds);
/**
 * hr_histogram_print:
 * @histogram: the histogram
 * @text: the text to append to
 * @name: of the metric
 * @help: what it measures
 *
 * Appends the histogram in the Prometheus text format.
 */
void hr_histogram_print (const HrHistogram *histogram, GString *text, const char *name,
                         const char *help);
