/* Which capacity is reserved for starving jobs that come before another job
 * (starvation_reservations.h makes these reservations).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_reserved_ahead:
 *
 * Returns: the capacity of the machine that is reserved for starving jobs that come before the job,
 * so that the job may not start on it.
 */
HrResources hr_reserved_ahead (const HrCore *core, const HrJob *job, const HrMachine *machine);
