#include "protocol/random_range.h"

double
hr_random_range (GRand *random, double lo, double hi)
{
  double share = g_rand_double (random);
  return share * hi - (share - 1) * lo;
}
