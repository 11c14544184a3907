/* The dispatch pass: from the plan to orders.
 *
 * What can start now starts. For what cannot, other work is preempted or instances are requested,
 * or it waits; idle machines are returned.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_dispatch:
 *
 * Called by the leader's core, right after hr_planner_pass(). Does nothing while nothing can be
 * recorded.
 */
void hr_dispatch (HrCore *core);
