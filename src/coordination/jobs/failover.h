#pragma once
#include "coordination/state.h"

void hr_failover_take_over (HrCore *core);
