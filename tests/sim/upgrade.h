/* A rolling upgrade of controllers from the version in production to the new one. All times are in
 * seconds of the day. */
#pragma once
#include "sim/cluster.h"

/* Restarts all controllers as the version in production. */
void upgrade_init (SimCluster *cluster);
/* Upgrades the controllers one after the other, beginning at `from`, `gap` seconds apart; the last
 * one is down for last_down seconds. Returns the time at which the last controller's upgrade
 * begins.
 */
double upgrade_roll (SimCluster *cluster, double from, double gap, double last_down);
/* At that time, without notice, the state store applies the announced limits on the size of a
 * value, the changes of a transaction and the changes per second (NEXT_* in sim/store.h). */
void upgrade_lower_limits (SimCluster *cluster, double at);
