/* The free capacity of the fleet as the end of a dispatch pass sees it.
 *
 * dispatch.c takes the list once a pass, after everything that can start has started. Preemption
 * (preemption.c, guarantees.c) and scaling (coordination/scaling/) then assign capacity to what
 * still waits by subtracting it here, so nothing is counted twice. Nothing is written to the
 * machines themselves.
 */
#pragma once
#include "coordination/state.h"

/* The free capacity of one machine. */
typedef struct {
  HrMachine *machine;
  HrResources free;     /* once the tasks that are being stopped are gone */
  gboolean is_reserved; /* something was assigned to it in this pass: it isn't idle */
} HrFreeCapacity;

/* The free capacity of the whole fleet. */
typedef struct {
  HrFreeCapacity *machines; /* those that boot come first */
  guint n;
  guint n_booting;
} HrFleetCapacity;

/**
 * hr_fleet_capacity_init:
 * @fleet: (out caller-allocates): to be freed with hr_fleet_capacity_clear()
 *
 * Takes the free capacity of all machines of the fleet, that of tasks that are being stopped
 * included.
 */
void hr_fleet_capacity_init (HrFleetCapacity *fleet, HrCore *core);

/**
 * hr_fleet_capacity_clear:
 *
 * Frees the list, but not @fleet itself.
 */
void hr_fleet_capacity_clear (HrFleetCapacity *fleet);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrFleetCapacity, hr_fleet_capacity_clear)

/**
 * hr_free_capacity_take:
 *
 * Subtracts @need from what is free on the machine, if it fits.
 *
 * Returns: whether it fitted.
 */
gboolean hr_free_capacity_take (HrFreeCapacity *capacity, HrResources need);
