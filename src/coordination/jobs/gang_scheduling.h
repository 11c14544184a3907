/* Gangs: jobs whose tasks start together and are done together. An attempt of a gang is the same
 * attempt number of all its tasks; it is launched when all of them are recorded, and ends as a
 * whole. Leader only. */
#pragma once
#include "coordination/state.h"

/**
 * HrGangLoss:
 * @HR_GANG_LOSS_NONE: no matter for others: no gang, its last task, or it is over anyway
 * @HR_GANG_LOSS_REPLACE: the others keep waiting; the task is placed anew in the same attempt
 * @HR_GANG_LOSS_END_ATTEMPT: all the others are stopped
 *
 * What the loss of a task means for the rest of its job.
 */
typedef enum { HR_GANG_LOSS_NONE, HR_GANG_LOSS_REPLACE, HR_GANG_LOSS_END_ATTEMPT } HrGangLoss;

/**
 * hr_gang_ready:
 *
 * Are all its tasks recorded, of one attempt?
 */
gboolean hr_gang_ready (const HrJob *job);

/**
 * hr_gang_delays_launch:
 * @job: a gang that is ready
 * @task: one of its tasks
 *
 * Is it too early to launch this task? One that has its image at once would wait for those that
 * fetch it, and give up after gang_wait_s; with it they would lose their fetches, attempt after
 * attempt. So it is launched later: half of that wait before the longest fetch should end.
 */
gboolean hr_gang_delays_launch (const HrCore *core, const HrJob *job, const HrTask *task);

/**
 * hr_gang_decide_loss:
 * @job: the job, with the task still bound
 * @cause: why the task is lost
 *
 * Decides what is to become of the job's other tasks.
 */
HrGangLoss hr_gang_decide_loss (const HrJob *job, HrExitCause cause);

/**
 * hr_gang_end_attempt:
 * @grace_s: how long its tasks may take to save
 *
 * Ends the gang's attempt: all its tasks have to go before the next one.
 */
void hr_gang_end_attempt (HrCore *core, HrJob *job, double grace_s);

/**
 * hr_gang_done:
 * @attempt: of the task that is done
 * @any: whether tasks of all attempts are done
 *
 * A gang completes together: one task is done, so all of that attempt are, also those whose machine
 * went before it could say so.
 */
void hr_gang_done (HrCore *core, HrJob *job, guint32 attempt, gboolean any);
