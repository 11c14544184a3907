/* The planning pass: brings the lists of the plan up to date.
 *
 * The plan is one deadline-ordered list of tasks per machine. New tasks are placed by MT-EDF
 * (mtedf.h); a bounded tabu search (tabu.h) then moves tardy ones (Klusacek, Matyska, Rudova: Local
 * Search for Deadline Driven Grid Scheduling, figures 1 to 3). Each pass starts from the plan of
 * the previous pass.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_planner_pass:
 *
 * Updates the plan. Called by the leader's core, after the quotas and guarantees of the pass are
 * set and before hr_dispatch(). Starts no tasks.
 */
void hr_planner_pass (HrCore *core);
