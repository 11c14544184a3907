#include "coordination/agents/lease_renewal.h"
#include "coordination/invariant.h"
#include "coordination/agents/orders.h"

static const char *const kind_names[] = {"current", "overtaken", "before_token"};

/* Withdrawn or done, by what this node knows. Both are final: a stop of such a job's task is right
 * whenever it arrives, and whatever made us send it. */
static gboolean
is_final (const HrJob *j)
{
  return j->cancellation.told_by_peer || (j->is_known && j->state != HR_JOB_QUEUED);
}

static const HrJob *
job_of_reported (HrCore *c, const HrReportedTask *it)
{
  guint32 i = hr_intern_find (&c->store.tables.job_ids, it->job);
  return i == HR_NONE ? NULL : c->store.tables.jobs->pdata[i];
}

static gboolean
reported_and_final (HrCore *c, const HrReportedTask *it)
{
  const HrJob *j = it->state == HR_REPORTED_EXITED ? NULL : job_of_reported (c, it);
  return j && is_final (j);
}

/* The record has the task on this machine in this session, so a launch may have started it though
 * the report, which left earlier, lacks it. */
static gboolean
recorded_and_final (const HrCore *c, const HrMachine *m, HrTaskRef r)
{
  const HrJob *j = c->store.tables.jobs->pdata[r.job];
  const HrTask *t = &j->tasks[r.task];
  return is_final (j) && t->state == HR_TASK_BOUND &&
         t->placement.incarnation == m->agent.incarnation;
}

static void
stop_reported (HrCore *c, const HrMachine *m, const HrHeartbeat *r, json_t *orders)
{
  for (guint i = 0; i < r->tasks->len; i++) {
    const HrReportedTask *it = &g_array_index (r->tasks, HrReportedTask, i);
    if (reported_and_final (c, it) && !hr_orders_name_stop (orders, it->job, it->task, it->attempt))
      hr_orders_stop (c, m, orders, it->job, it->task, it->attempt, "over");
  }
}

static void
stop_recorded (HrCore *c, const HrMachine *m, json_t *orders)
{
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef r = g_array_index (m->tasks, HrTaskRef, i);
    const HrJob *j = c->store.tables.jobs->pdata[r.job];
    if (recorded_and_final (c, m, r) &&
        !hr_orders_name_stop (orders, j->id, r.task, j->tasks[r.task].placement.attempt))
      hr_orders_stop (c, m, orders, j->id, r.task, j->tasks[r.task].placement.attempt, "over");
  }
}

char *
hr_lease_renewal_missing_stop (HrCore *c, const HrMachine *m, const HrHeartbeat *r, json_t *orders)
{
  for (guint i = 0; i < r->tasks->len; i++) {
    const HrReportedTask *it = &g_array_index (r->tasks, HrReportedTask, i);
    if (reported_and_final (c, it) && !hr_orders_name_stop (orders, it->job, it->task, it->attempt))
      return g_strdup_printf ("%s/%u", it->job, it->task);
  }
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef ref = g_array_index (m->tasks, HrTaskRef, i);
    const HrJob *j = c->store.tables.jobs->pdata[ref.job];
    if (recorded_and_final (c, m, ref) &&
        !hr_orders_name_stop (orders, j->id, ref.task, j->tasks[ref.task].placement.attempt))
      return g_strdup_printf ("%s/%u", j->id, ref.task);
  }
  return NULL;
}

/* From when on the worker's lease counts, by our clock, if it gets this answer. */
static double
lease_counts_from (const HrCore *c, const HrMachine *m, HrHeartbeatKind kind)
{
  /* Should the worker still wait for the answer to an overtaken report, it sent that before the
   * newer message came to us. */
  return kind == HR_HEARTBEAT_OVERTAKEN ? MAX (m->agent.lease_renewed_at, m->agent.sequence_at)
                                        : c->now;
}

static void
log_answer (const HrCore *c, const HrMachine *m, const HrHeartbeat *r, HrHeartbeatKind kind,
            json_t *orders)
{
  if (kind == HR_HEARTBEAT_CURRENT && !json_array_size (orders))
    return;
  g_debug ("answer: machine=%s kind=%s seq=%" G_GUINT64_FORMAT " session=%" G_GUINT64_FORMAT
           " token=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT
           " tasks=%u stops=%u launches=%u clears=%u",
           m->name, kind_names[kind], r->sequence, r->incarnation, c->leadership.fencing_token,
           r->fencing_token, r->tasks->len, hr_orders_count (orders, "kill"),
           hr_orders_count (orders, "launch"), hr_orders_count (orders, "clear"));
}

void
hr_lease_renewal_log_refusal (const HrCore *c, const char *machine, const char *reason)
{
  g_debug ("refused: machine=%s reason=%s leads=%d token=%" G_GUINT64_FORMAT " reading_age=%.2f",
           machine ? machine : "-", reason, c->leadership.is_leader, c->leadership.fencing_token,
           c->now - c->store.replica.confirmed_at);
}

/* The worker goes on to other nodes, and unless one of them renews it the lease runs out. */
static void
withhold (HrCore *c, HrCommand *cmd, const HrMachine *m, json_t *orders, const char *reason)
{
  json_decref (orders);
  c->metrics.counters.reports_refused_order++;
  hr_lease_renewal_log_refusal (c, m->name, reason);
  hr_core_refuse (c, cmd->id, 503, 0, "an order to this worker may still come");
}

void
hr_lease_renewal_answer (HrCore *c, HrCommand *cmd, HrMachine *m, const HrHeartbeat *r,
                         HrHeartbeatKind kind, json_t *orders)
{
  if (hr_termination_cancelled_may_start (c, m)) {
    withhold (c, cmd, m, orders, "order_may_come");
    return;
  }
  if (kind == HR_HEARTBEAT_CURRENT && hr_orders_recorded (c, m, orders, FALSE))
    m->agent.launch_answered_sequence = r->sequence;
  stop_reported (c, m, r, orders);
  stop_recorded (c, m, orders);
  g_autofree char *missing = hr_lease_renewal_missing_stop (c, m, r, orders);
  if (missing) {
    hr_invariant_violated (c,
                           "a lease would be renewed without a stop: machine=%s task=%s kind=%s "
                           "token=%" G_GUINT64_FORMAT,
                           m->name, missing, kind_names[kind], c->leadership.fencing_token);
    withhold (c, cmd, m, orders, "stop_not_named");
    return;
  }
  m->agent.lease_renewed_at = lease_counts_from (c, m, kind);
  hr_histogram_add (&c->metrics.renewal_age, c->now - c->store.replica.confirmed_at);
  c->metrics.counters.reports_answered += kind == HR_HEARTBEAT_CURRENT;
  c->metrics.counters.reports_overtaken += kind == HR_HEARTBEAT_OVERTAKEN;
  c->metrics.counters.reports_before_token += kind == HR_HEARTBEAT_BEFORE_TOKEN;
  log_answer (c, m, r, kind, orders);
  hr_core_reply (
      c, cmd->id, 200,
      json_pack ("{sIso}", "baton", (json_int_t)c->leadership.fencing_token, "orders", orders), 0);
}
