/* Arithmetic on amounts of a machine's capacity (HrResources): processors, accelerators and memory
 * in GB.
 *
 * Pure functions for scheduling and scaling. They are inline: a planning pass calls them for every
 * task and machine. Amounts are sums of many terms, so what is compared with a need is given a
 * tolerance; hr_resources_at_least() is the one exact comparison.
 */
#pragma once
#include "bookkeeping/tables.h"

/* What rounding may take off an amount that was added to and subtracted from many times. */
#define HR_RESOURCE_TOLERANCE 1e-6

/**
 * hr_resources_of_task:
 *
 * Returns: what one task of a job takes.
 */
static inline HrResources
hr_resources_of_task (const HrJobSpec *spec)
{
  return (HrResources){spec->cpus, spec->gpus, spec->memory_gb};
}

/**
 * hr_resources_of_type:
 *
 * Returns: the whole capacity of a machine of the type.
 */
static inline HrResources
hr_resources_of_type (const HrMachineType *type)
{
  return (HrResources){type->cpus, type->gpus, type->memory_gb};
}

/**
 * hr_resources_of_class:
 *
 * Returns: what a task of the class took lately.
 */
static inline HrResources
hr_resources_of_class (const HrClassStats *stats)
{
  return (HrResources){stats->cpus, stats->gpus, stats->memory_gb};
}

/**
 * hr_resources_add:
 *
 * Adds @amount to @total.
 */
static inline void
hr_resources_add (HrResources *total, HrResources amount)
{
  total->cpus += amount.cpus;
  total->gpus += amount.gpus;
  total->memory_gb += amount.memory_gb;
}

/**
 * hr_resources_subtract:
 *
 * Subtracts @amount from @total, which may become negative.
 */
static inline void
hr_resources_subtract (HrResources *total, HrResources amount)
{
  total->cpus -= amount.cpus;
  total->gpus -= amount.gpus;
  total->memory_gb -= amount.memory_gb;
}

/**
 * hr_resources_multiply:
 *
 * Returns: @n times @one.
 */
static inline HrResources
hr_resources_multiply (HrResources one, guint n)
{
  return (HrResources){n * one.cpus, n * one.gpus, n * one.memory_gb};
}

/**
 * hr_resources_cover:
 *
 * Returns: whether @need fits into @available, up to %HR_RESOURCE_TOLERANCE.
 */
static inline gboolean
hr_resources_cover (HrResources available, HrResources need)
{
  return need.cpus <= available.cpus + HR_RESOURCE_TOLERANCE &&
         need.gpus <= available.gpus + HR_RESOURCE_TOLERANCE &&
         need.memory_gb <= available.memory_gb + HR_RESOURCE_TOLERANCE;
}

/**
 * hr_resources_at_least:
 *
 * Returns: whether no member of @left is smaller than that of @right, without a tolerance.
 */
static inline gboolean
hr_resources_at_least (HrResources left, HrResources right)
{
  return left.cpus >= right.cpus && left.gpus >= right.gpus && left.memory_gb >= right.memory_gb;
}

/**
 * hr_machine_unused:
 *
 * Returns: what no task uses, neither one that is assigned to the machine nor one that the agent
 * reports and that should not be there.
 */
static inline HrResources
hr_machine_unused (const HrMachine *machine)
{
  HrResources unused = machine->free;
  hr_resources_subtract (&unused, machine->unrecognized);
  return unused;
}

/**
 * hr_machine_unreserved:
 *
 * Returns: what no task uses and what is not reserved for services either.
 */
static inline HrResources
hr_machine_unreserved (const HrMachine *machine)
{
  HrResources unreserved = hr_machine_unused (machine);
  hr_resources_subtract (&unreserved, machine->reserved);
  return unreserved;
}
