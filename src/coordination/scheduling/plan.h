/* The parts of the plan: projection of a list (projection.c), MT-EDF (mtedf.c), tabu search
 * (tabu.c), room kept for services (service_reservations.c). */
#pragma once
#include "coordination/state.h"

/* How a list, or a change to it, is judged: late count, then tardiness. */
typedef struct {
  guint late;
  double tardiness;
} HrListScore;
