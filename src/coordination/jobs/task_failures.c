/* Failures of tasks: classification of exits, retry pauses, avoided and faulty machines. */
#include "coordination/jobs/task_failures.h"
#include <math.h>

/* Maximum number of doublings of the retry pause. */
#define MAX_DOUBLINGS 20
/* A job avoids a machine on which it failed for AVOID_PAUSES times its retry pause, but at least
 * for MIN_AVOID_S seconds. */
#define AVOID_PAUSES 2
#define MIN_AVOID_S 60
/* Time for which a machine that refused a task is offered no other, in seconds. */
#define REFUSAL_PAUSE_S 3

typedef enum {
  EXIT_CLASS_NEUTRAL, /* stopped, or ended because of other tasks: no failure is counted */
  EXIT_CLASS_FAILURE, /* the task or its machine is at fault */
  EXIT_CLASS_REFUSAL  /* the machine has no free capacity at present */
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

/* Returns the pause before the next attempt after `failures` failures in a row, in seconds. Usually
 * the machine is at fault, so the first retry, on another machine, follows immediately; further
 * failures double the pause. */
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
      core->now + MAX (MIN_AVOID_S, AVOID_PAUSES * job->run.retry_pause_s);
}

/* Counts a failure of the machine. Repeated failures of the same job count once, since they do not
 * indicate a faulty machine; failures of different jobs do. */
static void
note_machine_failure (HrCore *core, const HrJob *job, HrMachine *machine)
{
  if (machine->last_failed_job != job->index) {
    machine->last_failed_job = job->index;
    machine->failures++;
  }
  g_info ("job %s failed on machine %s (%s), %u failures in a row; next attempt in %.0f s", job->id,
          machine->name, hr_exit_name (job->run.last_failure), job->run.failures,
          job->run.retry_pause_s);
  if (machine->failures >= core->policy.error_limit && !machine->is_draining) {
    g_message (
        "machine %s is drained and returned: too many consecutive failures of different jobs",
        machine->name);
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
    machine->full_until = core->now + REFUSAL_PAUSE_S;
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
