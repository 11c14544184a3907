#include "coordination/agents/orders.h"
#include "bookkeeping/replica.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/leadership/leadership.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"
#include "protocol/json_util.h"
#include <string.h>

/* Seconds after which a direct stop is sent once more. */
#define STOP_AGAIN_S 1.0
/* A save that takes so many seconds longer than was said is ended. */
#define SAVE_OVERDUE_S 10.0

static gboolean
launchable (const HrCore *core, const HrJob *job, const HrTask *task)
{
  /* What an earlier leader recorded is not launched: it may have ended and made
   * place for others since. It is seen on its machine, or proven gone. */
  return job->state == HR_JOB_QUEUED && !hr_job_has_unfinished_dependencies (job) &&
         !task->stop_wanted && !task->from_earlier_term &&
         (job->spec.shape != HR_GANG || (!job->run.attempt_ending && hr_gang_ready (job) &&
                                         !hr_gang_delays_launch (core, job, task)));
}

/* While the state service refuses this leader alone, others confirm cancellations that it cannot
 * read: it launches nothing. What is recorded may wait for long, a gang's task for others' fetches.
 * In an outage for all nobody confirms any. */
static gboolean
may_launch (const HrCore *core)
{
  return hr_replica_is_served (&core->store) || hr_membership_store_outage_for_all (core);
}

/* The order is about to be sent. why: of a stop, else NULL. */
static void
log_order (const char *order, const char *job_id, guint32 task_index, guint32 attempt,
           const HrMachine *machine, gboolean direct, const char *why)
{
  g_debug ("%s: task=%s/%u attempt=%u machine=%s incarnation=%u way=%s%s%s", order, job_id,
           task_index, attempt, machine->name, machine->agent.incarnation,
           direct ? "direct" : "answer", why ? " why=" : "", why ? why : "");
}

static const char *
stop_reason (const HrJob *job)
{
  return job->state == HR_JOB_CANCELLED ? "withdrawn"
         : job->run.attempt_ending      ? "gang_over"
                                        : "wanted";
}

static void
append_launch (HrCore *core, HrMachine *machine, json_t *orders, HrTaskRef ref, gboolean direct)
{
  HrJob *job = core->store.tables.jobs->pdata[ref.job];
  const HrTask *task = &job->tasks[ref.task];
  hr_order_launch (orders, job->id, ref.task, task->placement.attempt);
  if (direct)
    hr_termination_note_direct_launch (machine, ref.job, ref.task, task->placement.attempt,
                                       core->leadership.fencing_token);
  core->metrics.counters.starts++;
  log_order ("start", job->id, ref.task, task->placement.attempt, machine, direct, NULL);
}

static void
append_stop (HrCore *core, HrMachine *machine, json_t *orders, HrTaskRef ref, gboolean direct)
{
  HrJob *job = core->store.tables.jobs->pdata[ref.job];
  HrTask *task = &job->tasks[ref.task];
  if (!task->stop_sent_at)
    task->stop_sent_at = core->now;
  gboolean overdue = core->now - task->stop_sent_at > task->stop_grace_s + SAVE_OVERDUE_S;
  if (task->reported_state == HR_REPORTED_SAVING && !overdue && task->stop_grace_s > 0)
    return;
  hr_order_stop (orders, job->id, ref.task, task->placement.attempt,
                 overdue ? 0 : task->stop_grace_s);
  core->metrics.counters.stops++;
  log_order ("stop", job->id, ref.task, task->placement.attempt, machine, direct,
             stop_reason (job));
}

gboolean
hr_orders_recorded (HrCore *core, HrMachine *machine, json_t *orders, gboolean direct)
{
  gboolean launch = FALSE, may = may_launch (core);
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = &job->tasks[ref.task];
    if (task->state != HR_TASK_BOUND || task->placement.incarnation != machine->agent.incarnation)
      continue;
    if (may && task->reported_state == HR_NOT_REPORTED && launchable (core, job, task)) {
      append_launch (core, machine, orders, ref, direct);
      launch = TRUE;
    } else if (task->stop_wanted && (!direct || core->now - task->stop_sent_at > STOP_AGAIN_S))
      append_stop (core, machine, orders, ref, direct);
  }
  return launch;
}

void
hr_orders_stop (HrCore *core, const HrMachine *machine, json_t *orders, const char *job_id,
                guint32 task_index, guint32 attempt, const char *why)
{
  hr_order_stop (orders, job_id, task_index, attempt, 0);
  core->metrics.counters.stops++;
  log_order ("stop", job_id, task_index, attempt, machine, FALSE, why);
}

void
hr_orders_clear (HrCore *core, const HrMachine *machine, json_t *orders, const char *job_id,
                 guint32 task_index, guint32 attempt)
{
  hr_order_clear (orders, job_id, task_index, attempt);
  core->metrics.counters.clears++;
  log_order ("clear", job_id, task_index, attempt, machine, FALSE, NULL);
}

gboolean
hr_orders_name_stop (json_t *orders, const char *job_id, guint32 task_index, guint32 attempt)
{
  size_t i;
  json_t *order;
  g_autofree char *piece = g_strdup_printf ("%s/%u", job_id, task_index);
  json_array_foreach (orders, i, order)
  {
    if (strcmp (hr_json_str (order, "verb"), "kill") == 0 &&
        strcmp (hr_json_str (order, "piece"), piece) == 0 &&
        json_integer_value (json_object_get (order, "try")) == attempt)
      return TRUE;
  }
  return FALSE;
}

guint
hr_orders_count (json_t *orders, const char *verb)
{
  guint n = 0;
  size_t i;
  json_t *order;
  json_array_foreach (orders, i, order) n += g_strcmp0 (hr_json_str (order, "verb"), verb) == 0;
  return n;
}
