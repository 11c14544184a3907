#include "coordination/metrics/counters.h"
#include "coordination/state.h"
#include <string.h>

/* Seconds between two lines. */
#define PRINT_S 10.0

void
hr_counters_tick (HrCore *core)
{
  if (core->now - core->metrics.counters_printed_at < PRINT_S ||
      memcmp (&core->metrics.counters, &core->metrics.counters_printed,
              sizeof core->metrics.counters) == 0)
    return;
  core->metrics.counters_printed_at = core->now;
  core->metrics.counters_printed = core->metrics.counters;
  g_autoptr (GString) line = g_string_new ("counters:");
#define X(name, meaning)                                                                           \
  if (core->metrics.counters.name)                                                                 \
    g_string_append_printf (line, " " #name "=%" G_GUINT64_FORMAT, core->metrics.counters.name);
  HR_COUNTERS (X)
#undef X
  g_info ("%s", line->str);
}
