/* Types that the modules of the plan share.
 *
 * The plan is one list of tasks per machine, ordered by deadline (HrMachinePlan in tables.h). It is
 * projected by projection.c, filled by mtedf.c (MT-EDF) and improved by tabu.c (bounded tabu
 * search); planner.c runs one pass of all three. Starts are in steady time, s. A plan lives in
 * memory only.
 */
#pragma once
#include "coordination/state.h"

/* How a list, or a change to it, is judged: late count, then tardiness. */
typedef struct {
  guint late;
  double tardiness; /* s */
} HrListScore;

/* A task in a machine's list, and when it should start there. */
typedef struct {
  HrTaskRef task;
  HrMachine *machine;
  double start;
} HrListedTask;

/**
 * hr_list_score_better:
 *
 * Returns: whether @left has fewer late tasks than @right, or as many and less tardiness.
 */
static inline gboolean
hr_list_score_better (HrListScore left, HrListScore right)
{
  const double tolerance_s = 1e-9;
  return left.late < right.late ||
         (left.late == right.late && left.tardiness < right.tardiness - tolerance_s);
}
