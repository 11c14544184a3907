/* Limits how long batch tasks wait despite free capacity.
 *
 * Capacity is reserved for the next replicas of services (service_reservations.c), for tasks that
 * are due earlier on the same machine (dispatch.c), and for the jobs of a machine's own shard
 * (shards.c). In addition, no instance is requested for a task that is projected to start soon. If
 * its projected start is postponed from pass to pass, the task could wait indefinitely. After a
 * minute with free capacity that it fits into, a task gets that capacity, whatever it is reserved
 * for. Headroom for replicas is then reserved elsewhere or requested again (scaling/headroom.c),
 * and a replica that arrives in the meantime preempts batch tasks as usual (preemption.c).
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_starvation_guard_tick:
 *
 * Starts the tasks that have waited too long despite free capacity. Called in each dispatch pass
 * after the starts from the plan, by a leader that may record starts.
 */
void hr_starvation_guard_tick (HrCore *core);
