/* The fleet: the machines that are not gone, and what becomes of them.
 *
 * A machine joins the fleet when the cloud grants it, when the cloud's list shows it, or when its
 * agent reports. It leaves when that is proven: by the cloud's answer to a deletion. Only the
 * leader changes the fleet.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_fleet_add:
 * @machine: not in the fleet
 *
 * Adds the machine to the fleet. Its state is the caller's matter.
 */
void hr_fleet_add (HrCore *core, HrMachine *machine);

/**
 * hr_fleet_delete:
 * @why: for the log
 *
 * Lets the machine be returned to the cloud: it takes no more work from here on, and the call goes
 * out with the next tick. Does nothing where it is being deleted or is gone already.
 */
void hr_fleet_delete (HrCore *core, HrMachine *machine, const char *why);

/**
 * hr_machine_gone:
 * @why: the proof, for the log
 *
 * The machine is proven gone, and so are all its tasks: it leaves the fleet.
 */
void hr_machine_gone (HrCore *core, HrMachine *machine, const char *why);
