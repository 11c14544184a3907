/* The lists of the plan: one per machine, with the tasks to start there in deadline order.
 *
 * A task is in at most one list. HrTask.is_listed and HrJobPlan.n_listed are consistent with the
 * lists whenever a function of this module returns, unless its documentation says otherwise.
 */
#pragma once
#include "coordination/scheduling/plan.h"
#include "coordination/state.h"

/**
 * hr_list_position:
 *
 * Returns: the position of the task in the machine's list: after the tasks with the same deadline,
 * or, if the task goes first, after the others that do.
 */
guint hr_list_position (const HrCore *core, const HrMachine *machine, HrTaskRef ref);

/**
 * hr_list_insert:
 *
 * Inserts the task into the machine's list and marks it as listed there.
 */
void hr_list_insert (HrCore *core, HrMachine *machine, HrTaskRef ref);

/**
 * hr_list_remove:
 *
 * Removes the task from the machine's list, if it is there, but does not change its mark: the
 * caller must also call hr_task_mark_unlisted(), before or after, or hr_list_insert() for another
 * machine after.
 */
void hr_list_remove (HrMachine *machine, HrTaskRef ref);

/**
 * hr_task_mark_unlisted:
 *
 * Marks the task as not listed; the caller removes it from the list.
 */
void hr_task_mark_unlisted (HrJob *job, guint32 task_index);

/**
 * hr_job_unlist_tasks:
 *
 * Removes all tasks of the job from the lists, so that the next pass places them again.
 */
void hr_job_unlist_tasks (HrCore *core, HrJob *job);

/**
 * hr_append_listed_tasks:
 * @listed: (element-type HrListedTask)
 *
 * Appends the tasks of the machine's list with their projected starts to @listed.
 */
void hr_append_listed_tasks (HrCore *core, HrMachine *machine, GArray *listed);

/**
 * hr_listed_job:
 * @listed: (element-type HrListedTask)
 *
 * Returns: (transfer none): the job of the @i-th task of @listed.
 */
HrJob *hr_listed_job (const HrCore *core, const GArray *listed, guint i);
