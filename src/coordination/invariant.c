#include "coordination/invariant.h"
#include "coordination/state.h"
#include <stdarg.h>

#ifdef HR_FATAL_INVARIANTS
static gboolean is_fatal = TRUE;
#else
static gboolean is_fatal = FALSE;
#endif

void
hr_invariant_set_fatal (gboolean fatal)
{
  is_fatal = fatal;
}

void
hr_invariant_violated (HrCore *core, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  core->metrics.counters.invariants_violated++;
  if (is_fatal)
    g_error ("invariant: %s", text);
  g_warning ("invariant: %s", text);
}
