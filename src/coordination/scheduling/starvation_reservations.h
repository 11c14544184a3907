/* Reservations for starving jobs: jobs that have waited for too long beside free capacity, or that
 * no list takes because of what is reserved for services (starvation_guard.h decides which).
 *
 * The planning pass makes them anew each time, by priority, then by deadline, before the headroom
 * of services is reserved and before any other task is placed. A task with a reservation is listed
 * on its machine, so that the whole pass sees the same capacity: the headroom of services is
 * reserved beside it or requested from the cloud, the machine is not returned, and no instance is
 * requested for the task. There are two kinds:
 *
 * - A task that can start now, or belongs to a gang whose start is near, goes ahead of the deadline
 *   order of the list, and no job that comes after its own is started on that capacity.
 * - A job that no list takes gets its place by deadline, as if nothing were reserved for services.
 *
 * A gang that does not start soon loses its reservation of idle capacity and waits anew, so that
 * the next job gets its turn.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_reserve_for_starving_jobs:
 * @lists: (element-type HrMachine): the plannable machines, without reserved headroom
 *
 * Places tasks of starving jobs and reserves capacity for them.
 */
void hr_reserve_for_starving_jobs (HrCore *core, GPtrArray *lists);
