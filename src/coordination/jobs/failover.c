/* A new term begins: what the records say is what may be out there. */
#include "coordination/state.h"

/* More than any task is tried in one owner's time. */
#define ATTEMPTS_PER_TERM 1000

/* What an earlier term knew of the machine is out of date. */
static void
forget_machine (HrCore *c, HrMachine *m)
{
  const HrMachineType *type = hr_machine_type_of (c, m);
  g_array_set_size (m->tasks, 0);
  g_array_set_size (m->plan.list, 0);
  g_array_set_size (m->agent.direct_launches, 0);
  m->unrecognized.cpus = m->unrecognized.gpus = m->unrecognized.memory_gb = 0;
  m->free.cpus = type ? type->cpus : 0;
  m->free.gpus = type ? type->gpus : 0;
  m->free.memory_gb = type ? type->memory_gb : 0;
  m->agent.heard_at = m->agent.lease_renewed_at = m->agent.answer_unreceived_at =
      m->agent.unreachable_at = 0;
  m->instance.requested_here = FALSE;
  m->agent.fencing_token = 0;
  m->agent.launch_answered_sequence = m->agent.direct_calls_in_flight =
      m->agent.unanswered_launch_token = 0;
  m->agent.has_urgent_orders = m->is_draining = FALSE;
  m->idle_since = c->now;
  m->instance.preempted_at = 0;
  m->state = HR_MACHINE_GONE;
}

/* The task is on the machine that its record names, as far as any proof goes. */
static void
take_over_bound (HrCore *c, HrJob *j, guint32 task)
{
  HrTask *t = &j->tasks[task];
  HrMachine *m =
      hr_machine_get (c, hr_intern_name (&c->store.tables.machine_ids, t->recorded.machine));
  t->placement.machine = t->recorded.machine;
  t->placement.incarnation = t->recorded.incarnation;
  t->state = HR_TASK_BOUND;
  t->from_earlier_term = 1;
  j->run.n_live++;
  hr_machine_allocate (m, &j->spec, (HrTaskRef){j->index, task});
  if (m->state == HR_MACHINE_GONE) {
    /* Known from a record alone: it reports, or its absence gets proven. */
    m->state = HR_MACHINE_UP;
    m->agent.incarnation = MAX (m->agent.incarnation, t->recorded.incarnation);
    hr_fleet_add (c, m);
  }
}

/* As recorded. Returns whether the tasks of a gang are of different attempts. */
static gboolean
take_over_tasks (HrCore *c, HrJob *j)
{
  gboolean bound = FALSE, mixed = FALSE;
  for (guint32 k = 0; k < j->n_tasks; k++) {
    HrTask *t = &j->tasks[k];
    t->write_in_flight = t->stop_wanted = t->is_listed = 0;
    t->reported_state = HR_NOT_REPORTED;
    t->state = HR_TASK_IDLE;
    t->placement.attempt = t->recorded.attempt;
    t->running_since = t->stop_sent_at = 0;
    t->bound_since = c->now;
    if (t->done_recorded) {
      t->state = HR_TASK_DONE;
      j->n_done++;
      continue;
    }
    if (t->recorded.machine == HR_NONE) {
      if (j->record.tasks_unreadable) /* its attempts are not known either, and none may be numbered
                                         twice */
        t->placement.attempt =
            MAX (t->placement.attempt, (guint32)(c->leadership.term_token * ATTEMPTS_PER_TERM));
      mixed |= j->spec.shape == HR_GANG && bound;
      continue;
    }
    mixed |= j->spec.shape == HR_GANG &&
             (k > 0 && (!bound || t->recorded.attempt != j->tasks[0].recorded.attempt));
    bound = TRUE;
    take_over_bound (c, j, k);
  }
  return mixed;
}

static void
take_over_job (HrCore *c, HrJob *j)
{
  j->run.n_live = j->n_done = 0;
  j->run.attempt_ending = FALSE;
  j->run.gang_incomplete_since = 0;
  j->plan.n_listed = 0;
  j->run.failures = 0;
  /* Tasks that nobody knows the place of wait until no lease can be left that an earlier
   * owner renewed; whatever reports to us is told to stop what we do not know. */
  j->run.retry_at = j->record.tasks_unreadable
                        ? c->leadership.term_began_at + c->policy.hold_s + hr_lease_duration_s (c)
                        : 0;
  gboolean mixed = take_over_tasks (c, j);
  if (j->spec.shape == HR_GANG && j->n_done && j->state == HR_JOB_QUEUED)
    hr_gang_done (c, j, 0, TRUE); /* a large gang's ending was being recorded page by page */
  if (j->state == HR_JOB_CANCELLED)
    hr_job_cancelled (c, j);
  else if (mixed && j->run.n_live) /* parts of different attempts: begin again with a new one */
    hr_gang_end_attempt (c, j, 0);
  if (j->n_done == j->n_tasks)
    hr_record_writer_mark (c, j, 0);
}

/* What this term begins with. */
static void
log_term (const HrCore *c)
{
  guint jobs = 0, bound = 0, cancelled = 0;
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    const HrJob *j =
        c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    guint n = j->tasks ? hr_job_bound_tasks (j) : 0;
    jobs++;
    bound += n;
    cancelled += j->state == HR_JOB_CANCELLED ? n : 0;
  }
  g_message ("leads: token=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
             " reading_age=%.2f jobs=%u bound=%u withdrawn_bound=%u",
             c->leadership.fencing_token, c->store.replica.applied_revision,
             c->now - c->store.replica.confirmed_at, jobs, bound, cancelled);
}

/* A new owner: what the records say is what may be out there. */
void
hr_failover_take_over (HrCore *c)
{
  for (guint i = 0; i < c->store.tables.machines->len; i++)
    forget_machine (c, c->store.tables.machines->pdata[i]);
  /* The fleet of an earlier term of ours is long out of date: others have returned
   * machines since. What records, reports and the cloud's list name is there. */
  g_ptr_array_set_size (c->scaling.fleet, 0);
  g_array_set_size (c->store.writer.dirty_pages, 0);
  hr_record_split_rescan (c);
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    if (j->tasks)
      take_over_job (c, j);
  }
  c->scheduling.plan_is_stale = TRUE;
  log_term (c);
}
