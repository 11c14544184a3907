#pragma once
#include "coordination/state.h"

void hr_submit (HrCore *core, HrCommand *command);
