#include "coordination/agents/order_verdicts.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"

/* Seconds after the first stop order before a direct call repeats it. */
#define STOP_RESEND_AFTER_S 1.0
/* Seconds that a checkpoint may exceed the grace period by before the task is stopped at once. */
#define CHECKPOINT_OVERDUE_S 10.0

static const char *const stop_reason_names[] = {
    [HR_STOP_REASON_CANCELLED] = "withdrawn", [HR_STOP_REASON_GANG_ENDING] = "gang_over",
    [HR_STOP_REASON_WANTED] = "wanted",       [HR_STOP_REASON_NOT_RECORDED] = "not_recorded_here",
    [HR_STOP_REASON_JOB_FINAL] = "over",
};

/* While the store refuses only this leader, other controllers confirm cancellations that it cannot
 * read, so it launches nothing. A cancellation can be confirmed between the recording of a task and
 * its launch, and this time can be long, for example while other tasks of a gang fetch their
 * images. During an outage for all controllers, none of them confirms a cancellation. */
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
    return HR_LAUNCH_STORE_NOT_READABLE;
  if (task->reported_state != HR_NOT_REPORTED)
    return HR_LAUNCH_REPORTED_ALREADY;
  if (job->state != HR_JOB_QUEUED)
    return HR_LAUNCH_JOB_FINAL;
  if (hr_job_has_unfinished_dependencies (job))
    return HR_LAUNCH_DEPENDENCIES_PENDING;
  if (task->stop_wanted)
    return HR_LAUNCH_STOP_WANTED;
  /* A task that an earlier leader placed is not launched: it may have exited since, and its
   * capacity may have been given to other tasks. Either a heartbeat shows it, or it is proven not
   * to run. */
  if (task->from_earlier_term)
    return HR_LAUNCH_FROM_EARLIER_TERM;
  return job->spec.shape == HR_GANG ? gang_launch_verdict (core, job, task) : HR_LAUNCH_NOW;
}

HrStopVerdict
hr_stop_verdict (const HrCore *core, const HrTask *task, gboolean is_direct)
{
  if (!task->stop_wanted)
    return HR_STOP_NOT_WANTED;
  if (is_direct && core->now - task->run->stop_sent_at <= STOP_RESEND_AFTER_S)
    return HR_STOP_SENT_ALREADY;
  double sent_at = task->run->stop_sent_at ? task->run->stop_sent_at : core->now;
  if (core->now - sent_at > task->run->stop_grace_s + CHECKPOINT_OVERDUE_S)
    return HR_STOP_WITHOUT_GRACE;
  if (task->reported_state == HR_REPORTED_SAVING && task->run->stop_grace_s > 0)
    return HR_STOP_CHECKPOINT_IN_PROGRESS;
  return HR_STOP_NOW;
}

HrStopReason
hr_stop_reason (const HrJob *job)
{
  if (job->state == HR_JOB_CANCELLED)
    return HR_STOP_REASON_CANCELLED;
  return job->run.attempt_ending ? HR_STOP_REASON_GANG_ENDING : HR_STOP_REASON_WANTED;
}

const char *
hr_stop_reason_name (HrStopReason reason)
{
  return stop_reason_names[reason];
}
