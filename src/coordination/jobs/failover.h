/* Failover: what a new leader takes over. It begins from the state store alone: what an earlier
 * term knew beyond the records, its own included, is out of date. A task may be on the machine that
 * its record names until its absence is proven (agents/termination_proof.c). */
#pragma once
#include "coordination/state.h"

/**
 * hr_failover_take_over:
 * @core: the controller, which has become the leader, and whose replica is up to date
 *
 * Begins a term: forgets machines and the fleet, then takes over the recorded tasks of each open
 * job, which puts the machines that they name back into the fleet. Before any heartbeat is
 * answered.
 */
void hr_failover_take_over (HrCore *core);
