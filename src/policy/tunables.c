#include "policy/tunables.h"

const HrTunable hr_tunables[] = {
#define X(name, min, max, description)                                                             \
  {#name, min, max, G_STRUCT_OFFSET (HrPolicy, name), description},
    HR_POLICY_TUNABLES (X)
#undef X
};

const gsize hr_n_tunables = G_N_ELEMENTS (hr_tunables);

const HrTunable *
hr_tunable_find (const char *name)
{
  for (gsize i = 0; i < hr_n_tunables; i++)
    if (g_str_equal (hr_tunables[i].name, name))
      return &hr_tunables[i];
  return NULL;
}
