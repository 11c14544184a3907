/* Reports of workers and the orders they get. */
#include "coordination/agents/orders.h"
#include "coordination/agents/lease_renewal.h"
#include "protocol/json_util.h"
#include <string.h>

/* Ended attempts that a worker may hold before the baton is raised to clear them. */
#define MAX_UNCLEARED 12

/* Fills in what a machine is and where; FALSE while its type is not known. */
static gboolean
describe (HrCore *c, HrMachine *m, const HrHeartbeat *r)
{
  guint32 type = hr_intern_find (&c->names->types, r->type);
  const HrMachineType *t = type == HR_NONE ? NULL : hr_machine_type_find (c, type);
  if (!t)
    return FALSE;
  hr_machine_describe (m, t, hr_intern (&c->names->zones, r->zone), r->is_spot);
  if (g_strcmp0 (m->address, r->address) != 0) {
    g_free (m->address);
    m->address = g_strdup (r->address);
  }
  return TRUE;
}

static HrTask *
find_reported_task (HrCore *c, HrMachine *m, const HrReportedTask *it, HrJob **job)
{
  HrJob *j = hr_job_find (c, it->job);
  *job = j;
  if (!j || !j->tasks || it->task >= j->n_tasks)
    return NULL;
  HrTask *t = &j->tasks[it->task];
  return t->placement.machine == m->index && t->placement.incarnation == m->agent.incarnation &&
                 t->placement.attempt == it->attempt
             ? t
             : NULL;
}

/* The item shows that the machine has the task's image. One that was stopped, or refused,
 * may have ended before that: the fetch is given up with it. */
static gboolean
had_image (const HrReportedTask *it)
{
  if (it->state == HR_REPORTED_EXITED)
    return it->cause == HR_EXIT_DONE || it->cause == HR_EXIT_INCOMPLETE ||
           it->cause == HR_EXIT_PEERS;
  return it->state != HR_REPORTED_FETCHING;
}

static void
note_exit (HrCore *c, HrJob *j, const HrReportedTask *it)
{
  if (it->cause == HR_EXIT_DONE && j->state == HR_JOB_QUEUED)
    hr_task_done (c, j, it->task);
  else
    hr_task_gone (c, j, it->task, it->cause, hr_exit_name (it->cause));
}

static void
handle_unrecognized (HrCore *c, HrMachine *m, HrJob *j, const HrReportedTask *it, json_t *orders,
                     guint *kept)
{
  if (it->state == HR_REPORTED_EXITED) {
    if (hr_termination_may_clear (c, m, j ? j->index : HR_NONE, it->task, it->attempt))
      hr_orders_clear (c, m, orders, it->job, it->task, it->attempt);
    else if (++*kept >= MAX_UNCLEARED)
      hr_leadership_raise_token (c,
                                 "a worker holds many ended attempts that cannot be cleared yet");
    return;
  }
  /* It takes room until it is gone. */
  if (j && j->is_known && j->n_tasks) {
    m->unrecognized.cpus += j->spec.cpus;
    m->unrecognized.gpus += j->spec.gpus;
    m->unrecognized.memory_gb += j->spec.memory_gb;
  }
  hr_orders_stop (c, m, orders, it->job, it->task, it->attempt,
                  j && j->state == HR_JOB_CANCELLED ? "withdrawn" : "not_recorded_here");
}

/* Takes in a worker's task list. full: a report, whose silence about a task counts. */
static void
take_reported_tasks (HrCore *c, HrMachine *m, const HrHeartbeat *r, gboolean full, json_t *orders)
{
  g_autoptr (GArray) before = g_array_copy (m->tasks);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_direct_hash, g_direct_equal);
  guint kept = 0;
  m->unrecognized.cpus = m->unrecognized.gpus = m->unrecognized.memory_gb = 0;
  for (guint i = 0; i < r->tasks->len; i++) {
    HrReportedTask *it = &g_array_index (r->tasks, HrReportedTask, i);
    HrJob *j;
    HrTask *t = find_reported_task (c, m, it, &j);
    if (t && t->state == HR_TASK_BOUND) {
      g_hash_table_add (seen, t);
      t->from_earlier_term = 0;
      /* Records tell a new owner where an image should be; one that is still being fetched
       * at the second look is not there. */
      if (it->state == HR_REPORTED_FETCHING && t->reported_state == HR_REPORTED_FETCHING)
        hr_machine_forget_image (m, j->spec.image);
      if (t->reported_state != it->state)
        c->scheduling.plan_is_stale = TRUE;
      t->reported_state = it->state;
      if (it->state == HR_REPORTED_RUNNING && !t->running_since) {
        t->running_since = c->now;
        g_debug ("%s/%u runs on %s", j->id, it->task, m->name);
      }
      if (had_image (it))
        hr_machine_touch_image (m, j->spec.image);
      if (it->state == HR_REPORTED_EXITED)
        note_exit (c, j, it);
      continue;
    }
    if (t && t->state == HR_TASK_DONE && !t->done_recorded && !j->record.is_compacted)
      continue; /* its ending is still to be recorded: no clear before that */
    if (t && t->state == HR_TASK_ASSIGNING)
      continue;
    handle_unrecognized (c, m, j, it, orders, &kept);
  }
  if (!full)
    return;
  gboolean proof =
      hr_termination_orders_settled (m) && r->fencing_token >= c->leadership.fencing_token;
  for (guint i = 0; i < before->len; i++) {
    HrTaskRef ref = g_array_index (before, HrTaskRef, i);
    HrJob *j = c->store.tables.jobs->pdata[ref.job];
    HrTask *t = j->tasks ? &j->tasks[ref.task] : NULL;
    if (!t || t->state != HR_TASK_BOUND || t->placement.machine != m->index ||
        t->placement.incarnation != m->agent.incarnation || g_hash_table_contains (seen, t))
      continue;
    t->reported_state = HR_NOT_REPORTED;
    if (j->state == HR_JOB_QUEUED && !t->stop_wanted && !t->from_earlier_term &&
        !j->run.attempt_ending)
      continue; /* it is launched (again) where it is recorded */
    if (proof)
      hr_task_gone (c, j, ref.task, HR_EXIT_NONE, "its worker's report lacks it");
    else if (m->agent.unanswered_launch_token)
      hr_leadership_raise_token (c, "an order to a worker got no answer");
  }
}

static void
take_preemption_notice (HrCore *c, HrMachine *m, const HrHeartbeat *r)
{
  if (r->preemption_notice_s < 0)
    return;
  if (!m->instance.preempted_at)
    g_info ("%s will be taken in about %.0f s", m->name, r->preemption_notice_s);
  m->instance.preempted_at = c->now + r->preemption_notice_s;
  m->is_draining = TRUE;
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef ref = g_array_index (m->tasks, HrTaskRef, i);
    HrJob *j = c->store.tables.jobs->pdata[ref.job];
    HrTask *t = &j->tasks[ref.task];
    if (t->state != HR_TASK_BOUND || t->stop_wanted)
      continue;
    if (j->spec.shape == HR_GANG) {
      hr_gang_end_attempt (c, j, j->spec.save_s + 1);
      continue;
    }
    double est = hr_estimate_run_time (c, j, m);
    double left = t->running_since ? est - (c->now - t->running_since) : est;
    /* What ends in time is left alone; what saves is stopped while it still
     * can; the rest is moved at once. */
    if (left < r->preemption_notice_s * 0.7)
      continue;
    if (j->spec.checkpoint_s > 0 && r->preemption_notice_s > j->spec.save_s + 4 &&
        t->reported_state == HR_REPORTED_RUNNING)
      hr_task_stop (c, j, ref.task, j->spec.save_s + 1);
    else
      hr_task_stop (c, j, ref.task, 0);
  }
}

static void
admit_machine (HrCore *c, HrMachine *m)
{
  if (m->state == HR_MACHINE_GONE) {
    g_info ("%s reports and was not expected; it is taken on", m->name);
    hr_fleet_add (c, m);
  } else if (m->state == HR_MACHINE_BOOTING)
    g_info ("%s is up after %.0f s", m->name, c->now - m->instance.requested_at);
  m->state = HR_MACHINE_UP;
  m->idle_since = m->tasks->len ? 0 : c->now;
  c->scheduling.plan_is_stale = TRUE;
}

/* Not entitled to act for the controllers: the worker is sent to the one that is, if known. */
static void
redirect_to_leader (HrCore *c, HrCommand *cmd)
{
  gboolean known = FALSE;
  for (guint i = 0; i < c->settings->members->len; i++)
    known |= g_strcmp0 (g_array_index (c->settings->members, HrMember, i).label,
                        c->leadership.leader_label) == 0;
  if (c->leadership.is_leader || !known)
    hr_core_refuse (c, cmd->id, 503, 0, "this node may not act for the controllers now");
  else
    hr_core_reply (c, cmd->id, 421, json_pack ("{ss}", "foreman", c->leadership.leader_label), 0);
}

static void
begin_incarnation (HrCore *c, HrMachine *m, guint32 session)
{
  /* A session that ends within a lease of our answer shows that the answer was not
   * received: reports come from there, but nothing that we say arrives. Once may also be
   * a report that a cut held back; such ones come in a bunch, not a lease apart. */
  gboolean unreceived =
      m->agent.lease_renewed_at && c->now - m->agent.lease_renewed_at < c->settings->lease_s - 1;
  if (unreceived && m->agent.answer_unreceived_at &&
      c->now - m->agent.answer_unreceived_at > c->settings->lease_s / 2)
    m->agent.unreachable_at = c->now;
  if (!unreceived || !m->agent.answer_unreceived_at ||
      c->now - m->agent.answer_unreceived_at > c->settings->lease_s / 2)
    m->agent.answer_unreceived_at = unreceived ? c->now : 0;
  m->agent.launch_answered_sequence = m->agent.unanswered_launch_token =
      0; /* orders of the old session are void */
  m->agent.incarnation = session;
  g_array_set_size (m->agent.direct_launches, 0);
}

/* The message is the newest one of its worker. Its session and number count from here on. */
static void
note_sequence (HrCore *c, HrMachine *m, const HrHeartbeat *r)
{
  if (r->incarnation > m->agent.incarnation)
    begin_incarnation (c, m, r->incarnation);
  /* Not only when the session moves on: a new owner may know the session from
   * before, and read older ones in the records. */
  hr_termination_incarnations_over (c, m, m->agent.incarnation - 1,
                                    "its worker is in a later session");
  m->agent.sequence = r->sequence;
  m->agent.sequence_at = c->now;
  m->agent.fencing_token = MAX (m->agent.fencing_token, r->fencing_token);
}

/* The report is current: its list of tasks is what the machine has. */
static void
take_heartbeat (HrCore *c, HrMachine *m, const HrHeartbeat *r, json_t *orders)
{
  if (m->state != HR_MACHINE_UP || !m->agent.heard_at)
    admit_machine (c, m);
  m->agent.heard_at = c->now;
  if (r->sequence > m->agent.launch_answered_sequence)
    m->agent.launch_answered_sequence = 0;
  if (r->fencing_token > m->agent.unanswered_launch_token)
    m->agent.unanswered_launch_token = 0;
  take_reported_tasks (c, m, r, TRUE, orders);
  take_preemption_notice (c, m, r);
}

static void
refuse_heartbeat (HrCore *c, HrCommand *cmd, const HrHeartbeat *r, guint64 *counter,
                  const char *reason, const char *text)
{
  ++*counter;
  hr_lease_renewal_log_refusal (c, r->machine, reason);
  hr_core_refuse (c, cmd->id, 503, 0, text);
}

/* May the machine be answered at all? If not, the report is refused. */
static gboolean
may_be_answered (HrCore *c, HrCommand *cmd, HrMachine *m, const HrHeartbeat *r)
{
  if (m->state != HR_MACHINE_DELETING && !(m->state == HR_MACHINE_GONE && m->instance.is_deleted) &&
      r->incarnation >= m->agent.incarnation && describe (c, m, r))
    return TRUE;
  refuse_heartbeat (c, cmd, r, &c->metrics.counters.reports_refused_machine, "returned_or_unknown",
                    "this machine is being returned, or not known yet");
  return FALSE;
}

static void
answer_heartbeat (HrCore *c, HrCommand *cmd, HrMachine *m, const HrHeartbeat *r)
{
  json_t *orders = json_array ();
  if (r->incarnation == m->agent.incarnation && r->sequence <= m->agent.sequence) {
    /* Overtaken by a newer list, of an answer to /do perhaps, or a late copy: nothing in
     * it counts. */
    hr_lease_renewal_answer (c, cmd, m, r, HR_HEARTBEAT_OVERTAKEN, orders);
    return;
  }
  note_sequence (c, m, r);
  if (r->fencing_token < c->leadership.term_token &&
      !(m->state == HR_MACHINE_BOOTING && m->instance.requested_here)) {
    /* Sent before the worker heard from this owner, how long ago nobody knows: it may be
     * a late copy of a machine that is gone. Only its order counts. A worker that is
     * there gets our token now, and reports again because of it; but when, and whether we
     * are there by then, is open: so it is told now what must not run. */
    hr_lease_renewal_answer (c, cmd, m, r, HR_HEARTBEAT_BEFORE_TOKEN, orders);
    return;
  }
  take_heartbeat (c, m, r, orders);
  hr_lease_renewal_answer (c, cmd, m, r, HR_HEARTBEAT_CURRENT, orders);
}

void
hr_heartbeat_received (HrCore *c, HrCommand *cmd)
{
  if (cmd->method != HR_POST) {
    hr_core_refuse (c, cmd->id, 405, 0, "use POST");
    return;
  }
  c->membership.contacts_in_window++;
  if (!hr_leadership_may_answer (c)) {
    c->metrics.counters.reports_refused_not_entitled++;
    hr_lease_renewal_log_refusal (c, NULL,
                                  c->leadership.is_leader ? "reading_too_old" : "not_leader");
    redirect_to_leader (c, cmd);
    return;
  }
  gsize len = 0;
  const char *data = cmd->body ? g_bytes_get_data (cmd->body, &len) : NULL;
  g_autofree char *why = NULL;
  g_autoptr (HrHeartbeat) r = hr_heartbeat_parse (data, len, &why);
  if (!r) {
    g_info ("a report was dropped: %s", why);
    c->metrics.counters.reports_malformed++;
    hr_core_refuse (c, cmd->id, 400, 0, why);
    return;
  }
  if (r->fencing_token > c->leadership.fencing_token) {
    g_info ("%s has seen baton %" G_GUINT64_FORMAT ", ours is older", r->machine, r->fencing_token);
    refuse_heartbeat (c, cmd, r, &c->metrics.counters.reports_refused_token, "newer_token",
                      "a newer baton is about");
    return;
  }
  HrMachine *m = hr_machine_get (c, r->machine);
  if (may_be_answered (c, cmd, m, r))
    answer_heartbeat (c, cmd, m, r);
}

void
hr_heartbeat_direct_answer (HrCore *c, HrMachine *m, const HrHeartbeat *r)
{
  if (strcmp (r->machine, m->name) != 0 || m->state != HR_MACHINE_UP ||
      r->incarnation != m->agent.incarnation || r->sequence <= m->agent.sequence)
    return;
  m->agent.sequence = r->sequence;
  m->agent.sequence_at = c->now;
  m->agent.fencing_token = MAX (m->agent.fencing_token, r->fencing_token);
  json_t *orders = json_array ();
  take_reported_tasks (c, m, r, FALSE,
                       orders); /* its orders go out with the next report's answer */
  json_decref (orders);
}
