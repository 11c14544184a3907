/* Arithmetic on quotas of teams, which are amounts of processors and accelerators.
 * Pure functions; a member is INFINITY if it is not limited.
 */
#pragma once
#include "coordination/scheduling/resources.h"
#include "protocol/jobspec.h"
#include <math.h>

/* An amount of processors and accelerators. */
typedef struct {
  double cpus, gpus;
} HrQuota;

/**
 * hr_quota_unlimited:
 *
 * Returns: an amount that covers any other.
 */
static inline HrQuota
hr_quota_unlimited (void)
{
  return (HrQuota){INFINITY, INFINITY};
}

/**
 * hr_quota_of:
 *
 * Returns: the quota that @n tasks of a job use.
 */
static inline HrQuota
hr_quota_of (const HrJobSpec *spec, guint n)
{
  return (HrQuota){n * spec->cpus, n * spec->gpus};
}

/**
 * hr_quota_add:
 *
 * Adds @amount to @total.
 */
static inline void
hr_quota_add (HrQuota *total, HrQuota amount)
{
  total->cpus += amount.cpus;
  total->gpus += amount.gpus;
}

/**
 * hr_quota_subtract:
 *
 * Subtracts @amount from @total, which may become negative.
 */
static inline void
hr_quota_subtract (HrQuota *total, HrQuota amount)
{
  total->cpus -= amount.cpus;
  total->gpus -= amount.gpus;
}

/**
 * hr_quota_multiply:
 *
 * Returns: @n times @one.
 */
static inline HrQuota
hr_quota_multiply (HrQuota one, guint n)
{
  return (HrQuota){n * one.cpus, n * one.gpus};
}

/**
 * hr_quota_covers:
 *
 * Returns: whether @need fits into @available, up to %HR_RESOURCE_TOLERANCE.
 */
static inline gboolean
hr_quota_covers (HrQuota available, HrQuota need)
{
  return need.cpus <= available.cpus + HR_RESOURCE_TOLERANCE &&
         need.gpus <= available.gpus + HR_RESOURCE_TOLERANCE;
}

/**
 * hr_quota_min:
 *
 * Returns: the minimum of @left and @right, member by member.
 */
static inline HrQuota
hr_quota_min (HrQuota left, HrQuota right)
{
  return (HrQuota){MIN (left.cpus, right.cpus), MIN (left.gpus, right.gpus)};
}

/**
 * hr_quota_multiples:
 *
 * Returns: how many times @one fits into @available, at most @n.
 */
static inline guint
hr_quota_multiples (HrQuota available, HrQuota one, guint n)
{
  double most = n;
  if (one.cpus > 0)
    most = MIN (most, floor ((available.cpus + HR_RESOURCE_TOLERANCE) / one.cpus));
  if (one.gpus > 0)
    most = MIN (most, floor ((available.gpus + HR_RESOURCE_TOLERANCE) / one.gpus));
  return most > 0 ? most : 0;
}
