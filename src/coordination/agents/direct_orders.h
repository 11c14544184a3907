/* Orders that go straight to a worker's address, ahead of its next report. They save time only: a
 * call that is not made, not answered or refused leaves its orders to the answer to the worker's
 * next report. A launch whose answer is lost may still take effect, see termination_proof.h. */
#pragma once
#include "coordination/state.h"

/**
 * hr_direct_orders_send:
 *
 * Calls each machine of the fleet that has urgent orders, one call at a time for each machine.
 * Does nothing where this controller does not lead, or the policy has no direct calls.
 */
void hr_direct_orders_send (HrCore *core);
