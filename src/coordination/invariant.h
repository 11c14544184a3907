/* Conditions that the rules of the protocol rest on, checked while the service runs. For all
 * modules of the core. */
#pragma once
#include "coordination/core.h"

/**
 * hr_invariant_violated:
 * @core: the controller
 * @format: a printf() format that says which condition does not hold, and where
 * @...: its arguments
 *
 * In tests and sanitized builds (the macro HR_FATAL_INVARIANTS) the process ends. Else the
 * violation is logged as a warning and counted (`invariants_violated`); the caller must then do
 * what is safe.
 */
void hr_invariant_violated (HrCore *core, const char *format, ...) G_GNUC_PRINTF (2, 3);

/**
 * hr_invariant_set_fatal:
 * @fatal: whether a violation ends the process
 *
 * For tests of what a release does.
 */
void hr_invariant_set_fatal (gboolean fatal);
