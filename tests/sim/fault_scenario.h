/* One day on which troubles meet. */
#pragma once
#include "sim/cluster.h"

/* What a day has beside its troubles; whatever is 0 or NULL is as always. */
typedef struct {
  void (*users) (
      SimCluster *cluster); /* their jobs; NULL: forty of all shapes within five minutes */
  double quota_gpus;        /* the limit of the only team */
  guint capacity;           /* machines that the cloud has; a third as many spot machines */
  guint started_cancelled;  /* starts after a confirmed cancellation: more are a fault; 0: any */
  double until;             /* the day's end; 0: 700, long enough for all work to end */
} FaultScenario;

/* Plays the day with this seed: three controllers, or five. Every rule is asserted at every event;
 * in the end all work is done, and each trouble took effect on something. What broke is printed.
 * Returns how often a rule broke. */
guint fault_scenario_play (guint32 seed, const FaultScenario *settings, const HrTrouble *day,
                           guint n);
