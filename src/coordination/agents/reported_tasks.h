/* Processes the list of tasks in a worker's message: updates the state of recorded tasks, records
 * the ends of tasks, and stops tasks that are not recorded on the machine. A worker reports an
 * ended attempt until it is ordered to clear it, which means to forget it. Leader only. */
#pragma once
#include "coordination/state.h"

/* What to do about a task that a worker reports. */
typedef enum {
  HR_REPORTED_TASK_RECORDED,       /* update it: it is recorded on this machine */
  HR_REPORTED_TASK_END_UNRECORDED, /* wait: its end is not recorded yet */
  HR_REPORTED_TASK_ASSIGNING,      /* wait: its placement is being written to the store */
  HR_REPORTED_TASK_CLEAR,          /* clear it: it has ended, and the worker may forget it */
  HR_REPORTED_TASK_CLEAR_DEFERRED, /* wait: it has ended, but the worker may not forget it yet */
  HR_REPORTED_TASK_STOP            /* stop it: it runs and is not recorded on this machine */
} HrReportedTaskVerdict;

/**
 * hr_reported_task_verdict:
 * @job: (nullable): the job with the reported id; %NULL if it is unknown
 * @task: (nullable): the task; %NULL unless it is placed on @machine in the reported attempt and in
 * the worker's current incarnation
 *
 * Decides whether to update, clear or stop the reported task, or to wait. Changes nothing.
 *
 * Returns: what to do about the reported task.
 */
HrReportedTaskVerdict hr_reported_task_verdict (const HrCore *core, const HrMachine *machine,
                                                const HrReportedTask *reported, const HrJob *job,
                                                const HrTask *task);

/**
 * hr_reported_tasks_apply:
 * @message: the newest message of the machine's worker, in its current incarnation
 * @is_heartbeat: %TRUE for a current heartbeat, in which a missing task may prove that the worker
 * does not have it; %FALSE for the answer to a direct call, in which it proves nothing
 * @orders: HrOrder; the resulting stops and clears are appended. They borrow texts of @message.
 *
 * Processes the tasks in the message.
 */
void hr_reported_tasks_apply (HrCore *core, HrMachine *machine, const HrHeartbeat *message,
                              gboolean is_heartbeat, GArray *orders);
