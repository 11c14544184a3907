#pragma once
#include "coordination/state.h"

void hr_instance_list_tick (HrCore *core);
