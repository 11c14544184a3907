/* Trial placements: compute the score of a list with one more task. */
#pragma once
#include "coordination/scheduling/plan.h"
#include "coordination/state.h"

/* The result of a trial placement. */
typedef struct {
  HrListScore change; /* of the list's score, and so of the plan's: other lists do not change */
  double start;       /* projected start of the task; monotonic time, s */
} HrTrial;

/**
 * hr_trial_insert:
 * @machine: a machine whose list is projected
 *
 * Projects the machine's list with the task at its deadline position, then restores the list and
 * its projection.
 *
 * Returns: the change of the list's score and the projected start of the task.
 */
HrTrial hr_trial_insert (HrCore *core, HrMachine *machine, HrTaskRef ref);
