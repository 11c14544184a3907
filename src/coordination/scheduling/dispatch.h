/* The dispatch pass: turns the plan into starts.
 *
 * Starts every task that can start now. For tasks that cannot, it preempts other work or requests
 * instances, or leaves them waiting. Idle machines are returned to the cloud.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_dispatch:
 *
 * Runs the dispatch pass. Called by the leader's core, right after hr_planner_pass(). Does nothing
 * while assignments cannot be recorded in the state store.
 */
void hr_dispatch (HrCore *core);
