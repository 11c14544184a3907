/* Trial placements: what a list would come to with one task more. */
#pragma once
#include "coordination/scheduling/plan.h"
#include "coordination/state.h"

/* What would come of a task in a list. */
typedef struct {
  HrListScore change; /* of the list, and so of the whole plan: the other lists stay as they are */
  double start;       /* of the task; steady time, s */
} HrTrial;

/**
 * hr_trial_insert:
 * @machine: its list has to be projected
 *
 * Projects the machine's list with the task at its deadline slot, and leaves everything as it was.
 *
 * Returns: what would come of it.
 */
HrTrial hr_trial_insert (HrCore *core, HrMachine *machine, HrTaskRef ref);
