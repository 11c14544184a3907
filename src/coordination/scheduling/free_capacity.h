/* A snapshot of the free capacity of the fleet, for the end of a dispatch pass.
 *
 * dispatch.c takes the snapshot once per pass, after every task that can start has started.
 * Preemption (preemption.c, guarantees.c) and scaling (coordination/scaling/) then allocate
 * capacity to the tasks that still wait by subtracting it from the snapshot, so that no capacity is
 * counted twice. The machines themselves are not changed.
 */
#pragma once
#include "coordination/state.h"

/* The free capacity of one machine. */
typedef struct {
  HrMachine *machine;
  HrResources free;     /* after the tasks that are being stopped have ended */
  gboolean is_reserved; /* capacity was allocated in this pass: the machine is not idle */
} HrFreeCapacity;

/* The free capacity of the whole fleet. */
typedef struct {
  HrFreeCapacity *machines; /* booting machines first */
  guint n;
  guint n_booting;
} HrFleetCapacity;

/**
 * hr_fleet_capacity_init:
 * @fleet: (out caller-allocates): to be freed with hr_fleet_capacity_clear()
 *
 * Takes a snapshot of the free capacity of all machines of the fleet, including the capacity of
 * tasks that are being stopped.
 */
void hr_fleet_capacity_init (HrFleetCapacity *fleet, HrCore *core);

/**
 * hr_fleet_capacity_take_reservations:
 *
 * Subtracts the capacity that is reserved on machines that are up for listed tasks of starving jobs
 * (starvation_reservations.h).
 */
void hr_fleet_capacity_take_reservations (HrFleetCapacity *fleet, HrCore *core);

/**
 * hr_fleet_capacity_clear:
 *
 * Frees the members of @fleet, but not @fleet itself.
 */
void hr_fleet_capacity_clear (HrFleetCapacity *fleet);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrFleetCapacity, hr_fleet_capacity_clear)

/**
 * hr_free_capacity_take:
 *
 * Subtracts @need from the free capacity of the machine if it fits.
 *
 * Returns: whether it fitted.
 */
gboolean hr_free_capacity_take (HrFreeCapacity *capacity, HrResources need);
