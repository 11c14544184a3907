/* A rolling upgrade of controllers from the version in production to the new one. */
#pragma once
#include "sim/cluster.h"

/* Restarts all controllers as the version in production. */
void upgrade_init (SimCluster *cluster);
/* Upgrades the controllers one after the other, `gap` seconds apart; the last one is down for
 * last_down seconds. Returns when the upgrade of the last one begins. */
double upgrade_roll (SimCluster *cluster, double from, double gap, double last_down);
/* Lowers the limits of the state store at that time, without notice. */
void upgrade_lower_limits (SimCluster *cluster, double at);
