/* Workloads that press on quotas, zones and the size of the fleet. */
#pragma once
#include "sim/world.h"

/* Arrays of one task, per_s a second; of these a share is called off within 30 s. */
void users_singles (World *world, double from, double to, double per_s, double cancelled);
/* Jobs of all shapes bound to one zone each. */
void users_bound (World *world, guint n, double span);
/* More work than room: arrays, urgent gangs and services, of three times the fleet. */
void users_overload (World *world, double at);
/* Services take two thirds of a limit of twelve GPUs for good, a gang wants half of it for as
 * long as its user waits (350 s), and arrays that have room come after it. */
void users_at_limit (World *world, double at);
