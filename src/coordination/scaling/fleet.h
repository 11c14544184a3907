#pragma once
#include "coordination/state.h"

void hr_fleet_add (HrCore *core, HrMachine *machine);
void hr_fleet_tick (HrCore *core);
void hr_fleet_delete (HrCore *core, HrMachine *machine, const char *why);
void hr_machine_gone (HrCore *core, HrMachine *machine, const char *why);
gboolean hr_machine_types_load (HrCore *core, const json_t *object);

/* What the cloud says of the machine's type; NULL: not known. */
const HrMachineType *hr_machine_type_of (const HrCore *core, const HrMachine *machine);
const HrMachineType *hr_machine_type_find (const HrCore *core, guint32 name);
/* The copy of the machine types in the store was read. value: NULL where it was deleted. */
void hr_machine_types_changed (HrCore *core, const json_t *value, guint64 revision);
/* The longest boot of any machine type, s. The machine types have to be known. */
double hr_longest_boot_s (const HrCore *core);
