#include "coordination/metrics/counters.h"
#include "coordination/state.h"
#include <string.h>

/* Seconds between two lines. */
#define PRINT_S 10.0

void
hr_counters_tick (HrCore *c)
{
  if (c->now - c->metrics.counters_printed_at < PRINT_S ||
      memcmp (&c->metrics.counters, &c->metrics.counters_printed, sizeof c->metrics.counters) == 0)
    return;
  c->metrics.counters_printed_at = c->now;
  c->metrics.counters_printed = c->metrics.counters;
  g_autoptr (GString) line = g_string_new ("counters:");
#define X(name, meaning)                                                                           \
  if (c->metrics.counters.name)                                                                    \
    g_string_append_printf (line, " " #name "=%" G_GUINT64_FORMAT, c->metrics.counters.name);
  HR_COUNTERS (X)
#undef X
  g_info ("%s", line->str);
}
