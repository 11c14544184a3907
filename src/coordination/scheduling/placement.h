/* On which machines a job's tasks may be placed at all, whatever is free there.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_machine_is_plannable:
 *
 * Returns: whether the plan may count on the machine: it boots or was heard of lately, its type is
 * known, and it is not being drained.
 */
gboolean hr_machine_is_plannable (const HrCore *core, const HrMachine *machine);

/**
 * hr_machine_is_reachable:
 *
 * Returns: whether the machine is up and its agent was heard of lately.
 */
gboolean hr_machine_is_reachable (const HrCore *core, const HrMachine *machine);

/**
 * hr_job_allows_machine:
 *
 * Returns: whether type, size, zone and kind (spot) of the machine and its shard suit the job, and
 * the job did not just fail there. Where the job's other tasks are is hr_job_allows_zone().
 */
gboolean hr_job_allows_machine (const HrCore *core, const HrJob *job, const HrMachine *machine);

/**
 * hr_job_allows_zone:
 *
 * Returns: whether the machine's zone suits the job, given where its other tasks are: all in one
 * zone, or spread over zones, where the job asks for that.
 */
gboolean hr_job_allows_zone (const HrCore *core, const HrJob *job, const HrMachine *machine);
