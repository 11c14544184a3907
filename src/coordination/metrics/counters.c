#include "coordination/metrics/counters.h"
#include "coordination/state.h"
#include <string.h>

/* Least time between two log lines. */
#define LOG_INTERVAL_S 10.0

void
hr_counters_tick (HrCore *core)
{
  HrMetrics *metrics = &core->metrics;
  gboolean changed =
      memcmp (&metrics->counters, &metrics->counters_logged, sizeof metrics->counters) != 0;
  if (core->now - metrics->counters_logged_at < LOG_INTERVAL_S || !changed)
    return;
  metrics->counters_logged_at = core->now;
  metrics->counters_logged = metrics->counters;
  g_autoptr (GString) line = g_string_new ("counters:");
#define X(field, name, help)                                                                       \
  if (metrics->counters.field)                                                                     \
    g_string_append_printf (line, " " #name "=%" G_GUINT64_FORMAT, metrics->counters.field);
  HR_COUNTERS (X)
#undef X
  g_info ("%s", line->str);
}
