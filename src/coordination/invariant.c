#include "coordination/invariant.h"
#include "coordination/state.h"
#include <stdarg.h>

#ifdef HR_FATAL_INVARIANTS
static gboolean ends_the_process = TRUE;
#else
static gboolean ends_the_process = FALSE;
#endif

void
hr_invariant_set_fatal (gboolean fatal)
{
  ends_the_process = fatal;
}

void
hr_invariant_violated (HrCore *core, const char *format, ...)
{
  va_list list;
  va_start (list, format);
  g_autofree char *text = g_strdup_vprintf (format, list);
  va_end (list);
  core->metrics.counters.invariants_violated++;
  if (ends_the_process)
    g_error ("invariant: %s", text);
  g_warning ("invariant: %s", text);
}
