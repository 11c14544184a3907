/* Types that the modules of the plan share.
 *
 * The plan is one list of tasks per machine, ordered by deadline (HrMachinePlan in machine.h). It
 * is projected by projection.c, filled by mtedf.c (MT-EDF) and improved by tabu.c (bounded tabu
 * search); planner.c runs one pass of all three. Start times are monotonic time, in seconds. The
 * plan is kept in memory only.
 */
#pragma once
#include "coordination/state.h"

/* The score of a list, or the change of its score: the number of late tasks counts first, then the
 * total tardiness. */
typedef struct {
  guint late_count;
  double tardiness; /* s */
} HrListScore;

/* A task in a machine's list, with its projected start. */
typedef struct {
  HrTaskRef task;
  HrMachine *machine;
  double start;
} HrListedTask;

/**
 * hr_list_score_better:
 *
 * Returns: whether @left has fewer late tasks than @right, or the same number and less tardiness.
 */
static inline gboolean
hr_list_score_better (HrListScore left, HrListScore right)
{
  const double tolerance_s = 1e-9;
  return left.late_count < right.late_count ||
         (left.late_count == right.late_count && left.tardiness < right.tardiness - tolerance_s);
}
