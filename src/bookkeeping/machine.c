#include "bookkeeping/machine.h"
#include "protocol/intern.h"
#include <string.h>

/* Tolerance for rounding errors in sums of capacities. */
#define CAPACITY_TOLERANCE 1e-6

gboolean
hr_machine_has_image (const HrMachine *machine, guint32 image)
{
  for (guint i = 0; i < machine->n_images; i++)
    if (machine->images[i] == image)
      return TRUE;
  return FALSE;
}

void
hr_machine_touch_image (HrMachine *machine, guint32 image)
{
  guint i;
  for (i = 0; i < machine->n_images; i++)
    if (machine->images[i] == image)
      break;
  if (i == machine->n_images) {
    if (machine->n_images < G_N_ELEMENTS (machine->images))
      machine->n_images++;
    else
      i--;
  }
  memmove (machine->images + 1, machine->images, i * sizeof machine->images[0]);
  machine->images[0] = image;
}

void
hr_machine_remove_image (HrMachine *machine, guint32 image)
{
  guint n = 0;
  for (guint i = 0; i < machine->n_images; i++)
    if (machine->images[i] != image)
      machine->images[n++] = machine->images[i];
  machine->n_images = n;
}

void
hr_machine_set_type (HrMachine *machine, const HrMachineType *type, guint32 zone, gboolean spot)
{
  if (machine->type != HR_NONE)
    return;
  machine->type = type->type;
  machine->zone = zone;
  machine->is_spot = spot;
  machine->free.cpus += type->cpus;
  machine->free.gpus += type->gpus;
  machine->free.memory_gb += type->memory_gb;
}

gboolean
hr_machine_has_unreserved (const HrMachine *machine, double cpus, double gpus, double memory_gb)
{
  return cpus <= machine->free.cpus - machine->unrecognized.cpus - machine->reserved.cpus +
                     CAPACITY_TOLERANCE &&
         gpus <= machine->free.gpus - machine->unrecognized.gpus - machine->reserved.gpus +
                     CAPACITY_TOLERANCE &&
         memory_gb <= machine->free.memory_gb - machine->unrecognized.memory_gb -
                          machine->reserved.memory_gb + CAPACITY_TOLERANCE;
}

gboolean
hr_machine_fits_unreserved (const HrMachine *machine, const HrJobSpec *spec)
{
  return hr_machine_has_unreserved (machine, spec->cpus, spec->gpus, spec->memory_gb);
}

void
hr_machine_allocate (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref)
{
  g_array_append_val (machine->tasks, ref);
  machine->free.cpus -= spec->cpus;
  machine->free.gpus -= spec->gpus;
  machine->free.memory_gb -= spec->memory_gb;
  machine->idle_since = 0;
}

void
hr_machine_release (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const HrTaskRef *placed = &g_array_index (machine->tasks, HrTaskRef, i);
    if (placed->job == ref.job && placed->task == ref.task) {
      g_array_remove_index_fast (machine->tasks, i);
      machine->free.cpus += spec->cpus;
      machine->free.gpus += spec->gpus;
      machine->free.memory_gb += spec->memory_gb;
      return;
    }
  }
}

void
hr_machine_free (HrMachine *machine)
{
  g_free (machine->address);
  g_array_unref (machine->tasks);
  g_array_unref (machine->agent.direct_launches);
  g_array_unref (machine->plan.list);
  g_free (machine);
}
