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
hr_quota_of (const HrJobSpec *s, guint n)
{
  return (HrQuota){n * s->cpus, n * s->gpus};
}

static inline void
hr_quota_add (HrQuota *a, HrQuota b)
{
  a->cpus += b.cpus;
  a->gpus += b.gpus;
}

static inline void
hr_quota_subtract (HrQuota *a, HrQuota b)
{
  a->cpus -= b.cpus;
  a->gpus -= b.gpus;
}

/* Does b fit into a? */
static inline gboolean
hr_quota_covers (HrQuota a, HrQuota b)
{
  return b.cpus <= a.cpus + 1e-6 && b.gpus <= a.gpus + 1e-6;
}

/* The smaller one of each. */
static inline HrQuota
hr_quota_min (HrQuota a, HrQuota b)
{
  return (HrQuota){MIN (a.cpus, b.cpus), MIN (a.gpus, b.gpus)};
}

/* How many times it fits, at most n. */
static inline guint
hr_quota_multiples (HrQuota a, HrQuota one, guint n)
{
  double most = n;
  if (one.cpus > 0)
    most = MIN (most, floor ((a.cpus + 1e-6) / one.cpus));
  if (one.gpus > 0)
    most = MIN (most, floor ((a.gpus + 1e-6) / one.gpus));
  return most > 0 ? most : 0;
}
