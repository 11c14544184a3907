/* The life cycle of a task, at the leader. Each function below is one transition, and the only
 * place that makes it (but for failover.c, which begins a term with the states that records show):
 *
 *   from        to          function          when
 *   IDLE        ASSIGNING   hr_task_assign    the scheduler has chosen a machine; to be recorded
 *   ASSIGNING   BOUND       hr_task_bound     the assignment is recorded; it may be launched
 *   ASSIGNING   IDLE        hr_task_unassign  given up before it was recorded; nothing was sent
 *   BOUND       IDLE        hr_task_gone      proven to be on its machine no more, and not done
 *   BOUND       DONE        hr_task_done      its worker said done; to be recorded
 *   IDLE        DONE        hr_gang_done      another task of its gang is done
 *
 * A stop (hr_task_stop) is a wish, not a state: the task stays BOUND, with its capacity taken,
 * until it is proven gone. A task takes capacity of its machine while ASSIGNING or BOUND. A release
 * is not recorded; the next assignment replaces it in the record. */
#pragma once
#include "coordination/state.h"

/**
 * hr_task_assign:
 * @task_index: of an idle task
 * @machine: where it is to run
 * @attempt: its number; no earlier attempt of the task on that machine may have had it
 *
 * Takes the machine's capacity for the task, and has the assignment recorded.
 */
void hr_task_assign (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine,
                     guint32 attempt);

/**
 * hr_task_bound:
 * @task_index: of a task that is being assigned
 *
 * The assignment is recorded. The task is launched with the next orders, unless that has become
 * pointless meanwhile.
 */
void hr_task_bound (HrCore *core, HrJob *job, guint32 task_index);

/**
 * hr_task_unassign:
 * @task_index: of a task that is being assigned and not part of a write under way
 *
 * Gives the assignment up.
 */
void hr_task_unassign (HrCore *core, HrJob *job, guint32 task_index);

/**
 * hr_task_gone:
 * @cause: why it ended; %HR_EXIT_NONE: not known, or it never started
 * @proof: what shows that it is gone, for the log
 *
 * The task is proven to be on its machine no more, and not done. It is placed anew; a gang may have
 * to begin a new attempt. Does nothing unless the task is bound.
 */
void hr_task_gone (HrCore *core, HrJob *job, guint32 task_index, HrExitCause cause,
                   const char *proof);

/**
 * hr_task_done:
 *
 * The task's worker said that it is done, and with it all of a gang. Does nothing unless the task
 * is bound.
 */
void hr_task_done (HrCore *core, HrJob *job, guint32 task_index);

/**
 * hr_task_stop:
 * @grace_s: how long it may take to save
 *
 * Has a bound task stopped. A stop that is under way is only ever made shorter.
 */
void hr_task_stop (HrCore *core, HrJob *job, guint32 task_index, double grace_s);

/**
 * hr_task_cancel:
 * @grace_s: how long it may take to save
 *
 * Takes the task from its machine by whatever its state asks for: an assignment that is not
 * recorded yet is given up, a bound task is stopped. One whose assignment is being written is left
 * alone: it is not launched while its job is cancelled or its attempt is ending, and goes when its
 * absence is proven.
 */
void hr_task_cancel (HrCore *core, HrJob *job, guint32 task_index, double grace_s);

/**
 * hr_job_cancelled:
 * @job: a job with its tasks, which is cancelled by its record, or as a peer says
 *
 * Stops all its tasks. Leader only.
 */
void hr_job_cancelled (HrCore *core, HrJob *job);

/**
 * hr_job_next_attempt:
 *
 * Returns: an attempt number that no task of the job has had.
 */
guint32 hr_job_next_attempt (const HrJob *job);

/**
 * hr_job_bound_tasks:
 * @job: a job with its tasks
 *
 * Returns: how many of them are recorded on machines.
 */
guint hr_job_bound_tasks (const HrJob *job);
