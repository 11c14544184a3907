/* A new term begins: what the records say is what may be out there. */
#include "coordination/jobs/failover.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/record_writer.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/state.h"

/* More than any task is tried in one leader's time. */
#define ATTEMPTS_PER_TERM 1000

/* What an earlier term knew of the machine is out of date. */
static void
forget_machine (HrCore *core, HrMachine *machine)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  g_array_set_size (machine->tasks, 0);
  g_array_set_size (machine->plan.list, 0);
  g_array_set_size (machine->agent.direct_launches, 0);
  machine->unrecognized.cpus = machine->unrecognized.gpus = machine->unrecognized.memory_gb = 0;
  machine->free.cpus = type ? type->cpus : 0;
  machine->free.gpus = type ? type->gpus : 0;
  machine->free.memory_gb = type ? type->memory_gb : 0;
  machine->agent.heard_at = machine->agent.lease_renewed_at = machine->agent.answer_unreceived_at =
      machine->agent.unreachable_at = 0;
  machine->instance.requested_here = FALSE;
  machine->agent.fencing_token = 0;
  machine->agent.launch_answered_sequence = machine->agent.direct_calls_in_flight =
      machine->agent.unanswered_launch_token = 0;
  machine->agent.has_urgent_orders = machine->is_draining = FALSE;
  machine->idle_since = core->now;
  machine->instance.preempted_at = 0;
  machine->state = HR_MACHINE_GONE;
}

/* The task is on the machine that its record names, as far as any proof goes. */
static void
take_over_bound (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  HrMachine *machine =
      hr_machine_get (&core->store.tables,
                      hr_intern_name (&core->store.tables.machine_ids, task->recorded.machine));
  task->placement.machine = task->recorded.machine;
  task->placement.incarnation = task->recorded.incarnation;
  task->state = HR_TASK_BOUND;
  task->from_earlier_term = 1;
  job->run.n_live++;
  hr_machine_allocate (machine, &job->spec, (HrTaskRef){job->index, task_index});
  if (machine->state == HR_MACHINE_GONE) {
    /* Known from a record alone: it reports, or its termination gets proven. */
    machine->state = HR_MACHINE_UP;
    machine->agent.incarnation = MAX (machine->agent.incarnation, task->recorded.incarnation);
    hr_fleet_add (core, machine);
  }
}

/* As recorded. Returns whether the tasks of a gang are of different attempts. */
static gboolean
take_over_tasks (HrCore *core, HrJob *job)
{
  gboolean bound = FALSE, mixed = FALSE;
  for (guint32 k = 0; k < job->n_tasks; k++) {
    HrTask *task = &job->tasks[k];
    task->write_in_flight = task->stop_wanted = task->is_listed = 0;
    task->reported_state = HR_NOT_REPORTED;
    task->state = HR_TASK_IDLE;
    task->placement.attempt = task->recorded.attempt;
    task->running_since = task->stop_sent_at = 0;
    task->bound_since = core->now;
    if (task->done_recorded) {
      task->state = HR_TASK_DONE;
      job->n_done++;
      continue;
    }
    if (task->recorded.machine == HR_NONE) {
      if (job->record.tasks_unreadable) /* its attempts are not known either, and none may be
                                         numbered twice */
        task->placement.attempt = MAX (task->placement.attempt,
                                       (guint32)(core->leadership.term_token * ATTEMPTS_PER_TERM));
      mixed |= job->spec.shape == HR_GANG && bound;
      continue;
    }
    mixed |= job->spec.shape == HR_GANG &&
             (k > 0 && (!bound || task->recorded.attempt != job->tasks[0].recorded.attempt));
    bound = TRUE;
    take_over_bound (core, job, k);
  }
  return mixed;
}

static void
take_over_job (HrCore *core, HrJob *job)
{
  job->run.n_live = job->n_done = 0;
  job->run.attempt_ending = FALSE;
  job->run.gang_incomplete_since = 0;
  job->plan.n_listed = 0;
  job->run.failures = 0;
  /* Tasks that nobody knows the place of wait until no lease can be left that an earlier
   * owner renewed; whatever reports to us is told to stop what we do not know. */
  job->run.retry_at =
      job->record.tasks_unreadable
          ? core->leadership.term_began_at + core->policy.hold_s + hr_lease_duration_s (core)
          : 0;
  gboolean mixed = take_over_tasks (core, job);
  if (job->spec.shape == HR_GANG && job->n_done && job->state == HR_JOB_QUEUED)
    hr_gang_done (core, job, 0, TRUE); /* a large gang's ending was being recorded page by page */
  if (job->state == HR_JOB_CANCELLED)
    hr_job_cancelled (core, job);
  else if (mixed && job->run.n_live) /* parts of different attempts: begin again with a new one */
    hr_gang_end_attempt (core, job, 0);
  if (job->n_done == job->n_tasks)
    hr_record_writer_mark (&core->store, job, 0);
}

/* What this term begins with. */
static void
log_term (const HrCore *core)
{
  guint jobs = 0, bound = 0, cancelled = 0;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    const HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    guint n = job->tasks ? hr_job_bound_tasks (job) : 0;
    jobs++;
    bound += n;
    cancelled += job->state == HR_JOB_CANCELLED ? n : 0;
  }
  g_message ("leads: token=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
             " reading_age=%.2f jobs=%u bound=%u cancelled_bound=%u",
             core->leadership.fencing_token, core->store.replica.applied_revision,
             core->now - core->store.replica.confirmed_at, jobs, bound, cancelled);
}

/* A new leader: what the records say is what may be out there. */
void
hr_failover_take_over (HrCore *core)
{
  for (guint i = 0; i < core->store.tables.machines->len; i++)
    forget_machine (core, core->store.tables.machines->pdata[i]);
  /* The fleet of an earlier term of ours is long out of date: others have returned
   * machines since. What records, reports and the cloud's list name is there. */
  g_ptr_array_set_size (core->scaling.fleet, 0);
  g_array_set_size (core->store.writer.dirty_pages, 0);
  hr_record_split_rescan (&core->store);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    if (job->tasks)
      take_over_job (core, job);
  }
  core->scheduling.plan_is_stale = TRUE;
  log_term (core);
}
