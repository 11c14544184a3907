/* The fleet: all machines whose deletion is not confirmed.
 *
 * A machine joins the fleet when the cloud grants it, when the cloud's list of instances shows it,
 * when its worker sends a heartbeat, or when a new leader takes over task records that name it
 * (jobs/failover.c). It leaves only when the cloud confirms its deletion, or when a new leader
 * empties the fleet. Only the leader changes the fleet.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_fleet_add:
 * @machine: not in the fleet
 *
 * Adds the machine to the fleet. The caller sets its state.
 */
void hr_fleet_add (HrCore *core, HrMachine *machine);

/**
 * hr_fleet_request_deletion:
 * @why: the reason, for the log
 *
 * Marks the machine for deletion at the cloud: it is assigned no more tasks, and the deletion
 * request is sent at the next tick (instance_deletions.h). The machine stays in the fleet until the
 * cloud confirms the deletion. Does nothing if the machine is being deleted or has been.
 */
void hr_fleet_request_deletion (HrCore *core, HrMachine *machine, const char *why);

/**
 * hr_fleet_remove:
 * @why: the proof of deletion, for the log
 *
 * Removes a machine whose deletion is proven from the fleet. This also proves that none of its
 * tasks runs any more.
 */
void hr_fleet_remove (HrCore *core, HrMachine *machine, const char *why);
