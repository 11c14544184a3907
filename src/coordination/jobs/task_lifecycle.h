/* The life cycle of a task on the leader. Each transition is made by exactly one function, listed
 * below. The exception is failover.c, which initializes the states from the records when a term
 * begins.
 *
 *   from        to          function            when
 *   IDLE        ASSIGNING   hr_task_assign      the scheduler chose a machine; to be recorded
 *   ASSIGNING   BOUND       hr_task_bound       the assignment is recorded; may be launched
 *   ASSIGNING   IDLE        hr_task_unassign    dropped before it was recorded; nothing was sent
 *   BOUND       IDLE        hr_task_terminated  proven absent from its machine, and not done
 *   BOUND       DONE        hr_task_done        its worker reported it done; to be recorded
 *   IDLE        DONE        hr_gang_done        another task of its gang is done
 *
 * A stop (hr_task_stop) is a request, not a state: the task stays BOUND and keeps its capacity
 * until its termination is proven. A task holds capacity of its machine while ASSIGNING or BOUND. A
 * release is not recorded; the record keeps the old assignment until the next one replaces it. */
#pragma once
#include "coordination/state.h"

/**
 * hr_task_assign:
 * @task_index: index of an idle task
 * @machine: the machine on which it is to run
 * @attempt: attempt number; must differ from all earlier attempts of the task on that machine
 *
 * Allocates capacity of the machine for the task, and marks the assignment to be recorded.
 */
void hr_task_assign (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine,
                     guint32 attempt);

/**
 * hr_task_bound:
 * @task_index: index of an assigning task whose assignment has just been recorded
 *
 * Binds the task. It is launched with the next orders, unless its machine was lost or its gang was
 * done meanwhile.
 */
void hr_task_bound (HrCore *core, HrJob *job, guint32 task_index);

/**
 * hr_task_unassign:
 * @task_index: index of an assigning task that is not part of a write in flight
 *
 * Drops the assignment and releases the capacity allocated for it.
 */
void hr_task_unassign (HrCore *core, HrJob *job, guint32 task_index);

/**
 * hr_task_terminated:
 * @cause: why it ended; %HR_EXIT_NONE: not known, or it never started
 * @proof: evidence of its termination, for the log
 *
 * Releases a task that is proven absent from its machine and is not done. It is placed again; a
 * gang may need a new attempt. Does nothing unless the task is bound.
 */
void hr_task_terminated (HrCore *core, HrJob *job, guint32 task_index, HrExitCause cause,
                         const char *proof);

/**
 * hr_task_done:
 *
 * Marks a task as done, as its worker has reported; if the job is a gang, all its tasks of that
 * attempt are done with it. Does nothing unless the task is bound.
 */
void hr_task_done (HrCore *core, HrJob *job, guint32 task_index);

/**
 * hr_task_stop:
 * @grace_s: time that the task has to save its state, in seconds
 *
 * Requests that a bound task is stopped. A repeated stop can only shorten the grace time.
 */
void hr_task_stop (HrCore *core, HrJob *job, guint32 task_index, double grace_s);

/**
 * hr_task_cancel:
 * @grace_s: time that the task has to save its state, in seconds
 *
 * Removes the task from its machine: an assignment that is not recorded yet is dropped, a bound
 * task is stopped. A task whose assignment is being written is not changed: it is not launched
 * while its job is cancelled or its attempt is ending, and is released once its absence is proven.
 */
void hr_task_cancel (HrCore *core, HrJob *job, guint32 task_index, double grace_s);

/**
 * hr_job_cancelled:
 * @job: a job with its tasks, which is cancelled by its record or according to a peer
 *
 * Stops all its tasks. Leader only.
 */
void hr_job_cancelled (HrCore *core, HrJob *job);

/**
 * hr_job_next_attempt:
 *
 * Returns: an attempt number that no task of the job has used.
 */
guint32 hr_job_next_attempt (const HrJob *job);

/**
 * hr_job_bound_tasks:
 * @job: a job with its tasks
 *
 * Returns: the number of its tasks that are bound.
 */
guint hr_job_bound_tasks (const HrJob *job);
