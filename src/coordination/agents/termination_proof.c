/* Proof that a task is not on a machine. A recorded task is placed anew only
 * after one of: the worker showed that it is gone, with no order of ours still
 * on its way; a later session; the cloud's 200 to the machine's deletion; a
 * lease that is surely over. */
#include "coordination/state.h"

/* No launch that we sent may still take effect. */
gboolean
hr_termination_orders_settled (const HrMachine *m)
{
  return m->agent.direct_calls_in_flight == 0 && m->agent.unanswered_launch_token == 0 &&
         m->agent.launch_answered_sequence == 0;
}

/* A launch whose answer was lost, of a job that was withdrawn since, may come at any time while
 * the worker is in this session and has seen no newer token. Without the state service no newer
 * token is to be had; with it one is asked for (take_items in workers.c), but its write may fail
 * again and again. So there is a bound: the worker's lease has to end by `cancel_s` after the user
 * was told, which was after the last reading that did not show the withdrawal. */
gboolean
hr_termination_cancelled_may_start (const HrCore *c, const HrMachine *m)
{
  gboolean on_its_way = m->agent.unanswered_launch_token || m->agent.direct_calls_in_flight,
           served = hr_replica_is_served (c);
  for (guint i = 0; on_its_way && i < m->tasks->len; i++) {
    HrTaskRef r = g_array_index (m->tasks, HrTaskRef, i);
    const HrJob *j = c->store.tables.jobs->pdata[r.job];
    const HrTask *t = &j->tasks[r.task];
    if (j->state == HR_JOB_CANCELLED && t->state == HR_TASK_BOUND &&
        t->placement.incarnation == m->agent.incarnation && t->reported_state == HR_NOT_REPORTED &&
        ((!served && m->agent.unanswered_launch_token) ||
         c->now - j->cancellation.unknown_until > c->policy.hold_s))
      return TRUE;
  }
  return FALSE;
}

void
hr_termination_note_direct_launch (HrMachine *m, guint32 job, guint32 task, guint32 attempt,
                                   guint64 token)
{
  for (guint i = 0; i < m->agent.direct_launches->len; i++) {
    HrDirectLaunch *d = &g_array_index (m->agent.direct_launches, HrDirectLaunch, i);
    if (d->job == job && d->task == task && d->attempt == attempt) {
      d->fencing_token = token;
      return;
    }
  }
  HrDirectLaunch d = {job, task, attempt, token};
  g_array_append_val (m->agent.direct_launches, d);
}

/* May the worker forget this attempt? A copy of a direct launch may come minutes
 * later, and would start it again; it is void once the worker has seen a newer
 * token than the launch had. Orders in the answer to a report are never late. */
gboolean
hr_termination_may_clear (const HrCore *c, HrMachine *m, guint32 job, guint32 task, guint32 attempt)
{
  if (!hr_termination_orders_settled (m) || m->agent.fencing_token < c->leadership.term_token)
    return FALSE;
  for (guint i = 0; i < m->agent.direct_launches->len; i++) {
    HrDirectLaunch *d = &g_array_index (m->agent.direct_launches, HrDirectLaunch, i);
    if (d->job != job || d->task != task || d->attempt != attempt)
      continue;
    if (d->fencing_token >= m->agent.fencing_token)
      return FALSE;
    g_array_remove_index_fast (m->agent.direct_launches, i);
    return TRUE;
  }
  return TRUE;
}

double
hr_lease_duration_s (const HrCore *c)
{
  return c->settings->lease_s * 1.002 + c->policy.lease_margin_s;
}

gboolean
hr_lease_has_expired (const HrCore *c, const HrMachine *m)
{
  /* Before a worker has seen our token an earlier owner may have answered it,
   * for up to `hold` after our map was written. Afterwards only we can. */
  double base = m->agent.lease_renewed_at;
  if (m->agent.fencing_token < c->leadership.term_token)
    base = MAX (base, c->leadership.term_began_at + c->policy.hold_s);
  return c->now > base + hr_lease_duration_s (c);
}

void
hr_termination_incarnations_over (HrCore *c, HrMachine *m, guint32 upto, const char *why)
{
  g_autoptr (GArray) tasks = g_array_copy (m->tasks);
  for (guint i = 0; i < tasks->len; i++) {
    HrTaskRef r = g_array_index (tasks, HrTaskRef, i);
    HrJob *j = c->store.tables.jobs->pdata[r.job];
    HrTask *t = j->tasks ? &j->tasks[r.task] : NULL;
    if (t && t->state == HR_TASK_BOUND && t->placement.machine == m->index &&
        t->placement.incarnation <= upto)
      hr_task_gone (c, j, r.task, HR_EXIT_NONE, why);
  }
}

static double
last_heard (const HrCore *c, const HrMachine *m)
{
  return MAX (m->agent.heard_at, c->leadership.term_began_at);
}

/* A machine that is being returned is answered no more, so its lease runs out like that of a silent
 * one. While the cloud answers no deletion, that is the only proof about what it held. */
static void
expire_returned_lease (HrCore *c, HrMachine *m)
{
  if (m->state == HR_MACHINE_DELETING && m->tasks->len && hr_lease_has_expired (c, m))
    hr_termination_incarnations_over (c, m, G_MAXUINT32,
                                      "it is being returned, and its lease is surely over");
}

static gboolean
is_unreachable_now (const HrCore *c, const HrMachine *m)
{
  return m->agent.unreachable_at > 0 && c->now - m->agent.unreachable_at < c->settings->lease_s;
}

/* The cloud's list lacks it, though no list is so old that it could not be there yet: gone,
 * most likely. No proof, but reason enough to have it deleted, which is one. */
static gboolean
is_missing_from_list (const HrCore *c, const HrMachine *m)
{
  return m->instance.listed_at < c->scaling.listed_at &&
         c->scaling.listed_at > m->instance.known_since + 2 * c->settings->list_lag_s;
}

void
hr_agents_tick (HrCore *c)
{
  if (!c->leadership.is_leader)
    return;
  guint up = 0, overdue = 0, deaf = 0;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (m->state != HR_MACHINE_UP)
      continue;
    up++;
    overdue += c->now - last_heard (c, m) > c->policy.overdue_s;
    deaf += is_unreachable_now (c, m);
  }
  if (deaf > 2 && deaf > c->policy.silent_share * up) {
    hr_leadership_resign (c, "what this node answers reaches few workers");
    return;
  }
  /* When many fall silent at once it is more likely us than them. Their reports come spread
   * over a period, so the first ones reach silent_s well before the rest: what tells is
   * how many are overdue by then, or they would be deleted a few at a time. */
  gboolean us = overdue > 2 && overdue > c->policy.silent_share * up;
  /* A new owner lets workers find it first; so does one that was cut off itself, or
   * it would return every machine that the same cut kept from it. */
  gboolean early = c->now - MAX (c->leadership.term_began_at, c->store.replica.served_since) <
                   c->policy.silent_s + 6;
  g_autoptr (GPtrArray) fleet = g_ptr_array_copy (c->scaling.fleet, NULL, NULL);
  for (guint i = 0; i < fleet->len; i++) {
    HrMachine *m = fleet->pdata[i];
    expire_returned_lease (c, m);
    if (m->state == HR_MACHINE_UP && is_unreachable_now (c, m))
      hr_fleet_delete (c, m, "it reports, but what it is told does not reach it");
    if (m->state == HR_MACHINE_UP && c->now - last_heard (c, m) > c->policy.overdue_s &&
        is_missing_from_list (c, m) && hr_replica_is_served (c))
      hr_fleet_delete (c, m, "its worker is silent, and the cloud no longer lists it");
    if (m->state != HR_MACHINE_UP || c->now - last_heard (c, m) <= c->policy.silent_s)
      continue;
    if (hr_lease_has_expired (c, m) && m->tasks->len)
      hr_termination_incarnations_over (c, m, G_MAXUINT32, "its lease is surely over");
    /* Past its lease a machine holds nothing that deleting it could cost. */
    if ((!us || hr_lease_has_expired (c, m)) && !early && hr_replica_is_served (c))
      hr_fleet_delete (c, m, "its worker is silent");
  }
}
