#include "coordination/agents/orders.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/state.h"
#include "protocol/worker.h"
#include <string.h>

/* Logs an order that is about to be sent. @reason: why a task is stopped; NULL for other orders. */
static void
log_order (const char *order, const char *job_id, guint32 task_index, guint64 attempt,
           const HrMachine *machine, gboolean is_direct, const char *reason)
{
  g_debug ("%s: task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s incarnation=%" G_GUINT64_FORMAT
           " via=%s%s%s",
           order, job_id, task_index, attempt, machine->name, machine->agent.incarnation,
           is_direct ? "direct" : "answer", reason ? " why=" : "", reason ? reason : "");
}

static void
append_launch (HrCore *core, HrMachine *machine, GArray *orders, HrTaskRef ref, gboolean is_direct)
{
  const HrJob *job = core->store.tables.jobs->pdata[ref.job];
  const HrTask *task = &job->tasks[ref.task];
  hr_order_launch (orders, job->id, ref.task, task->run->placement.attempt);
  if (is_direct)
    hr_termination_track_direct_launch (machine, ref.job, ref.task, task->run->placement.attempt,
                                        core->leadership.fencing_token);
  core->metrics.counters.starts++;
  log_order ("start", job->id, ref.task, task->run->placement.attempt, machine, is_direct, NULL);
}

/* Applies the verdict on stopping a recorded task. */
static void
append_stop (HrCore *core, const HrMachine *machine, GArray *orders, HrTaskRef ref,
             gboolean is_direct, HrStopVerdict verdict)
{
  const HrJob *job = core->store.tables.jobs->pdata[ref.job];
  HrTask *task = &job->tasks[ref.task];
  if (verdict == HR_STOP_NOT_WANTED || verdict == HR_STOP_SENT_ALREADY)
    return;
  if (!task->run->stop_sent_at)
    hr_task_edit_run (task)->stop_sent_at = core->now;
  if (verdict == HR_STOP_CHECKPOINT_IN_PROGRESS)
    return;
  hr_order_stop (orders, job->id, ref.task, task->run->placement.attempt,
                 verdict == HR_STOP_WITHOUT_GRACE ? 0 : task->run->stop_grace_s);
  core->metrics.counters.stops++;
  log_order ("stop", job->id, ref.task, task->run->placement.attempt, machine, is_direct,
             hr_stop_reason_name (hr_stop_reason (job)));
}

gboolean
hr_orders_append_recorded (HrCore *core, HrMachine *machine, GArray *orders, gboolean is_direct)
{
  gboolean has_launch = FALSE;
  gboolean allowed_here = hr_launch_allowed_here (core);
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    const HrTask *task = &job->tasks[ref.task];
    if (task->state != HR_TASK_BOUND ||
        task->run->placement.incarnation != machine->agent.incarnation)
      continue;
    if (hr_launch_verdict (core, allowed_here, job, task) == HR_LAUNCH_NOW) {
      append_launch (core, machine, orders, ref, is_direct);
      has_launch = TRUE;
    } else
      append_stop (core, machine, orders, ref, is_direct, hr_stop_verdict (core, task, is_direct));
  }
  return has_launch;
}

void
hr_orders_append_stop (HrCore *core, const HrMachine *machine, GArray *orders, const char *job_id,
                       guint32 task_index, guint64 attempt, HrStopReason reason)
{
  hr_order_stop (orders, job_id, task_index, attempt, 0);
  core->metrics.counters.stops++;
  log_order ("stop", job_id, task_index, attempt, machine, FALSE, hr_stop_reason_name (reason));
}

void
hr_orders_append_clear (HrCore *core, const HrMachine *machine, GArray *orders, const char *job_id,
                        guint32 task_index, guint64 attempt)
{
  hr_order_clear (orders, job_id, task_index, attempt);
  core->metrics.counters.clears++;
  log_order ("clear", job_id, task_index, attempt, machine, FALSE, NULL);
}

gboolean
hr_orders_contain_stop (const GArray *orders, const char *job_id, guint32 task_index,
                        guint64 attempt)
{
  for (guint i = 0; i < orders->len; i++) {
    const HrOrder *order = &g_array_index (orders, HrOrder, i);
    if (order->kind == HR_ORDER_STOP && order->task == task_index && order->attempt == attempt &&
        strcmp (order->job, job_id) == 0)
      return TRUE;
  }
  return FALSE;
}

guint
hr_orders_count (const GArray *orders, HrOrderKind kind)
{
  guint n = 0;
  for (guint i = 0; i < orders->len; i++)
    n += g_array_index (orders, HrOrder, i).kind == kind;
  return n;
}
