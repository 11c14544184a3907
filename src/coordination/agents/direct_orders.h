/* Sends orders directly to a worker's address, ahead of its next heartbeat. Direct calls only save
 * time: if a call is not made, not answered or refused, the answer to the worker's next heartbeat
 * contains its orders. A launch whose answer is lost may still take effect, see
 * termination_proof.h. */
#pragma once
#include "coordination/state.h"

/**
 * hr_direct_orders_send:
 *
 * Calls the worker of each machine of the fleet that has urgent orders, one call at a time for each
 * machine. Does nothing if this controller does not lead or the policy disables direct calls.
 */
void hr_direct_orders_send (HrCore *core);
