/* Starting tasks: turns planned tasks into assignments to machines.
 *
 * Callers check with start_check.h first. A start immediately removes the task from the plan and
 * subtracts its resources from the machine's free capacity. The assignment is then recorded, and
 * the task is launched only after that (jobs/task_lifecycle.h).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_start_task:
 *
 * Assigns an idle task to the machine, with the task's next attempt number.
 */
void hr_start_task (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine);

/**
 * hr_start_gang:
 *
 * Starts all tasks of a gang on the machines in whose lists they are, if each of them can start
 * there now.
 *
 * Returns: whether the gang was started; otherwise none of its tasks was.
 */
gboolean hr_start_gang (HrCore *core, HrJob *job);

/**
 * hr_start_lost_gang_tasks:
 * @job: a gang that lost tasks before its start
 *
 * Starts the lost tasks on other machines, with the attempt number of the remaining tasks. The
 * remaining tasks wait for at most `gang_wait_s` and occupy their machines meanwhile: if not all
 * lost tasks have a machine after half of that time, the attempt is ended and the whole gang starts
 * again.
 */
void hr_start_lost_gang_tasks (HrCore *core, HrJob *job);

/**
 * hr_machines_with_capacity:
 *
 * Returns: (transfer container) (element-type HrMachine): the machines that are up, not draining
 * and have unused processors; no task can start on any other machine.
 */
GPtrArray *hr_machines_with_capacity (const HrCore *core);

/**
 * hr_batch_machine_better:
 *
 * Returns: whether @left is better than @right for a batch task of the job: the task ends sooner
 * there; if the ends are equal, the machine is cheaper (spot); if that is equal too, it is fuller.
 */
gboolean hr_batch_machine_better (HrCore *core, const HrJob *job, const HrMachine *left,
                                  const HrMachine *right);
