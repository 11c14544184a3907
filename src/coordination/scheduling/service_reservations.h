/* Capacity reservations for services, whose replicas are not in the lists of the plan.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_reserve_for_services:
 *
 * Sets for each machine the capacity that services use and the capacity that is reserved for them.
 * Capacity for waiting replicas is reserved on booting machines, and capacity for the next arrivals
 * (headroom) preferably on machines with their images. Tasks in lists are neither projected nor
 * started on reserved capacity. Called at the beginning of a planning pass.
 */
void hr_reserve_for_services (HrCore *core);
