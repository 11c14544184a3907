/* Gang scheduling. A gang is a job whose tasks start together and complete together. In an attempt
 * of a gang all its tasks have the same attempt number; the attempt is launched once all
 * assignments are recorded, and ends as a whole. Leader only. */
#pragma once
#include "coordination/state.h"

/**
 * HrGangLoss:
 * @HR_GANG_LOSS_NONE: no other task is affected: the job is no gang, this was its last live task,
 * the attempt is ending, or the job is final
 * @HR_GANG_LOSS_REPLACE: the other tasks keep waiting; the lost task is placed again in the same
 * attempt
 * @HR_GANG_LOSS_END_ATTEMPT: all other tasks are stopped
 *
 * Consequences of the loss of a task for the other tasks of its job.
 */
typedef enum { HR_GANG_LOSS_NONE, HR_GANG_LOSS_REPLACE, HR_GANG_LOSS_END_ATTEMPT } HrGangLoss;

/**
 * hr_gang_ready:
 *
 * Returns: whether the assignments of all the gang's tasks are recorded, in the same attempt.
 */
gboolean hr_gang_ready (const HrJob *job);

/**
 * hr_gang_delays_launch:
 * @job: a gang that is ready
 * @task: one of its tasks
 *
 * Decides whether it is too early to launch the task. A task whose image is available at once would
 * wait for the tasks that still fetch it and give up after gang_wait_s; that ends the attempt and
 * aborts the fetches of the other tasks, in every attempt. So the launch is delayed such that the
 * task has its image gang_wait_s / 2 before the longest fetch is expected to end.
 *
 * Returns: whether the launch is delayed.
 */
gboolean hr_gang_delays_launch (const HrCore *core, const HrJob *job, const HrTask *task);

/**
 * hr_gang_decide_loss:
 * @job: the job, with the lost task still bound
 * @cause: why the task was lost
 *
 * Returns: the consequences for the other tasks of the job.
 */
HrGangLoss hr_gang_decide_loss (const HrJob *job, HrExitCause cause);

/**
 * hr_gang_end_attempt:
 * @grace_s: time that its tasks have to save their state, in seconds
 *
 * Ends the gang's attempt. The next attempt starts only after all tasks of this one have ended.
 */
void hr_gang_end_attempt (HrCore *core, HrJob *job, double grace_s);

/**
 * hr_gang_done:
 * @attempt: the attempt of the task that is done
 * @all_attempts: whether to complete the tasks of all attempts instead
 *
 * Marks all tasks of the attempt as done. A gang completes together: if one task is done, all tasks
 * of that attempt are, including those whose machine was lost before it could report that.
 */
void hr_gang_done (HrCore *core, HrJob *job, guint32 attempt, gboolean all_attempts);
