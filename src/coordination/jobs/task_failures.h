/* Failures of tasks: how long a job that fails waits for its next attempt, which machine it avoids,
 * and when a machine is held to be faulty. Leader only; kept in memory. */
#pragma once
#include "coordination/state.h"

/**
 * hr_task_failures_note_exit:
 * @job: the job of a task that has left the machine without being done
 * @machine: where it was
 * @cause: why; %HR_EXIT_NONE: it never started there, or its machine is gone
 *
 * Takes the exit into account: after a failure the job pauses before its next attempt, and the
 * machine is drained when jobs keep failing on it; after a refusal the machine is left alone for a
 * moment.
 */
void hr_task_failures_note_exit (HrCore *core, HrJob *job, HrMachine *machine, HrExitCause cause);

/**
 * hr_task_failures_note_success:
 * @job: the job of a task that is done
 * @machine: where it was
 *
 * Ends the failures in a row of both.
 */
void hr_task_failures_note_success (HrJob *job, HrMachine *machine);
