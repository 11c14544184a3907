/* MT-EDF (minimum tardiness earliest deadline first): places new tasks in the lists of the plan
 * (Klusacek, Matyska, Rudova: Local Search for Deadline Driven Grid Scheduling, figure 1).
 *
 * Called by the planner only. The lists must be projected before each call and are projected again
 * after it. The sample of lists is drawn from the core's random number generator, so the order of
 * calls affects the result.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_mtedf_candidates:
 * @lists: (element-type HrMachine): the plannable machines
 *
 * Returns: (transfer container) (element-type HrMachine): the candidates, which are the machines
 * whose lists may take the job's tasks, by earliest start.
 */
GPtrArray *hr_mtedf_candidates (HrCore *core, GPtrArray *lists, HrJob *job);

/**
 * hr_mtedf_place_task:
 * @candidates: (element-type HrMachine): from hr_mtedf_candidates() for this job; kept sorted
 * @max_trials: maximum number of trial placements, approximately, since the sample is random
 *
 * Inserts one task of the job, which must not be a gang, into the list where it adds the fewest
 * late tasks, then the least tardiness.
 *
 * Returns: whether the task was inserted; %FALSE if no list that was tried can take it.
 */
gboolean hr_mtedf_place_task (HrCore *core, GPtrArray *candidates, HrJob *job, guint32 task_index,
                              guint max_trials);

/**
 * hr_mtedf_place_gang:
 * @lists: (element-type HrMachine): the plannable machines
 * @max_trials: maximum number of trial placements, approximately, since the sample is hashed; lists
 * of empty machines need no trial and don't count
 *
 * Inserts each task of a gang into a different list, with a common start. Leaves the gang unlisted
 * if there are too few suitable lists.
 */
void hr_mtedf_place_gang (HrCore *core, GPtrArray *lists, HrJob *job, guint max_trials);
