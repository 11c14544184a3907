/* Capacity reservations for services, whose replicas are not in the lists of the plan.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_reserve_for_waiting_replicas:
 *
 * Clears the reservations of the previous pass, sums up for each machine the capacity that services
 * use, and reserves capacity on booting machines for the replicas that wait. Called at the
 * beginning of a planning pass.
 */
void hr_reserve_for_waiting_replicas (HrCore *core);

/**
 * hr_reserve_headroom:
 *
 * Reserves capacity for the next replicas of each service class, preferably on machines with their
 * images. Tasks in lists are neither projected nor started on it. What starving jobs wait for
 * (starvation_reservations.h) is not reserved, so their reservations have to be made before.
 */
void hr_reserve_headroom (HrCore *core);
