/* Runtime checks of the invariants that the protocol depends on. For all modules of the core. */
#pragma once
#include "coordination/core.h"

/**
 * hr_invariant_violated:
 * @core: the controller
 * @format: a printf() format that describes the violated invariant and where it was found
 * @...: the arguments of @format
 *
 * Reports a violated invariant. In tests and sanitized builds (the macro HR_FATAL_INVARIANTS) the
 * process aborts. In other builds the violation is logged as a warning and counted
 * (`invariants_violated`), and the caller must continue in a safe way.
 */
void hr_invariant_violated (HrCore *core, const char *format, ...) G_GNUC_PRINTF (2, 3);

/**
 * hr_invariant_set_fatal:
 * @fatal: whether a violation aborts the process
 *
 * For tests of the behaviour of release builds.
 */
void hr_invariant_set_fatal (gboolean fatal);
