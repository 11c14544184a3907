/* Bounded tabu search over the lists of the plan (Klusacek, Matyska, Rudova: Local Search for
 * Deadline Driven Grid Scheduling, figures 2 and 3).
 *
 * Called by the planner alone, last in a pass.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_tabu_search:
 * @lists: (element-type HrMachine): the machines whose lists are planned, all projected
 *
 * Moves the most tardy tasks to less tardy lists while that makes the plan better, for so many
 * rounds as the policy allows.
 */
void hr_tabu_search (HrCore *core, GPtrArray *lists);
