#include "coordination/metrics/refusals.h"
#include "coordination/state.h"

/* Minimum time between two log lines of one kind. */
#define LOG_INTERVAL_S 10.0

#define COUNTER(field) offsetof (HrCounters, field)

/* The name in the log and the counter of each kind. */
static const struct {
  const char *name;
  gsize counter; /* offset in HrCounters */
} kinds[HR_REFUSAL_KINDS] = {
    [HR_REFUSAL_SYNTAX] = {"syntax", COUNTER (submissions_refused_syntax)},
    [HR_REFUSAL_FIELD] = {"field", COUNTER (submissions_refused_field)},
    [HR_REFUSAL_SIZE] = {"size", COUNTER (submissions_refused_size)},
    [HR_REFUSAL_INFEASIBLE] = {"infeasible", COUNTER (submissions_refused_infeasible)},
    [HR_REFUSAL_MEMORY] = {"memory", COUNTER (submissions_refused_memory)},
    [HR_REFUSAL_BACKLOG] = {"backlog", COUNTER (submissions_refused_backlog)},
    [HR_REFUSAL_REPORT] = {"report", COUNTER (reports_malformed)},
    [HR_REFUSAL_ANSWER] = {"answer", COUNTER (answers_unreadable)},
};

/* Returns the text on one line: control characters, and all bytes above 127 of a text that is not
 * UTF-8, as escapes. */
static char *
printable (const char *text)
{
  char above_ascii[129];
  for (int i = 0; i < 128; i++)
    above_ascii[i] = (char)(128 + i);
  above_ascii[128] = 0;
  return g_strescape (text, g_utf8_validate (text, -1, NULL) ? above_ascii : NULL);
}

void
hr_refusal_record (HrCore *core, HrRefusalKind kind, const char *subject, const char *reason)
{
  HrRefusalLog *log = &core->metrics.refusals[kind];
  G_STRUCT_MEMBER (guint64, &core->metrics.counters, kinds[kind].counter)++;
  log->n_unlogged++;
  if (log->logged_at > 0 && core->now - log->logged_at < LOG_INTERVAL_S)
    return;
  g_autofree char *text = printable (reason);
  g_autofree char *name = printable (subject ? subject : "-");
  g_info ("refusal: kind=%s subject=%s count=%u reason=\"%s\"", kinds[kind].name, name,
          log->n_unlogged, text);
  log->logged_at = core->now;
  log->n_unlogged = 0;
}
