#pragma once
#include "coordination/state.h"

void hr_planner_pass (HrCore *core);
