/* What happens to a task: assigned, recorded, seen, gone, done. */
#include "coordination/state.h"
#include <math.h>
#include <string.h>

/* A class's correction is the mean of about this many samples' effect at the most. */
#define CORRECTION_WINDOW 40

static HrMachine *
machine_of (HrCore *c, const HrTask *t)
{
  return c->store.tables.machines->pdata[t->placement.machine];
}

/* Its orders go out with the next step. */
static void
mark_urgent (HrCore *c, HrMachine *m)
{
  m->agent.has_urgent_orders = c->agents.has_urgent_orders = TRUE;
}

static void
note_freed (HrCore *c, HrMachine *m)
{
  if (m->tasks->len == 0)
    m->idle_since = c->now;
  c->scheduling.plan_is_stale = TRUE;
}

guint32
hr_job_next_attempt (const HrJob *j)
{
  guint32 a = 0;
  for (guint32 i = 0; i < j->n_tasks; i++)
    a = MAX (a, MAX (j->tasks[i].placement.attempt, j->tasks[i].recorded.attempt));
  return a + 1;
}

void
hr_task_assign (HrCore *c, HrJob *j, guint32 task, HrMachine *m, guint32 attempt)
{
  HrTask *t = &j->tasks[task];
  HrTaskRef r = {j->index, task};
  t->placement.machine = m->index;
  t->placement.incarnation = m->agent.incarnation;
  t->placement.attempt = attempt;
  t->state = HR_TASK_ASSIGNING;
  t->reported_state = HR_NOT_REPORTED;
  t->stop_wanted = t->from_earlier_term = 0;
  t->stop_sent_at = t->running_since = 0;
  t->bound_since = c->now;
  t->expected_fetch_s = hr_estimate_fetch_time (c, j, m);
  j->run.n_live++;
  hr_machine_allocate (m, &j->spec, r);
  hr_record_writer_mark (c, j, task);
  g_debug ("%s/%u try %u goes to %s", j->id, task, attempt, m->name);
}

/* Takes the task off its machine's books. */
static void
release_machine (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = machine_of (c, t);
  HrTaskRef r = {j->index, task};
  hr_machine_release (m, &j->spec, r);
  j->run.n_live--;
  t->stop_wanted = 0;
  note_freed (c, m);
  if (j->run.n_live)
    return;
  j->run.attempt_ending = FALSE;
  j->run.gang_incomplete_since = 0;
  if (j->state != HR_JOB_QUEUED)
    hr_record_writer_mark (c, j, 0); /* all are gone: the record can shrink */
}

void
hr_task_unassign (HrCore *c, HrJob *j, guint32 task)
{
  j->tasks[task].state = HR_TASK_IDLE;
  release_machine (c, j, task);
}

gboolean
hr_gang_ready (const HrJob *j)
{
  for (guint32 i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].state != HR_TASK_BOUND ||
        j->tasks[i].placement.attempt != j->tasks[0].placement.attempt)
      return FALSE;
  return TRUE;
}

void
hr_task_bound (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = machine_of (c, t);
  t->state = HR_TASK_BOUND;
  if (m->state != HR_MACHINE_UP || m->agent.incarnation != t->placement.incarnation) {
    /* The machine went, or began a new session, while we wrote; nothing was sent. */
    hr_task_gone (c, j, task, HR_EXIT_NONE, "its machine changed before the launch");
    return;
  }
  if (j->spec.shape == HR_GANG && j->n_done) {
    /* A replacement for a gang that turned out to be done while we wrote; nothing was sent. */
    hr_task_done (c, j, task);
    return;
  }
  mark_urgent (c, m);
  if (j->spec.shape == HR_GANG && hr_gang_ready (j)) {
    j->run.gang_ready_at = c->now;
    for (guint32 i = 0; i < j->n_tasks; i++)
      mark_urgent (c, machine_of (c, &j->tasks[i]));
  }
}

/* A task that has its image at once would wait for those that fetch it, and give up after
 * gang_wait_s; with it they would lose their fetches, attempt after attempt. So it is
 * launched later: half of that wait before the longest fetch should end. */
gboolean
hr_gang_delays_launch (const HrCore *c, const HrJob *j, const HrTask *t)
{
  double longest = 0;
  for (guint32 i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].reported_state == HR_NOT_REPORTED ||
        j->tasks[i].reported_state == HR_REPORTED_FETCHING)
      longest = MAX (longest, j->tasks[i].expected_fetch_s);
  return c->now <
         j->run.gang_ready_at + longest - t->expected_fetch_s - c->settings->gang_wait_s / 2;
}

void
hr_gang_end_attempt (HrCore *c, HrJob *j, double grace)
{
  j->run.attempt_ending = TRUE;
  j->run.gang_incomplete_since = 0;
  for (guint32 i = 0; i < j->n_tasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->state == HR_TASK_ASSIGNING && !t->write_in_flight)
      hr_task_unassign (c, j, i);
    else if (t->state == HR_TASK_BOUND && !t->stop_wanted)
      hr_task_stop (c, j, i, grace);
  }
}

static void
note_failure (HrCore *c, HrJob *j, HrMachine *m, HrExitCause why)
{
  j->run.last_failure = why;
  j->run.failed_machine = m->index;
  j->run.failures++;
  /* Mostly the machine is at fault, so the first try elsewhere is at once; a job
   * that keeps failing waits longer and longer. */
  j->run.retry_pause_s = j->run.failures < 2
                             ? 0
                             : MIN (c->policy.retry_most_s,
                                    c->policy.retry_s * pow (2, MIN (j->run.failures - 2, 20)));
  j->run.retry_at = c->now + j->run.retry_pause_s;
  j->run.failed_machine_avoided_until = c->now + MAX (60, 2 * j->run.retry_pause_s);
  if (m->last_failed_job != j->index) {
    m->last_failed_job = j->index;
    m->failures++;
  }
  g_info ("%s failed on %s (%s), %u in a row; next try in %.0f s", j->id, m->name,
          hr_exit_name (why), j->run.failures, j->run.retry_pause_s);
  if (m->failures >= c->policy.error_limit && !m->is_draining) {
    g_message ("%s fails task after task; it is drained and returned", m->name);
    m->is_draining = TRUE;
  }
}

/* Has the attempt begun, as far as its workers have said? */
static gboolean
gang_has_begun (const HrJob *j)
{
  for (guint32 i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].state == HR_TASK_BOUND &&
        (j->tasks[i].running_since || j->tasks[i].from_earlier_term || j->tasks[i].stop_wanted))
      return TRUE;
  return FALSE;
}

void
hr_task_gone (HrCore *c, HrJob *j, guint32 task, HrExitCause why, const char *proof)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m = machine_of (c, t);
  if (t->state != HR_TASK_BOUND)
    return;
  /* The others of a gang that has not begun keep waiting; a replacement with the same
   * attempt number completes it. A task that failed would most likely fail again. */
  gboolean replace = (why == HR_EXIT_NONE || why == HR_EXIT_FULL) && !gang_has_begun (j);
  g_debug ("%s/%u try %u is off %s: %s", j->id, task, t->placement.attempt, m->name, proof);
  t->state = HR_TASK_IDLE;
  if (why == HR_EXIT_ERROR || why == HR_EXIT_UNKNOWN)
    note_failure (c, j, m, why);
  else if (why == HR_EXIT_FULL || why == HR_EXIT_IN_USE) {
    m->full_until = c->now + 3;
    j->run.last_failure = why;
  }
  gboolean gang = j->spec.shape == HR_GANG && j->run.n_live > 1;
  if (j->spec.shape == HR_SERVICE)
    c->scheduling.planned_at = 0; /* a replica is down: plan at once */
  release_machine (c, j, task);
  if (!gang || j->run.attempt_ending || j->state != HR_JOB_QUEUED)
    return;
  if (!replace)
    hr_gang_end_attempt (c, j, 0);
  else if (!j->run.gang_incomplete_since)
    j->run.gang_incomplete_since = c->now;
}

static void
learn_run_time (HrCore *c, HrJob *j, HrTask *t, HrMachine *m)
{
  HrClassStats *s = hr_class_stats (c, j->spec.job_class);
  double ran = c->now - t->running_since;
  if (!t->running_since || j->spec.estimate_s <= 0 || j->spec.shape == HR_SERVICE)
    return;
  double ratio =
      CLAMP (ran / j->spec.estimate_s, c->policy.correction_least, c->policy.correction_most);
  /* One task counts little: jobs differ far more than a class drifts. */
  s->run_time_samples++;
  double k = 1.0 / MIN (2 * s->run_time_samples + 1, CORRECTION_WINDOW);
  s->run_time_correction += k * (ratio - s->run_time_correction);
}

void
hr_gang_done (HrCore *c, HrJob *j, guint32 attempt, gboolean any)
{
  for (guint32 i = 0; i < j->n_tasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->placement.attempt != attempt && !any)
      continue;
    if (t->state == HR_TASK_ASSIGNING && !t->write_in_flight)
      hr_task_unassign (c, j, i);
    if (t->state == HR_TASK_BOUND)
      hr_task_done (c, j, i);
    else if (t->state == HR_TASK_IDLE) {
      t->state = HR_TASK_DONE;
      j->n_done++;
      hr_record_writer_mark (c, j, i);
    }
  }
}

void
hr_task_done (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  if (t->state != HR_TASK_BOUND)
    return;
  HrMachine *m = machine_of (c, t);
  learn_run_time (c, j, t, m);
  m->failures = 0;
  m->last_failed_job = HR_NONE;
  j->run.failures = 0;
  g_debug ("%s/%u ends on %s", j->id, task, m->name);
  t->state = HR_TASK_DONE;
  j->n_done++;
  release_machine (c, j, task);
  hr_record_writer_mark (c, j, task);
  if (j->spec.shape == HR_GANG)
    hr_gang_done (c, j, t->placement.attempt, FALSE);
}

void
hr_task_stop (HrCore *c, HrJob *j, guint32 task, double grace)
{
  HrTask *t = &j->tasks[task];
  if (t->state != HR_TASK_BOUND || (t->stop_wanted && t->stop_grace_s <= grace))
    return;
  t->stop_wanted = 1;
  t->stop_grace_s = grace;
  t->stop_sent_at = 0;
  mark_urgent (c, machine_of (c, t));
}

guint
hr_job_bound_tasks (const HrJob *j)
{
  guint n = 0;
  for (guint32 i = 0; i < j->n_tasks; i++)
    n += j->tasks[i].state == HR_TASK_BOUND;
  return n;
}

void
hr_job_cancelled (HrCore *c, HrJob *j)
{
  g_info ("%s is withdrawn", j->id);
  c->metrics.counters.withdrawals++;
  if (!j->cancellation.unknown_until)
    j->cancellation.unknown_until =
        c->store.replica.confirmed_at; /* of the last reading that did not show it */
  g_info ("withdrawn: job=%s epoch=%" G_GUINT64_FORMAT " reading_age=%.2f bound=%u", j->id,
          c->store.replica.applied_revision, c->now - c->store.replica.confirmed_at,
          hr_job_bound_tasks (j));
  for (guint32 i = 0; i < j->n_tasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->state == HR_TASK_ASSIGNING && !t->write_in_flight)
      hr_task_unassign (c, j, i);
    else if (t->state == HR_TASK_BOUND)
      hr_task_stop (c, j, i, 0);
  }
  if (!j->run.n_live)
    hr_record_writer_mark (c, j, 0);
}
