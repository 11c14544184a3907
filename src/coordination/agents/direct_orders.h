#pragma once
#include "coordination/state.h"

void hr_direct_orders_send (HrCore *core);
