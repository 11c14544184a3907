/* Amounts of what the limits of teams are about: processors and accelerators. */
#pragma once
#include "coordination/state.h"
#include <math.h>

/* Of n tasks. */
static inline HrAmount
hr_amount_of (const HrJobSpec *s, guint n)
{
  return (HrAmount){n * s->cpus, n * s->gpus};
}

static inline void
hr_amount_add (HrAmount *a, HrAmount b)
{
  a->cpus += b.cpus;
  a->gpus += b.gpus;
}

static inline void
hr_amount_take (HrAmount *a, HrAmount b)
{
  a->cpus -= b.cpus;
  a->gpus -= b.gpus;
}

/* Does b fit into a? */
static inline gboolean
hr_amount_holds (HrAmount a, HrAmount b)
{
  return b.cpus <= a.cpus + 1e-6 && b.gpus <= a.gpus + 1e-6;
}

/* The smaller one of each. */
static inline HrAmount
hr_amount_least (HrAmount a, HrAmount b)
{
  return (HrAmount){MIN (a.cpus, b.cpus), MIN (a.gpus, b.gpus)};
}

/* How many times it fits, at most n. */
static inline guint
hr_amount_times (HrAmount a, HrAmount one, guint n)
{
  double most = n;
  if (one.cpus > 0)
    most = MIN (most, floor ((a.cpus + 1e-6) / one.cpus));
  if (one.gpus > 0)
    most = MIN (most, floor ((a.gpus + 1e-6) / one.gpus));
  return most > 0 ? most : 0;
}
