/* Controllers of the version in production, which are replaced by new ones one after the other. */
#pragma once
#include "sim/cluster.h"

/* Controllers of production, which come back new one after the other */
void upgrade_init (SimCluster *cluster);
/* The last one stays away for so long. Returns when its turn begins. */
double upgrade_roll (SimCluster *cluster, double from, double gap, double last_down);
void upgrade_limits_fall (SimCluster *cluster, double at);
