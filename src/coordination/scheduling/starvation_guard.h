/* A bound on how long array tasks wait beside free capacity.
 *
 * Capacity is reserved for the next replicas of services (service_reservations.c), for tasks that
 * are due earlier on the same machine (dispatch.c), and for the jobs of a machine's own shard
 * (shards.c). No instance is requested either for what is projected to start soon. Where such a
 * projection slips from pass to pass, a task could wait for ever. After a minute beside free
 * capacity that it fits into, a task gets that, whatever it is reserved for. Headroom for replicas
 * is then found or requested anew (scaling/headroom.c), and a replica that comes meanwhile preempts
 * batch work as before (preemption.c).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_starvation_guard_tick:
 *
 * Called in each dispatch pass once the plan's own starts are made, by a leader that may record
 * starts.
 */
void hr_starvation_guard_tick (HrCore *core);
