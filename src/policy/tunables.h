/* The table of tunables, for the modules of this folder. */
#pragma once
#include "policy/policy.h"

typedef struct {
  const char *name;
  double min, max; /* both allowed */
  gsize offset;    /* of its value in HrPolicy */
  const char *description;
} HrTunable;

/* Every tunable once, in the order of HR_POLICY_TUNABLES. */
extern const HrTunable hr_tunables[];
extern const gsize hr_n_tunables;

/**
 * hr_tunable_find:
 * @name: a name
 *
 * Returns: (transfer none) (nullable): the tunable of that name
 */
const HrTunable *hr_tunable_find (const char *name);

/* Where the tunable's value is in the policy. */
static inline double *
hr_tunable_value (const HrTunable *tunable, HrPolicy *policy)
{
  return G_STRUCT_MEMBER_P (policy, tunable->offset);
}
