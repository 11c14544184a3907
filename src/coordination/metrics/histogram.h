/* Durations counted in fixed buckets, as Prometheus has them. Debian has no C library of
 * HdrHistogram; its nearest kin is this: twelve buckets, no allocation, constant time. */
#pragma once
#include <glib.h>

#define HR_HISTOGRAM_BUCKETS 12

typedef struct {
  guint64 counts[HR_HISTOGRAM_BUCKETS + 1]; /* the last one: beyond all bounds */
  double sum;                               /* seconds */
} HrHistogram;

void hr_histogram_add (HrHistogram *histogram, double seconds);
/* Appends the histogram in the Prometheus text format. */
void hr_histogram_print (const HrHistogram *histogram, GString *text, const char *name,
                         const char *help);
