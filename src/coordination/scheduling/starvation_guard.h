/* Limits how long arrays and gangs wait despite free capacity.
 *
 * Capacity is reserved for the next replicas of services (service_reservations.c), for tasks that
 * are due earlier on the same machine (dispatch.c), and for the jobs of a machine's own shard
 * (shards.c). In addition, no instance is requested for a task that is projected to start soon. If
 * its projected start is postponed from pass to pass, or if no list takes the job beside what is
 * reserved, it could wait indefinitely. A job starves once it has waited for a minute although
 *
 * - a task of it fits into free capacity now, whatever that is reserved for, or
 * - it is in no list, but would be if nothing were reserved for services.
 *
 * The next planning passes reserve capacity for it (starvation_reservations.h). Headroom for
 * replicas is then reserved elsewhere or requested again (scaling/headroom.c), and a replica that
 * arrives in the meantime preempts work of lower priority as usual (preemption.c).
 */
#pragma once
#include "coordination/state.h"

/* How long a job waits despite free capacity before it starves, s. */
#define HR_STARVATION_LIMIT_S 60.0

/**
 * hr_starvation_guard_tick:
 *
 * Finds the jobs that starve. Called in each dispatch pass after the starts from the plan, by a
 * leader that may record starts.
 */
void hr_starvation_guard_tick (HrCore *core);

/**
 * hr_starvation_ended:
 *
 * Ends the job's wait: if it waits again, its time counts anew.
 */
void hr_starvation_ended (HrJob *job);
