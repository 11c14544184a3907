/* The cloud's machine types: their capacity, price, boot time and zones.
 *
 * Read from the cloud now and then, by every controller. The leader saves a copy in the store, so
 * that a controller that starts while the cloud is down can decide. Types are named by interned
 * indices. The rows belong to this module and are replaced by the next answer: callers don't keep
 * them beyond a step.
 */
#pragma once
#include "coordination/state.h"

/**
 * hr_machine_types_tick:
 *
 * Asks the cloud for its machine types when that is due.
 */
void hr_machine_types_tick (HrCore *core);

/**
 * hr_machine_types_changed:
 * @value: (nullable): the copy in the store; %NULL where it was deleted
 * @revision: of that copy
 *
 * Takes note of the copy in the store. Its types are used where none are known yet.
 */
void hr_machine_types_changed (HrCore *core, const json_t *value, guint64 revision);

/**
 * hr_machine_type_find:
 * @name: the interned name
 *
 * Returns: (transfer none) (nullable): the machine type; %NULL: it is not known.
 */
const HrMachineType *hr_machine_type_find (const HrCore *core, guint32 name);

/**
 * hr_machine_type_of:
 *
 * Returns: (transfer none) (nullable): the machine's type; %NULL: it is not known.
 */
const HrMachineType *hr_machine_type_of (const HrCore *core, const HrMachine *machine);

/**
 * hr_longest_boot_s:
 *
 * Returns: the longest boot of any machine type, s. The types have to be known.
 */
double hr_longest_boot_s (const HrCore *core);
