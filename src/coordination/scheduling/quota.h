/* Amounts of what the limits of teams are about: processors and accelerators. */
#pragma once
#include "protocol/jobspec.h"
#include <math.h>

/* An amount of what a team's limit is about. */
typedef struct {
  double cpus, gpus;
} HrQuota;

/* Of n tasks. */
static inline HrQuota
hr_quota_of (const HrJobSpec *spec, guint n)
{
  return (HrQuota){n * spec->cpus, n * spec->gpus};
}

static inline void
hr_quota_add (HrQuota *left, HrQuota right)
{
  left->cpus += right.cpus;
  left->gpus += right.gpus;
}

static inline void
hr_quota_subtract (HrQuota *left, HrQuota right)
{
  left->cpus -= right.cpus;
  left->gpus -= right.gpus;
}

/* Does b fit into a? */
static inline gboolean
hr_quota_covers (HrQuota left, HrQuota right)
{
  return right.cpus <= left.cpus + 1e-6 && right.gpus <= left.gpus + 1e-6;
}

/* The smaller one of each. */
static inline HrQuota
hr_quota_min (HrQuota left, HrQuota right)
{
  return (HrQuota){MIN (left.cpus, right.cpus), MIN (left.gpus, right.gpus)};
}

/* How many times it fits, at most n. */
static inline guint
hr_quota_multiples (HrQuota left, HrQuota one, guint n)
{
  double most = n;
  if (one.cpus > 0)
    most = MIN (most, floor ((left.cpus + 1e-6) / one.cpus));
  if (one.gpus > 0)
    most = MIN (most, floor ((left.gpus + 1e-6) / one.gpus));
  return most > 0 ? most : 0;
}
