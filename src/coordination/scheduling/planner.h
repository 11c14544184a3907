/* The planning pass: brings the lists of the plan up to date.
 *
 * The plan is one deadline-ordered list of tasks per machine. New tasks are placed by MT-EDF
 * (mtedf.h); a bounded tabu search (tabu.h) then moves tardy ones (Klusacek, Matyska, Rudova: Local
 * Search for Deadline Driven Grid Scheduling, figures 1 to 3). The plan of the pass before is the
 * starting point.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_planner_pass:
 *
 * Called by the leader's core, after quotas and guarantees of the pass are set and before
 * hr_dispatch(). Starts nothing.
 */
void hr_planner_pass (HrCore *core);
