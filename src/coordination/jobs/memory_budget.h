/* The memory budget for unfinished jobs. Every controller holds all of them, so a controller
 * accepts a job only if it fits the budget together with those that it knows, those that it is
 * accepting, and as much again for each other controller: they decide at the same time, and do not
 * know of each other's submissions before these are in the store. */
#pragma once
#include "coordination/core.h"
#include <glib.h>

/**
 * HrMemoryReservation:
 * @budget_bytes: (nullable): the sum of all reservations of the controller; %NULL: none is made
 * @bytes: memory reserved, in bytes
 *
 * Memory for a job whose first record is being written.
 */
typedef struct {
  gsize *budget_bytes;
  gsize bytes;
} HrMemoryReservation;

/**
 * hr_memory_budget_bytes:
 * @core: the controller
 *
 * Returns: the memory that unfinished jobs may use, in bytes; 0: the settings name no limit
 */
gsize hr_memory_budget_bytes (const HrCore *core);

/**
 * hr_memory_budget_allows:
 * @core: the controller
 * @bytes: memory of a new job, as by hr_job_bytes()
 *
 * Returns: whether the job fits the budget
 */
gboolean hr_memory_budget_allows (const HrCore *core, gsize bytes);

/**
 * hr_memory_reserve:
 * @core: the controller, which must outlive the reservation
 * @reservation: (out): a zeroed reservation
 * @bytes: memory of the new job, in bytes
 *
 * Reserves memory for a job until hr_memory_reservation_release().
 */
void hr_memory_reserve (HrCore *core, HrMemoryReservation *reservation, gsize bytes);

/**
 * hr_memory_reservation_release:
 * @reservation: a reservation, or a zeroed one
 *
 * Ends the reservation.
 */
void hr_memory_reservation_release (HrMemoryReservation *reservation);
