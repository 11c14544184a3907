#include "coordination/counters.h"
#include "coordination/state.h"
#include <string.h>

/* Seconds between two lines. */
#define PRINT_S 10.0

void
hr_counters_tick (HrCore *c)
{
  if (c->now - c->counters_at < PRINT_S ||
      memcmp (&c->counters, &c->counters_printed, sizeof c->counters) == 0)
    return;
  c->counters_at = c->now;
  c->counters_printed = c->counters;
  g_autoptr (GString) line = g_string_new ("counters:");
#define X(name, meaning)                                                                           \
  if (c->counters.name)                                                                            \
    g_string_append_printf (line, " " #name "=%" G_GUINT64_FORMAT, c->counters.name);
  HR_COUNTERS (X)
#undef X
  g_info ("%s", line->str);
}
