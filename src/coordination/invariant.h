/* Conditions that the rules of the protocol rest on, checked while the service runs. */
#pragma once
#include "coordination/core.h"

/* The invariant that the text describes does not hold. In tests and sanitized builds (the macro
 * HR_FATAL_INVARIANTS) the process ends; else it is logged at warning and counted
 * (`invariants_violated`), and the caller does what is safe. */
void hr_invariant_violated (HrCore *core, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* For tests of what a release does: whether a violation ends the process. */
void hr_invariant_set_fatal (gboolean fatal);
