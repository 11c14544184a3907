/* How long tasks take: what the user estimated, corrected by what the class's tasks took, and the
 * fetch of the image. All in seconds. Read by the plan, by dispatch and by the code that judges
 * heartbeats; nothing is changed, but for statistics rows that are made when missing.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_estimate_run_time:
 * @machine: of a known type, or of none, which fetches nothing
 *
 * Returns: the expected run time of a task of the job on the machine, with the image fetch.
 */
double hr_estimate_run_time (HrCore *core, const HrJob *job, const HrMachine *machine);

/**
 * hr_estimate_longest_run_time:
 *
 * Returns: the expected run time where the image is fetched at the lowest rate of any machine type;
 * INFINITY for a service. The machine types have to be known.
 */
double hr_estimate_longest_run_time (HrCore *core, const HrJob *job);

/**
 * hr_estimate_running_end:
 * @task: a task of the job that is on the machine
 *
 * Returns: the steady time at which the task should end, never in the past; INFINITY for a service.
 */
double hr_estimate_running_end (HrCore *core, const HrJob *job, const HrTask *task,
                                const HrMachine *machine);

/**
 * hr_estimate_fetch_time:
 *
 * Returns: how long a task of the job waits on the machine for its image.
 */
double hr_estimate_fetch_time (const HrCore *core, const HrJob *job, const HrMachine *machine);
