/* The table of tunables, used only by src/policy. */
#pragma once
#include "policy/policy.h"

/* Describes a tunable, and where HrPolicy holds its value. */
typedef struct {
  const char *name;
  double min, max; /* inclusive */
  gsize offset;    /* of its value in HrPolicy */
  const char *description;
} HrTunable;

/* All tunables, in the order of HR_POLICY_TUNABLES. */
extern const HrTunable hr_tunables[];
extern const gsize hr_n_tunables;

/**
 * hr_tunable_find:
 * @name: a name
 *
 * Returns: (transfer none) (nullable): the tunable of that name; %NULL if there is none
 */
const HrTunable *hr_tunable_find (const char *name);

/* Returns the address of the tunable's value in the policy. */
static inline double *
hr_tunable_value (const HrTunable *tunable, HrPolicy *policy)
{
  return G_STRUCT_MEMBER_P (policy, tunable->offset);
}
