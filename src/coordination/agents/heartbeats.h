#pragma once
#include "coordination/state.h"

void hr_heartbeat_received (HrCore *core, HrCommand *command);
/* What a worker answered to a direct call: its list after the orders. */
void hr_heartbeat_direct_answer (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat);
