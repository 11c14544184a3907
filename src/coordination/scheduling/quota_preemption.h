/* Preemption within a team's limit.
 *
 * A job whose team is at its limit cannot start, however much capacity is free. For the first such
 * jobs in the order of grants, tasks of lower priority of the same team are stopped. Called once
 * per dispatch pass, after the starts, by a leader that may record starts.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_quotas_preempt:
 *
 * Stops tasks of lower priority for the jobs that wait because of their own team's limit. Requires
 * the grants of this pass (hr_quotas_pass()).
 */
void hr_quotas_preempt (HrCore *core);
