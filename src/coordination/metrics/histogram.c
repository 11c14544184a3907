#include "coordination/metrics/histogram.h"

/* Upper bounds of the buckets, in seconds. */
static const double bounds[HR_HISTOGRAM_BUCKETS] = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                    0.25,  0.5,   1,    2.5,  5,    15};

void
hr_histogram_add (HrHistogram *histogram, double seconds)
{
  guint i = 0;
  while (i < HR_HISTOGRAM_BUCKETS && seconds > bounds[i])
    i++;
  histogram->counts[i]++;
  histogram->sum += seconds;
}

void
hr_histogram_print (const HrHistogram *histogram, GString *text, const char *name, const char *help)
{
  guint64 cumulative_count = 0;
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s histogram\n", name, help, name);
  for (guint i = 0; i < HR_HISTOGRAM_BUCKETS; i++) {
    cumulative_count += histogram->counts[i];
    g_string_append_printf (text, "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n", name, bounds[i],
                            cumulative_count);
  }
  cumulative_count += histogram->counts[HR_HISTOGRAM_BUCKETS];
  g_string_append_printf (text, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name,
                          cumulative_count);
  g_string_append_printf (text, "%s_sum %g\n%s_count %" G_GUINT64_FORMAT "\n", name, histogram->sum,
                          name, cumulative_count);
}
