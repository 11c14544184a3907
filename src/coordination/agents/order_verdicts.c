#include "coordination/agents/order_verdicts.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"

/* Seconds after which a direct stop is sent once more. */
#define STOP_AGAIN_S 1.0
/* A save that takes so many seconds longer than the stop allowed is ended. */
#define SAVE_OVERDUE_S 10.0

static const char *const stop_reason_names[] = {
    [HR_STOP_REASON_CANCELLED] = "withdrawn", [HR_STOP_REASON_GANG_OVER] = "gang_over",
    [HR_STOP_REASON_WANTED] = "wanted",       [HR_STOP_REASON_NOT_RECORDED] = "not_recorded_here",
    [HR_STOP_REASON_JOB_OVER] = "over",
};

/* While the store refuses this leader alone, others confirm cancellations that it cannot read: it
 * launches nothing. What is recorded may wait for long, a gang's task for others' fetches. In an
 * outage for all nobody confirms any. */
gboolean
hr_launch_allowed_here (const HrCore *core)
{
  return hr_replica_is_current (&core->store) || hr_membership_store_outage_for_all (core);
}

static HrLaunchVerdict
gang_launch_verdict (const HrCore *core, const HrJob *job, const HrTask *task)
{
  if (job->run.attempt_ending)
    return HR_LAUNCH_GANG_ENDING;
  if (!hr_gang_ready (job))
    return HR_LAUNCH_GANG_INCOMPLETE;
  if (hr_gang_delays_launch (core, job, task))
    return HR_LAUNCH_GANG_TOO_EARLY;
  return HR_LAUNCH_NOW;
}

HrLaunchVerdict
hr_launch_verdict (const HrCore *core, gboolean allowed_here, const HrJob *job, const HrTask *task)
{
  if (!allowed_here)
    return HR_LAUNCH_NODE_MAY_NOT;
  if (task->reported_state != HR_NOT_REPORTED)
    return HR_LAUNCH_REPORTED_ALREADY;
  if (job->state != HR_JOB_QUEUED)
    return HR_LAUNCH_JOB_OVER;
  if (hr_job_has_unfinished_dependencies (job))
    return HR_LAUNCH_JOB_WAITS;
  if (task->stop_wanted)
    return HR_LAUNCH_STOP_WANTED;
  /* What an earlier leader recorded is not launched: it may have ended and made
   * place for others since. It is seen on its machine, or proven gone. */
  if (task->from_earlier_term)
    return HR_LAUNCH_FROM_EARLIER_TERM;
  return job->spec.shape == HR_GANG ? gang_launch_verdict (core, job, task) : HR_LAUNCH_NOW;
}

HrStopVerdict
hr_stop_verdict (const HrCore *core, const HrTask *task, gboolean is_direct)
{
  if (!task->stop_wanted)
    return HR_STOP_NOT_WANTED;
  if (is_direct && core->now - task->stop_sent_at <= STOP_AGAIN_S)
    return HR_STOP_SENT_ALREADY;
  double sent_at = task->stop_sent_at ? task->stop_sent_at : core->now;
  if (core->now - sent_at > task->stop_grace_s + SAVE_OVERDUE_S)
    return HR_STOP_WITHOUT_GRACE;
  if (task->reported_state == HR_REPORTED_SAVING && task->stop_grace_s > 0)
    return HR_STOP_IS_SAVING;
  return HR_STOP_NOW;
}

HrStopReason
hr_stop_reason (const HrJob *job)
{
  if (job->state == HR_JOB_CANCELLED)
    return HR_STOP_REASON_CANCELLED;
  return job->run.attempt_ending ? HR_STOP_REASON_GANG_OVER : HR_STOP_REASON_WANTED;
}

const char *
hr_stop_reason_name (HrStopReason reason)
{
  return stop_reason_names[reason];
}
