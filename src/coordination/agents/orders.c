#include "coordination/agents/orders.h"
#include "protocol/json_util.h"
#include <string.h>

/* Seconds after which a direct stop is sent once more. */
#define STOP_AGAIN_S 1.0
/* A save that takes so many seconds longer than was said is ended. */
#define SAVE_OVERDUE_S 10.0

static gboolean
launchable (const HrCore *c, const HrJob *j, const HrTask *t)
{
  /* What an earlier owner recorded is not launched: it may have ended and made
   * place for others since. It is seen on its machine, or proven gone. */
  return j->state == HR_JOB_QUEUED && !hr_job_has_unfinished_dependencies (j) && !t->stop_wanted &&
         !t->from_earlier_term &&
         (j->spec.shape != HR_GANG ||
          (!j->run.attempt_ending && hr_gang_ready (j) && !hr_gang_delays_launch (c, j, t)));
}

/* While the state service refuses this owner alone, others confirm withdrawals that it cannot read:
 * it launches nothing. What is recorded may wait for long, a gang's task for others' fetches. In
 * an outage for all nobody confirms any. */
static gboolean
may_launch (const HrCore *c)
{
  return hr_replica_is_served (c) || hr_membership_store_outage_for_all (c);
}

/* The order is about to be sent. why: of a stop, else NULL. */
static void
log_order (const char *order, const char *job, guint32 task, guint32 attempt, const HrMachine *m,
           gboolean direct, const char *why)
{
  g_debug ("%s: task=%s/%u try=%u machine=%s session=%u way=%s%s%s", order, job, task, attempt,
           m->name, m->agent.incarnation, direct ? "direct" : "answer", why ? " why=" : "",
           why ? why : "");
}

static const char *
stop_reason (const HrJob *j)
{
  return j->state == HR_JOB_CANCELLED ? "withdrawn"
         : j->run.attempt_ending      ? "gang_over"
                                      : "wanted";
}

static void
append_launch (HrCore *c, HrMachine *m, json_t *orders, HrTaskRef r, gboolean direct)
{
  HrJob *j = c->store.tables.jobs->pdata[r.job];
  const HrTask *t = &j->tasks[r.task];
  hr_order_launch (orders, j->id, r.task, t->placement.attempt);
  if (direct)
    hr_termination_note_direct_launch (m, r.job, r.task, t->placement.attempt,
                                       c->leadership.fencing_token);
  c->metrics.counters.starts++;
  log_order ("start", j->id, r.task, t->placement.attempt, m, direct, NULL);
}

static void
append_stop (HrCore *c, HrMachine *m, json_t *orders, HrTaskRef r, gboolean direct)
{
  HrJob *j = c->store.tables.jobs->pdata[r.job];
  HrTask *t = &j->tasks[r.task];
  if (!t->stop_sent_at)
    t->stop_sent_at = c->now;
  gboolean overdue = c->now - t->stop_sent_at > t->stop_grace_s + SAVE_OVERDUE_S;
  if (t->reported_state == HR_REPORTED_SAVING && !overdue && t->stop_grace_s > 0)
    return;
  hr_order_stop (orders, j->id, r.task, t->placement.attempt, overdue ? 0 : t->stop_grace_s);
  c->metrics.counters.stops++;
  log_order ("stop", j->id, r.task, t->placement.attempt, m, direct, stop_reason (j));
}

gboolean
hr_orders_recorded (HrCore *c, HrMachine *m, json_t *orders, gboolean direct)
{
  gboolean launch = FALSE, may = may_launch (c);
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef r = g_array_index (m->tasks, HrTaskRef, i);
    HrJob *j = c->store.tables.jobs->pdata[r.job];
    HrTask *t = &j->tasks[r.task];
    if (t->state != HR_TASK_BOUND || t->placement.incarnation != m->agent.incarnation)
      continue;
    if (may && t->reported_state == HR_NOT_REPORTED && launchable (c, j, t)) {
      append_launch (c, m, orders, r, direct);
      launch = TRUE;
    } else if (t->stop_wanted && (!direct || c->now - t->stop_sent_at > STOP_AGAIN_S))
      append_stop (c, m, orders, r, direct);
  }
  return launch;
}

void
hr_orders_stop (HrCore *c, const HrMachine *m, json_t *orders, const char *job, guint32 task,
                guint32 attempt, const char *why)
{
  hr_order_stop (orders, job, task, attempt, 0);
  c->metrics.counters.stops++;
  log_order ("stop", job, task, attempt, m, FALSE, why);
}

void
hr_orders_clear (HrCore *c, const HrMachine *m, json_t *orders, const char *job, guint32 task,
                 guint32 attempt)
{
  hr_order_clear (orders, job, task, attempt);
  c->metrics.counters.clears++;
  log_order ("clear", job, task, attempt, m, FALSE, NULL);
}

gboolean
hr_orders_name_stop (json_t *orders, const char *job, guint32 task, guint32 attempt)
{
  size_t i;
  json_t *order;
  g_autofree char *piece = g_strdup_printf ("%s/%u", job, task);
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
