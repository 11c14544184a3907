#include "transport/process_metrics.h"
#include <sys/resource.h>

static double
seconds (struct timeval time)
{
  return time.tv_sec + time.tv_usec / 1e6;
}

void
hr_process_metrics_append (GString *text)
{
  struct rusage use;
  if (getrusage (RUSAGE_SELF, &use) != 0)
    return;
  g_string_append_printf (text,
                          "# HELP process_cpu_seconds_total processor time used\n"
                          "# TYPE process_cpu_seconds_total counter\n"
                          "process_cpu_seconds_total %.3f\n",
                          seconds (use.ru_utime) + seconds (use.ru_stime));
  g_string_append_printf (text,
                          "# HELP hoprock_memory_most_bytes most memory resident so far\n"
                          "# TYPE hoprock_memory_most_bytes gauge\n"
                          "hoprock_memory_most_bytes %ld\n",
                          use.ru_maxrss * 1024);
}
