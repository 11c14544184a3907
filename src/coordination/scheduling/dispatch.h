/* The dispatch pass: starts the tasks that the plan lists for each machine (task_lists.h).
 *
 * Starts every task that can start now. For tasks that cannot, it preempts other tasks or requests
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
