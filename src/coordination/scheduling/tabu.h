/* Bounded tabu search over the lists of the plan (Klusacek, Matyska, Rudova: Local Search for
 * Deadline Driven Grid Scheduling, figures 2 and 3).
 *
 * Called by the planner only, as the last step of a pass.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_tabu_search:
 * @lists: (element-type HrMachine): the plannable machines, with their lists projected
 *
 * Moves the most tardy tasks to less tardy lists as long as that improves the plan, for at most
 * `tabu_rounds` rounds of the policy.
 */
void hr_tabu_search (HrCore *core, GPtrArray *lists);
