/* Workloads of single days: streams, gangs, services. */
#pragma once
#include "sim/world.h"

/* Gangs of which one task has its image at once, and others after more than gang_wait_s.
 * fickle: one more is cancelled while it fetches. */
void users_long_fetches (World *world, gboolean fickle);
/* Services that run until the end, of small images. */
void users_services (World *world, guint n, guint tasks, double at);
/* Jobs of all shapes for a fleet of hundreds. */
void users_crowd (World *world, guint jobs, double span);
/* A gang that no fleet of this cloud can hold. */
void users_oversized (World *world, double at);
/* Gangs of two tasks, one after the other. */
void users_gangs (World *world, guint n, double from, double gap);
/* A stream of small urgent gangs that alone would nearly fill the fleet, beside a few large jobs.
 */
void users_stream (World *world, HrShape large, double from, double to);
