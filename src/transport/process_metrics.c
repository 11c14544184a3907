#include "transport/process_metrics.h"
#include <sys/resource.h>

static double
seconds (struct timeval time)
{
  return time.tv_sec + time.tv_usec / 1e6;
}

static void
append_metrics (GString *text)
{
  struct rusage usage;
  if (getrusage (RUSAGE_SELF, &usage) != 0)
    return;
  g_string_append_printf (text,
                          "# HELP process_cpu_seconds_total processor time used\n"
                          "# TYPE process_cpu_seconds_total counter\n"
                          "process_cpu_seconds_total %.3f\n",
                          seconds (usage.ru_utime) + seconds (usage.ru_stime));
  g_string_append_printf (text,
                          "# HELP hoprock_memory_most_bytes most memory resident so far\n"
                          "# TYPE hoprock_memory_most_bytes gauge\n"
                          "hoprock_memory_most_bytes %ld\n",
                          usage.ru_maxrss * 1024);
}

void
hr_process_metrics_add (HrEffect *effect)
{
  /* The kind is checked first: the fields of a reply are in a union with those of a call. */
  if (effect->kind != HR_EFFECT_REPLY || !effect->reply.is_plain_text)
    return;
  GString *text = g_string_new (effect->body);
  append_metrics (text);
  g_free (effect->body);
  effect->body = g_string_free (text, FALSE);
}
