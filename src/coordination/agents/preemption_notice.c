#include "coordination/agents/preemption_notice.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"

/* A task that is expected to end within this share of the notice keeps running. The rest allows for
 * errors of the estimate. */
#define SAFE_SHARE_OF_NOTICE 0.7
/* Seconds that a notice must leave beyond the checkpoint for the stop to arrive in time. */
#define STOP_DELIVERY_S 4
/* Seconds that the grace period of a stop exceeds the expected time of the checkpoint. */
#define CHECKPOINT_MARGIN_S 1

HrNoticeVerdict
hr_preemption_notice_verdict (HrCore *core, const HrJob *job, const HrTask *task,
                              const HrMachine *machine, double notice_s)
{
  if (task->state != HR_TASK_BOUND || task->stop_wanted)
    return HR_NOTICE_NO_ACTION;
  if (job->spec.shape == HR_GANG)
    return HR_NOTICE_END_GANG;
  double estimate = hr_estimate_run_time (core, job, machine);
  double left =
      task->run->running_since ? estimate - (core->now - task->run->running_since) : estimate;
  if (left < notice_s * SAFE_SHARE_OF_NOTICE)
    return HR_NOTICE_NO_ACTION;
  if (job->spec.checkpoint_s > 0 && notice_s > job->spec.save_s + STOP_DELIVERY_S &&
      task->reported_state == HR_REPORTED_RUNNING)
    return HR_NOTICE_CHECKPOINT;
  return HR_NOTICE_STOP;
}

static void
act_on_notice (HrCore *core, HrJob *job, guint32 task_index, HrNoticeVerdict verdict)
{
  switch (verdict) {
  case HR_NOTICE_NO_ACTION:
    break;
  case HR_NOTICE_END_GANG:
    hr_gang_end_attempt (core, job, job->spec.save_s + CHECKPOINT_MARGIN_S);
    break;
  case HR_NOTICE_CHECKPOINT:
    hr_task_stop (core, job, task_index, job->spec.save_s + CHECKPOINT_MARGIN_S);
    break;
  case HR_NOTICE_STOP:
    hr_task_stop (core, job, task_index, 0);
    break;
  }
}

void
hr_preemption_notice_handle (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat)
{
  double notice_s = heartbeat->preemption_notice_s;
  if (notice_s < 0)
    return;
  if (!machine->instance.preempted_at)
    g_info ("machine %s will be preempted in about %.0f s", machine->name, notice_s);
  machine->instance.preempted_at = core->now + notice_s;
  machine->is_draining = TRUE;
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    HrNoticeVerdict verdict =
        hr_preemption_notice_verdict (core, job, &job->tasks[ref.task], machine, notice_s);
    act_on_notice (core, job, ref.task, verdict);
  }
}
