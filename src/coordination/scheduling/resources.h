/* Arithmetic on amounts of a machine's capacity (HrResources): processors, accelerators and memory
 * in GB.
 *
 * Pure functions for scheduling and scaling. They are inline because a planning pass calls them for
 * every task and machine. Amounts are sums of many terms, so comparisons have a tolerance;
 * hr_resources_at_least() is the only exact one.
 */
#pragma once
#include "bookkeeping/tables.h"

/* Tolerance for rounding errors in an amount after many additions and subtractions. */
#define HR_RESOURCE_TOLERANCE 1e-6

/**
 * hr_resources_of_task:
 *
 * Returns: the resources of one task of a job.
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
 * Returns: the resources of recent tasks of the class.
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
 * Returns: whether every member of @left is at least that of @right, without a tolerance.
 */
static inline gboolean
hr_resources_at_least (HrResources left, HrResources right)
{
  return left.cpus >= right.cpus && left.gpus >= right.gpus && left.memory_gb >= right.memory_gb;
}

/**
 * hr_machine_unused:
 *
 * Returns: the capacity that is used neither by tasks that are assigned to the machine nor by
 * unrecognized tasks, which the worker reports although they should not be there.
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
 * Returns: the unused capacity that is not reserved for services.
 */
static inline HrResources
hr_machine_unreserved (const HrMachine *machine)
{
  HrResources unreserved = hr_machine_unused (machine);
  hr_resources_subtract (&unreserved, machine->reserved);
  return unreserved;
}
