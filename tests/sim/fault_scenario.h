/* Plays one simulated day (a simulated run from one seed) on which planned faults overlap. */
#pragma once
#include "sim/cluster.h"

/* Settings of a day besides its faults; 0 or NULL selects the default. */
typedef struct {
  /* Submits the jobs; NULL: users submit forty jobs of all shapes in the first five minutes. */
  void (*users) (SimCluster *cluster);
  double quota_gpus;       /* GPU quota of the only team; 0: no limit */
  guint capacity;          /* machines that the cloud offers, plus a third as many spot machines */
  guint started_cancelled; /* most task starts after a confirmed cancellation; 0: no limit */
  double until;            /* end of the day, in seconds; 0: 700, enough for all work to end */
} FaultScenario;

/* Plays the day with this seed; the seed also selects three or five controllers. Every rule is
 * asserted at every event; at the end all work must be done and each fault must have had an effect.
 * Prints the violated rules and returns the number of violations. */
guint fault_scenario_play (guint32 seed, const FaultScenario *settings, const HrFault *day,
                           guint n);
