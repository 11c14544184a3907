/* Failures of tasks: how long a failed job waits before its next attempt, which machine it avoids,
 * and when a machine is considered faulty. Leader only; kept in memory. */
#pragma once
#include "coordination/state.h"

/**
 * hr_task_failures_note_exit:
 * @job: the job of a task that has left the machine without being done
 * @machine: the machine on which it was
 * @cause: cause of the exit; %HR_EXIT_NONE: the task never started there, or its machine was
 * lost
 *
 * Records the exit. After a failure the job pauses before its next attempt, and the machine is
 * drained if jobs keep failing on it. After a refusal the machine is offered no task for a few
 * seconds.
 */
void hr_task_failures_note_exit (HrCore *core, HrJob *job, HrMachine *machine, HrExitCause cause);

/**
 * hr_task_failures_note_success:
 * @job: the job of a task that is done
 * @machine: the machine on which it was
 *
 * Resets the counts of consecutive failures of the job and the machine.
 */
void hr_task_failures_note_success (HrJob *job, HrMachine *machine);
