/* Deleting instances at the cloud.
 *
 * Machines in the state HR_MACHINE_DELETING are named in calls, many in each, until a call is
 * answered with 200: that is proof that nothing runs there any more.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_instance_deletions_send:
 *
 * Sends what can be sent of the deletions that are due, within the allowance for calls to the
 * cloud. Called with each tick of a leader.
 */
void hr_instance_deletions_send (HrCore *core);
