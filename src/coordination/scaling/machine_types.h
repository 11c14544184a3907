/* The cloud's machine types: their capacity, price, boot time and zones.
 *
 * Every controller reads them from the cloud periodically. The leader saves a copy in the store, so
 * that a controller that starts during an outage of the cloud can plan. Types are identified by
 * interned names. This module owns the HrMachineType structures and frees them on the next answer:
 * callers must not keep pointers to them from one event to the next.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_machine_types_tick:
 *
 * Requests the machine types from the cloud when a read is due. Every controller calls it on each
 * tick.
 */
void hr_machine_types_tick (HrCore *core);

/**
 * hr_machine_types_changed:
 * @value: (nullable): the copy in the store; %NULL if it was deleted
 * @revision: of that copy
 *
 * Handles a change of the copy in the store. Uses its types if none are known yet.
 */
void hr_machine_types_changed (HrCore *core, const json_t *value, guint64 revision);

/**
 * hr_machine_type_find:
 * @name: the interned name
 *
 * Returns: (transfer none) (nullable): the machine type; %NULL if it is not known.
 */
const HrMachineType *hr_machine_type_find (const HrCore *core, guint32 name);

/**
 * hr_machine_type_of:
 *
 * Returns: (transfer none) (nullable): the machine's type; %NULL if it is not known.
 */
const HrMachineType *hr_machine_type_of (const HrCore *core, const HrMachine *machine);

/**
 * hr_longest_boot_s:
 *
 * Returns: the longest boot time of any machine type, in seconds. The types must be known.
 */
double hr_longest_boot_s (const HrCore *core);
