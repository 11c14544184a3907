/* Placement constraints: which machines are suitable for a job's tasks, regardless of the capacity
 * that is free there.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_machine_is_plannable:
 *
 * Returns: whether the plan may include the machine: it is booting, or it is up and its worker sent
 * a heartbeat recently or the leader's term began recently; its type is known, and it is not being
 * drained.
 */
gboolean hr_machine_is_plannable (const HrCore *core, const HrMachine *machine);

/**
 * hr_machine_is_reachable:
 *
 * Returns: whether the machine is up and its worker sent this leader a heartbeat recently.
 */
gboolean hr_machine_is_reachable (const HrCore *core, const HrMachine *machine);

/**
 * hr_job_allows_machine:
 *
 * Returns: whether the machine is plannable, its type, capacity, zone, spot status and shard suit
 * the job, and the job did not just fail there. hr_job_allows_zone() checks the constraints that
 * depend on the job's other tasks.
 */
gboolean hr_job_allows_machine (const HrCore *core, const HrJob *job, const HrMachine *machine);

/**
 * hr_machine_fits_alongside_services:
 *
 * Returns: whether a task would fit on the machine, whose type is known, once all tasks but those
 * of services have ended.
 */
gboolean hr_machine_fits_alongside_services (const HrCore *core, const HrMachine *machine,
                                             const HrJobSpec *spec);

/**
 * hr_job_allows_zone:
 *
 * Returns: whether the machine's zone satisfies the job's constraint relative to its placed tasks:
 * all tasks in one zone, or at most half of them (rounded up) in any zone.
 */
gboolean hr_job_allows_zone (const HrCore *core, const HrJob *job, const HrMachine *machine);
