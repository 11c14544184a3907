/* Failures of tasks: classes of exits, pauses, avoided and faulty machines. */
#include "coordination/jobs/task_failures.h"
#include <math.h>

/* Doublings of the pause, at most. */
#define MAX_DOUBLINGS 20
/* A machine where a job failed is avoided for so many of the job's pauses, and at least so long. */
#define AVOID_PAUSES 2
#define AVOID_LEAST_S 60
/* A machine that refused a task is offered none for so long, s. */
#define FULL_PAUSE_S 3

typedef enum {
  EXIT_CLASS_NEUTRAL, /* stopped, or ended by what befell others: nothing is held against anyone */
  EXIT_CLASS_FAILURE, /* the task or its machine is at fault */
  EXIT_CLASS_REFUSAL  /* the machine has no capacity, or not yet */
} ExitClass;

static ExitClass
classify_exit (HrExitCause cause)
{
  switch (cause) {
  case HR_EXIT_ERROR:
  case HR_EXIT_UNKNOWN:
    return EXIT_CLASS_FAILURE;
  case HR_EXIT_FULL:
  case HR_EXIT_IN_USE:
    return EXIT_CLASS_REFUSAL;
  default:
    return EXIT_CLASS_NEUTRAL;
  }
}

/* The pause after so many failures in a row, s. Mostly the machine is at fault, so the first try
 * elsewhere is at once; a job that keeps failing waits longer and longer. */
static double
retry_pause (const HrPolicy *policy, guint failures)
{
  if (failures < 2)
    return 0;
  return MIN (policy->retry_most_s, policy->retry_s * pow (2, MIN (failures - 2, MAX_DOUBLINGS)));
}

static void
note_job_failure (HrCore *core, HrJob *job, const HrMachine *machine, HrExitCause cause)
{
  job->run.last_failure = cause;
  job->run.failed_machine = machine->index;
  job->run.failures++;
  job->run.retry_pause_s = retry_pause (&core->policy, job->run.failures);
  job->run.retry_at = core->now + job->run.retry_pause_s;
  job->run.failed_machine_avoided_until =
      core->now + MAX (AVOID_LEAST_S, AVOID_PAUSES * job->run.retry_pause_s);
}

/* One job that keeps failing says nothing about a machine; failures of different jobs do. */
static void
note_machine_failure (HrCore *core, const HrJob *job, HrMachine *machine)
{
  if (machine->last_failed_job != job->index) {
    machine->last_failed_job = job->index;
    machine->failures++;
  }
  g_info ("%s failed on %s (%s), %u in a row; next try in %.0f s", job->id, machine->name,
          hr_exit_name (job->run.last_failure), job->run.failures, job->run.retry_pause_s);
  if (machine->failures >= core->policy.error_limit && !machine->is_draining) {
    g_message ("%s fails task after task; it is drained and returned", machine->name);
    machine->is_draining = TRUE;
  }
}

void
hr_task_failures_note_exit (HrCore *core, HrJob *job, HrMachine *machine, HrExitCause cause)
{
  switch (classify_exit (cause)) {
  case EXIT_CLASS_NEUTRAL:
    break;
  case EXIT_CLASS_FAILURE:
    note_job_failure (core, job, machine, cause);
    note_machine_failure (core, job, machine);
    break;
  case EXIT_CLASS_REFUSAL:
    machine->full_until = core->now + FULL_PAUSE_S;
    job->run.last_failure = cause;
    break;
  }
}

void
hr_task_failures_note_success (HrJob *job, HrMachine *machine)
{
  machine->failures = 0;
  machine->last_failed_job = HR_NONE;
  job->run.failures = 0;
}
