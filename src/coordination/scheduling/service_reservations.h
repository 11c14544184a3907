#pragma once
#include "coordination/state.h"

void hr_reserve_for_services (HrCore *core);
