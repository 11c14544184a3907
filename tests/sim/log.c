/* Log output of the controllers of a simulated day. */
#include "sim/log.h"
#include "sim/cluster.h"
#include <stdio.h>

/* Writes all messages, with simulated time and node, if HR_SIM_VERBOSE is set; otherwise only fatal
 * messages. */
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
