/* Preemption within a team's limit.
 *
 * A job whose team is at its limit cannot start, however much capacity is free. For the first such
 * jobs in order, work of lower priority of the same team is stopped. Called once a dispatch pass,
 * after the starts, by a leader that may record starts.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_quotas_preempt:
 *
 * Stops work of lower priority for the jobs that their own team's limit holds up. Quotas have to be
 * granted for this pass (hr_quotas_pass()).
 */
void hr_quotas_preempt (HrCore *core);
