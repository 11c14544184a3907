/* Estimates of run times, in seconds: the user's estimate, corrected by the run times of earlier
 * tasks of the class, plus the image fetch. Used by the plan, by dispatch and by the code that
 * handles heartbeats. These functions change no state, except that they add missing entries to the
 * statistics of classes.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_estimate_run_time:
 * @machine: a machine; if its type is unknown, no image fetch is included
 *
 * Returns: the expected run time of a task of the job on the machine, including the image fetch.
 */
double hr_estimate_run_time (HrCore *core, const HrJob *job, const HrMachine *machine);

/**
 * hr_estimate_longest_run_time:
 *
 * Returns: the expected run time with an image fetch at the lowest rate of any machine type;
 * INFINITY for a service. The machine types must be known.
 */
double hr_estimate_longest_run_time (HrCore *core, const HrJob *job);

/**
 * hr_estimate_running_end:
 * @task: a task of the job that is on the machine
 *
 * Returns: the expected end of the task, in monotonic time, never in the past; INFINITY for a
 * service.
 */
double hr_estimate_running_end (HrCore *core, const HrJob *job, const HrTask *task,
                                const HrMachine *machine);

/**
 * hr_estimate_fetch_time:
 *
 * Returns: the expected time that a task of the job waits on the machine for its image; 0 if it is
 * cached there.
 */
double hr_estimate_fetch_time (const HrCore *core, const HrJob *job, const HrMachine *machine);
