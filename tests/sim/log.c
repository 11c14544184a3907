/* What the controllers of a simulated day log. */
#include "sim/log.h"
#include "sim/cluster.h"
#include <stdio.h>

/* With HR_SIM_VERBOSE=1: all of it, with simulated time and node. Fatal messages are shown always.
 */
static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer verbose)
{
  if (!verbose)
    return level & G_LOG_FLAG_FATAL ? g_log_writer_default (level, fields, n, NULL)
                                    : G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n; i++)
    if (g_str_equal (fields[i].key, "MESSAGE"))
      fprintf (stderr, "%8.3f c%d %s\n", sim_log_time, sim_log_node, (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

void
sim_log_init (void)
{
  g_log_set_writer_func (log_writer, GINT_TO_POINTER (g_getenv ("HR_SIM_VERBOSE") != NULL), NULL);
}
