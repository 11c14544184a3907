/* Failover: initializes the state of a new leader's term. The leader starts from the replica of the
 * state store alone: anything else that a leader knew in an earlier term, including this node's own
 * terms, is out of date. A task is assumed to be on the machine that its record names until its
 * termination is proven (agents/termination_proof.c). */
#pragma once
#include "coordination/state.h"

/**
 * hr_failover_take_over:
 * @core: the controller, which has just become the leader and whose replica is up to date
 *
 * Begins a term: empties the fleet and resets all machines, then takes over the recorded tasks of
 * each open job, which adds the machines that the records name to the fleet. Must be called before
 * any heartbeat of the term is answered.
 */
void hr_failover_take_over (HrCore *core);
