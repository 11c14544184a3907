/* The lists of the plan: one per machine, with unstarted tasks in the order of their deadlines.
 *
 * A task stands in one list at most; HrTask.is_listed and HrJobPlan.n_listed agree with the lists
 * whenever a function of this module returns, except where it says so.
 */
#pragma once
#include "coordination/scheduling/plan.h"
#include "coordination/state.h"

/**
 * hr_list_position:
 *
 * Returns: where a task of the job belongs in the machine's list: behind those with the same
 * deadline.
 */
guint hr_list_position (const HrCore *core, const HrMachine *machine, const HrJob *job);

/**
 * hr_list_insert:
 *
 * Puts the task into the machine's list.
 */
void hr_list_insert (HrCore *core, HrMachine *machine, HrTaskRef ref);

/**
 * hr_list_remove:
 *
 * Takes the task out of the machine's list, if it is there. It still counts as listed:
 * hr_task_unplan(), or hr_list_insert() elsewhere, has to follow or to have been called.
 */
void hr_list_remove (HrMachine *machine, HrTaskRef ref);

/**
 * hr_task_unplan:
 *
 * Notes that the task stands in no list any more; the caller takes it out of the list.
 */
void hr_task_unplan (HrJob *job, guint32 task_index);

/**
 * hr_job_unplan:
 *
 * Takes all tasks of the job out of the lists: the next pass places them anew.
 */
void hr_job_unplan (HrCore *core, HrJob *job);

/**
 * hr_list_append:
 * @listed: (element-type HrListedTask)
 *
 * Appends the tasks of the machine's list with their projected starts to @listed.
 */
void hr_list_append (HrCore *core, HrMachine *machine, GArray *listed);

/**
 * hr_listed_job:
 * @listed: (element-type HrListedTask)
 *
 * Returns: (transfer none): the job of the @i-th task of @listed.
 */
HrJob *hr_listed_job (const HrCore *core, const GArray *listed, guint i);
