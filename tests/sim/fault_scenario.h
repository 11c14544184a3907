/* Plays one simulated day on which planned faults overlap. */
#pragma once
#include "sim/cluster.h"

/* Settings of a day besides its faults; 0 or NULL selects the default. */
typedef struct {
  void (*users) (
      SimCluster *cluster); /* submits jobs; NULL: forty of all shapes within five minutes */
  double quota_gpus;        /* the limit of the only team */
  guint capacity;           /* machines that the cloud has; a third as many spot machines */
  guint started_cancelled;  /* allowed starts after a confirmed cancellation; 0: any number */
  double until;             /* end of the day; 0: 700, long enough for all work to end */
} FaultScenario;

/* Plays the day with this seed and three or five controllers. Every rule is asserted at every
 * event; at the end all work must be done and each fault must have had an effect. Prints the
 * violated rules and returns the number of violations. */
guint fault_scenario_play (guint32 seed, const FaultScenario *settings, const HrFault *day,
                           guint n);
