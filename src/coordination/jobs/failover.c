/* Failover. A new leader takes over machines, tasks and jobs in the order of the sections below. */
#include "coordination/jobs/failover.h"
#include "bookkeeping/record_split.h"
#include "bookkeeping/record_writer.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/state.h"

/* Upper bound of the attempts of one task in one leader's term. */
#define ATTEMPTS_PER_TERM 1000

static HrJob *
open_job (const HrCore *core, guint i)
{
  guint32 index = g_array_index (core->store.tables.open_jobs, guint32, i);
  return core->store.tables.jobs->pdata[index];
}

/* ---- 1. machines ---- */

/* Marks all of the machine's capacity as free; tasks that are taken over allocate theirs again. */
static void
reset_capacity (const HrCore *core, HrMachine *machine)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  g_array_set_size (machine->tasks, 0);
  machine->unrecognized = (HrResources){0};
  machine->free.cpus = type ? type->cpus : 0;
  machine->free.gpus = type ? type->gpus : 0;
  machine->free.memory_gb = type ? type->memory_gb : 0;
}

/* Resets the fields that depend on the term: no heartbeat was answered and no order sent in this
 * term yet. */
static void
reset_agent (HrMachineAgent *agent)
{
  agent->last_heartbeat_at = agent->lease_renewed_at = 0;
  agent->response_missed_at = agent->unreachable_at = 0;
  agent->fencing_token = 0;
  agent->launch_answered_sequence = 0;
  agent->direct_calls_in_flight = 0;
  agent->unanswered_launch_token = 0;
  agent->has_urgent_orders = FALSE;
  g_array_set_size (agent->direct_launches, 0);
}

/* Discards the machine's state of an earlier term, since it is out of date. */
static void
reset_machine (HrCore *core, HrMachine *machine)
{
  reset_capacity (core, machine);
  reset_agent (&machine->agent);
  g_array_set_size (machine->plan.list, 0);
  machine->instance.requested_here = FALSE;
  machine->instance.preempted_at = 0;
  machine->is_draining = FALSE;
  machine->idle_since = core->now;
  machine->state = HR_MACHINE_GONE;
}

/* Empties the fleet. The fleet of an earlier term of this node is out of date, since other leaders
 * have returned machines meanwhile. Machines are added again when a record, a heartbeat or the
 * cloud's list names them. */
static void
reset_fleet (HrCore *core)
{
  for (guint i = 0; i < core->store.tables.machines->len; i++)
    reset_machine (core, core->store.tables.machines->pdata[i]);
  g_ptr_array_set_size (core->scaling.fleet, 0);
}

/* ---- 2. recorded tasks ---- */

/* Treats a machine that is known only from a record as up, until its worker sends a heartbeat or
 * the termination of its tasks is proven. */
static void
assume_up (HrCore *core, HrMachine *machine, guint64 incarnation)
{
  if (machine->state != HR_MACHINE_GONE)
    return;
  machine->state = HR_MACHINE_UP;
  machine->agent.incarnation = MAX (machine->agent.incarnation, incarnation);
  hr_fleet_add (core, machine);
}

/* Treats the task as bound to the machine that its record names, since nothing proves that it has
 * terminated there. */
static void
take_over_bound (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  const char *name = hr_intern_name (&core->store.tables.machine_ids, task->run->recorded.machine);
  HrMachine *machine = hr_machine_get (&core->store.tables, name);
  HrTaskRun *run = hr_task_edit_run (task);
  run->placement = run->recorded;
  task->state = HR_TASK_BOUND;
  task->from_earlier_term = 1;
  job->run.n_live++;
  hr_machine_allocate (machine, &job->spec, (HrTaskRef){job->index, task_index});
  assume_up (core, machine, task->run->recorded.incarnation);
}

/* If the job's task records are unreadable, the attempt numbers already used are unknown. As no
 * number may be used twice, numbering continues above those of all earlier terms. */
static void
skip_unreadable_attempts (const HrCore *core, const HrJob *job, HrTask *task)
{
  if (!job->record.tasks_unreadable)
    return;
  guint32 least = core->leadership.term_token * ATTEMPTS_PER_TERM;
  HrTaskRun *run = hr_task_edit_run (task);
  run->placement.attempt = MAX (run->placement.attempt, least);
}

/* Resets the task's latest attempt to the recorded one. */
static void
reset_task_run (const HrCore *core, HrTask *task)
{
  if (!hr_task_has_run (task))
    return;
  HrTaskRun *run = hr_task_edit_run (task);
  run->placement.attempt = run->recorded.attempt;
  run->running_since = run->stop_sent_at = 0;
  run->bound_since = core->now;
}

static void
take_over_task (HrCore *core, HrJob *job, guint32 task_index)
{
  HrTask *task = &job->tasks[task_index];
  task->write_in_flight = task->stop_wanted = 0;
  task->is_listed = task->has_reservation = task->goes_first = 0;
  task->reported_state = HR_NOT_REPORTED;
  task->state = HR_TASK_IDLE;
  reset_task_run (core, task);
  if (task->done_recorded) {
    task->state = HR_TASK_DONE;
    job->n_done++;
  } else if (task->run->recorded.machine == HR_NONE)
    skip_unreadable_attempts (core, job, task);
  else
    take_over_bound (core, job, task_index);
}

/* ---- 3. jobs ---- */

static void
reset_run (const HrCore *core, HrJob *job)
{
  job->run.n_live = job->n_done = 0;
  job->run.attempt_ending = FALSE;
  job->run.gang_incomplete_since = 0;
  job->run.failures = 0;
  job->plan.n_listed = 0;
  hr_starvation_ended (job);
  /* Where the machines of the tasks are unknown, new attempts wait until every lease that an
   * earlier leader may have renewed has expired; workers that send heartbeats to this leader are
   * ordered to stop tasks that are not recorded. */
  job->run.retry_at =
      job->record.tasks_unreadable
          ? core->leadership.term_began_at + core->policy.hold_s + hr_lease_duration_s (core)
          : 0;
}

/* Checks whether the gang's unfinished tasks are recorded inconsistently: only some of them on
 * machines, or in different attempts. */
static gboolean
has_mixed_attempts (const HrJob *job)
{
  const HrTask *first = &job->tasks[0];
  for (guint32 i = 1; i < job->n_tasks; i++) {
    const HrTask *task = &job->tasks[i];
    gboolean is_bound = task->state == HR_TASK_BOUND;
    if (task->state == HR_TASK_DONE)
      continue;
    if (is_bound != (first->state == HR_TASK_BOUND) ||
        (is_bound && task->run->recorded.attempt != first->run->recorded.attempt))
      return TRUE;
  }
  return FALSE;
}

static void
take_over_job (HrCore *core, HrJob *job)
{
  gboolean is_gang = job->spec.shape == HR_GANG;
  reset_run (core, job);
  for (guint32 i = 0; i < job->n_tasks; i++)
    take_over_task (core, job, i);
  gboolean is_mixed = is_gang && has_mixed_attempts (job);
  if (is_gang && job->n_done && job->state == HR_JOB_QUEUED)
    /* An earlier leader had recorded only some pages of a large gang's completion. */
    hr_gang_done (core, job, 0, TRUE);
  if (job->state == HR_JOB_CANCELLED)
    hr_job_cancelled (core, job);
  else if (is_mixed && job->run.n_live)
    hr_gang_end_attempt (core, job, 0); /* restart with a new attempt */
  if (job->n_done == job->n_tasks)
    hr_record_writer_mark (&core->store, job, 0);
}

/* ---- begin of a term ---- */

/* Logs the state in which this term begins. */
static void
log_term (const HrCore *core)
{
  guint jobs = core->store.tables.open_jobs->len, bound = 0, cancelled = 0;
  for (guint i = 0; i < jobs; i++) {
    const HrJob *job = open_job (core, i);
    guint n = job->tasks ? hr_job_bound_tasks (job) : 0;
    bound += n;
    cancelled += job->state == HR_JOB_CANCELLED ? n : 0;
  }
  g_message ("leads: token=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
             " reading_age=%.2f jobs=%u bound=%u cancelled_bound=%u",
             core->leadership.fencing_token, core->store.replica.applied_revision,
             core->now - core->store.replica.confirmed_at, jobs, bound, cancelled);
}

void
hr_failover_take_over (HrCore *core)
{
  reset_fleet (core);
  g_array_set_size (core->store.writer.dirty_pages, 0);
  hr_record_split_rescan (&core->store);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = open_job (core, i);
    if (job->tasks)
      take_over_job (core, job);
  }
  core->scheduling.plan_is_stale = TRUE;
  log_term (core);
}
