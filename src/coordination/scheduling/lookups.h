/* Look-ups in the job and machine tables, for scheduling and scaling. They are inline because
 * planning passes call them for every task. The tables own the rows.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_job_of_task:
 *
 * Returns: (transfer none): the job that the task belongs to.
 */
static inline HrJob *
hr_job_of_task (const HrCore *core, HrTaskRef ref)
{
  return core->store.tables.jobs->pdata[ref.job];
}

/**
 * hr_open_job:
 * @i: less than the length of the list of open jobs
 *
 * Returns: (transfer none): the job at this index of the list of open jobs.
 */
static inline HrJob *
hr_open_job (const HrCore *core, guint i)
{
  return core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
}

/**
 * hr_task_is_placed:
 *
 * Returns: whether the task is assigned to a machine, even if the assignment is not recorded yet.
 */
static inline gboolean
hr_task_is_placed (const HrTask *task)
{
  return task->state == HR_TASK_ASSIGNING || task->state == HR_TASK_BOUND;
}

/**
 * hr_machine_by_index:
 *
 * Returns: (transfer none): the machine with this index, even if it is in state %HR_MACHINE_GONE.
 */
static inline HrMachine *
hr_machine_by_index (const HrCore *core, guint32 index)
{
  return core->store.tables.machines->pdata[index];
}
