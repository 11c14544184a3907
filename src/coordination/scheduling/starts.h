/* Starting tasks: the step from the plan to an assignment.
 *
 * Callers check with start_check.h first. A start takes the task out of the plan and its capacity
 * off the machine at once; the assignment is then recorded, and only after that is the task
 * launched (jobs/task_lifecycle.h).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_start_task:
 *
 * Assigns an idle task to the machine, as its next attempt.
 */
void hr_start_task (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine);

/**
 * hr_start_gang:
 *
 * Starts all tasks of a gang where they stand in lists, if each of them can start there now.
 *
 * Returns: whether they were started; else none was.
 */
gboolean hr_start_gang (HrCore *core, HrJob *job);

/**
 * hr_start_lost_gang_tasks:
 * @job: a gang that lost tasks before its start
 *
 * Starts these tasks on other machines, with the attempt number of the remaining ones. Those wait
 * for a limited time only, and occupy their machines meanwhile: where no machine is found in half
 * of that time, the gang begins anew.
 */
void hr_start_lost_gang_tasks (HrCore *core, HrJob *job);

/**
 * hr_machines_with_capacity:
 *
 * Returns: (transfer container) (element-type HrMachine): those on which something more may start;
 * the others need not be looked at.
 */
GPtrArray *hr_machines_with_capacity (const HrCore *core);

/**
 * hr_batch_machine_better:
 *
 * Returns: whether a batch task of the job should rather start on @left than on @right: done sooner
 * first; then on the cheaper machine, then on the fuller one.
 */
gboolean hr_batch_machine_better (HrCore *core, const HrJob *job, const HrMachine *left,
                                  const HrMachine *right);
