/* Controllers of the version in production, which are replaced by new ones one after the other. */
#pragma once
#include "sim/world.h"

/* Controllers of production, which come back new one after the other */
void upgrade_init (World *world);
/* The last one stays away for so long. Returns when its turn begins. */
double upgrade_roll (World *world, double from, double gap, double last_down);
void upgrade_limits_fall (World *world, double at);
