#pragma once
#include "coordination/state.h"

void hr_tabu_search (HrCore *core, GPtrArray *lists);
