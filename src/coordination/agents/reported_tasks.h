/* Takes in the list of tasks in a worker's message: what runs is noted, what ended is recorded or
 * cleared, and what no record has there is stopped. Leader only. */
#pragma once
#include "coordination/state.h"

/* What follows from one task that a worker shows. */
typedef enum {
  HR_REPORTED_TASK_RECORDED,       /* it is where its record has it: its state is taken in */
  HR_REPORTED_TASK_END_UNRECORDED, /* left alone: its end is still to be recorded */
  HR_REPORTED_TASK_ASSIGNING,      /* left alone: the record of its place is being written */
  HR_REPORTED_TASK_CLEAR,          /* it has ended, and the worker may forget it */
  HR_REPORTED_TASK_ENDED,          /* it has ended, and the worker may not forget it yet */
  HR_REPORTED_TASK_STOP            /* it runs, and no record has it there */
} HrReportedTaskVerdict;

/**
 * hr_reported_task_verdict:
 * @job: (nullable): the job of that id, if it is known
 * @task: (nullable): the task, if it is recorded here in this attempt and incarnation
 *
 * Changes nothing.
 *
 * Returns: what follows from the reported task.
 */
HrReportedTaskVerdict hr_reported_task_verdict (const HrCore *core, const HrMachine *machine,
                                                const HrReportedTask *reported, const HrJob *job,
                                                const HrTask *task);

/**
 * hr_reported_tasks_take:
 * @message: the newest message of the machine's worker, in its present incarnation
 * @is_report: a current report, whose silence about a task counts; else the answer to a direct call
 * @orders: HrOrder; stops and clears that follow are appended. They borrow texts of @message.
 *
 * Takes in the message's tasks.
 */
void hr_reported_tasks_take (HrCore *core, HrMachine *machine, const HrHeartbeat *message,
                             gboolean is_report, GArray *orders);
