#pragma once
#include "coordination/state.h"

/* Stops work of lower priority for jobs that their own team's limit holds back. */
void hr_quotas_preempt (HrCore *core);
