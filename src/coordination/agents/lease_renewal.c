#include "coordination/agents/lease_renewal.h"
#include "coordination/agents/orders.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/effects.h"
#include "coordination/invariant.h"
#include "coordination/state.h"

static const char *const kind_names[] = {"current", "overtaken", "before_token"};

/* Cancelled or done, by what this node knows. Both are final: a stop of such a job's task is right
 * whenever it arrives, and whatever made us send it. */
static gboolean
is_final (const HrJob *job)
{
  return job->cancellation.told_by_peer || (job->is_known && job->state != HR_JOB_QUEUED);
}

static const HrJob *
job_of_reported (HrCore *core, const HrReportedTask *reported)
{
  guint32 i = hr_intern_find (&core->store.tables.job_ids, reported->job);
  return i == HR_NONE ? NULL : core->store.tables.jobs->pdata[i];
}

static gboolean
reported_and_final (HrCore *core, const HrReportedTask *reported)
{
  const HrJob *job =
      reported->state == HR_REPORTED_EXITED ? NULL : job_of_reported (core, reported);
  return job && is_final (job);
}

/* The record has the task on this machine in this incarnation, so a launch may have started it
 * though the report, which left earlier, lacks it. */
static gboolean
recorded_and_final (const HrCore *core, const HrMachine *machine, HrTaskRef ref)
{
  const HrJob *job = core->store.tables.jobs->pdata[ref.job];
  const HrTask *task = &job->tasks[ref.task];
  return is_final (job) && task->state == HR_TASK_BOUND &&
         task->placement.incarnation == machine->agent.incarnation;
}

static void
stop_reported (HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat, json_t *orders)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const HrReportedTask *reported = &g_array_index (heartbeat->tasks, HrReportedTask, i);
    if (reported_and_final (core, reported) &&
        !hr_orders_name_stop (orders, reported->job, reported->task, reported->attempt))
      hr_orders_stop (core, machine, orders, reported->job, reported->task, reported->attempt,
                      "over");
  }
}

static void
stop_recorded (HrCore *core, const HrMachine *machine, json_t *orders)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    if (recorded_and_final (core, machine, ref) &&
        !hr_orders_name_stop (orders, job->id, ref.task, job->tasks[ref.task].placement.attempt))
      hr_orders_stop (core, machine, orders, job->id, ref.task,
                      job->tasks[ref.task].placement.attempt, "over");
  }
}

char *
hr_lease_renewal_missing_stop (HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat,
                               json_t *orders)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const HrReportedTask *reported = &g_array_index (heartbeat->tasks, HrReportedTask, i);
    if (reported_and_final (core, reported) &&
        !hr_orders_name_stop (orders, reported->job, reported->task, reported->attempt))
      return g_strdup_printf ("%s/%u", reported->job, reported->task);
  }
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = core->store.tables.jobs->pdata[ref.job];
    if (recorded_and_final (core, machine, ref) &&
        !hr_orders_name_stop (orders, job->id, ref.task, job->tasks[ref.task].placement.attempt))
      return g_strdup_printf ("%s/%u", job->id, ref.task);
  }
  return NULL;
}

/* From when on the worker's lease counts, by our clock, if it gets this answer. */
static double
lease_counts_from (const HrCore *core, const HrMachine *machine, HrHeartbeatKind kind)
{
  /* Should the worker still wait for the answer to an overtaken report, it sent that before the
   * newer message came to us. */
  return kind == HR_HEARTBEAT_OVERTAKEN
             ? MAX (machine->agent.lease_renewed_at, machine->agent.sequence_at)
             : core->now;
}

static void
log_answer (const HrCore *core, const HrMachine *machine, const HrHeartbeat *heartbeat,
            HrHeartbeatKind kind, json_t *orders)
{
  if (kind == HR_HEARTBEAT_CURRENT && !json_array_size (orders))
    return;
  g_debug ("answer: machine=%s kind=%s seq=%" G_GUINT64_FORMAT " incarnation=%" G_GUINT64_FORMAT
           " token=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT
           " tasks=%u stops=%u launches=%u clears=%u",
           machine->name, kind_names[kind], heartbeat->sequence, heartbeat->incarnation,
           core->leadership.fencing_token, heartbeat->fencing_token, heartbeat->tasks->len,
           hr_orders_count (orders, "kill"), hr_orders_count (orders, "launch"),
           hr_orders_count (orders, "clear"));
}

void
hr_lease_renewal_log_refusal (const HrCore *core, const char *machine, const char *reason)
{
  g_debug ("refused: machine=%s reason=%s leads=%d token=%" G_GUINT64_FORMAT " reading_age=%.2f",
           machine ? machine : "-", reason, core->leadership.is_leader,
           core->leadership.fencing_token, core->now - core->store.replica.confirmed_at);
}

/* The worker goes on to other nodes, and unless one of them renews it the lease runs out. */
static void
withhold (HrCore *core, HrCommand *command, const HrMachine *machine, json_t *orders,
          const char *reason)
{
  json_decref (orders);
  core->metrics.counters.reports_refused_order++;
  hr_lease_renewal_log_refusal (core, machine->name, reason);
  hr_core_refuse (core, command->id, 503, 0, "an order to this worker may still come");
}

void
hr_lease_renewal_answer (HrCore *core, HrCommand *command, HrMachine *machine,
                         const HrHeartbeat *heartbeat, HrHeartbeatKind kind, json_t *orders)
{
  if (hr_termination_cancelled_may_start (core, machine)) {
    withhold (core, command, machine, orders, "order_may_come");
    return;
  }
  if (kind == HR_HEARTBEAT_CURRENT && hr_orders_recorded (core, machine, orders, FALSE))
    machine->agent.launch_answered_sequence = heartbeat->sequence;
  stop_reported (core, machine, heartbeat, orders);
  stop_recorded (core, machine, orders);
  g_autofree char *missing = hr_lease_renewal_missing_stop (core, machine, heartbeat, orders);
  if (missing) {
    hr_invariant_violated (core,
                           "a lease would be renewed without a stop: machine=%s task=%s kind=%s "
                           "token=%" G_GUINT64_FORMAT,
                           machine->name, missing, kind_names[kind],
                           core->leadership.fencing_token);
    withhold (core, command, machine, orders, "stop_not_named");
    return;
  }
  machine->agent.lease_renewed_at = lease_counts_from (core, machine, kind);
  hr_histogram_add (&core->metrics.renewal_age, core->now - core->store.replica.confirmed_at);
  core->metrics.counters.reports_answered += kind == HR_HEARTBEAT_CURRENT;
  core->metrics.counters.reports_overtaken += kind == HR_HEARTBEAT_OVERTAKEN;
  core->metrics.counters.reports_before_token += kind == HR_HEARTBEAT_BEFORE_TOKEN;
  log_answer (core, machine, heartbeat, kind, orders);
  hr_core_reply (core, command->id, 200,
                 hr_heartbeat_answer (core->leadership.fencing_token, orders), 0);
}
