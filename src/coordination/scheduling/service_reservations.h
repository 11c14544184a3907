/* Reservations for services, which stand in no list of the plan.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_reserve_for_services:
 *
 * Sets on each machine what services use there and what is reserved for them: for replicas that
 * wait for a boot, on the machines that come up next, and for the next arrivals (headroom), where
 * their images are. Lists are projected, and started, without that capacity. Called at the
 * beginning of a planning pass.
 */
void hr_reserve_for_services (HrCore *core);
