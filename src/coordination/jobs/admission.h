#pragma once
#include "coordination/state.h"

char *hr_admission_refusal_reason (HrCore *core, const HrJobSpec *spec);
