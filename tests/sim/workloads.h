/* Workloads of simulated days: gangs, streams of gangs, services, and jobs of all shapes. */
#pragma once
#include "sim/cluster.h"

/* Submits gangs of which one task has its image cached, and the others fetch it for longer than
 * gang_wait_s. with_cancelled: one more gang is cancelled while it fetches. */
void users_long_fetches (SimCluster *cluster, gboolean with_cancelled);
/* Submits services with small images that run until the end of the day. */
void users_services (SimCluster *cluster, guint n, guint tasks, double at);
/* Submits jobs of all shapes for a fleet of hundreds of machines. */
void users_mixed_workload (SimCluster *cluster, guint jobs, double span);
/* Submits a gang that is larger than the cloud's capacity. */
void users_oversized_gang (SimCluster *cluster, double at);
/* Submits gangs of two tasks, one every `gap` seconds. */
void users_gangs (SimCluster *cluster, guint n, double from, double gap);
/* Submits a stream of small urgent gangs that nearly fills the fleet by itself, and three large
 * jobs. */
void users_gang_stream (SimCluster *cluster, HrShape large, double from, double to);
