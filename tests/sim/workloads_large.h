/* Workloads that reach quotas, the capacity of zones and the size of the fleet. */
#pragma once
#include "sim/cluster.h"

/* Submits arrays of one task, per_s a second; a share `cancelled` of them is cancelled within
 * 30 s. */
void users_single_task_jobs (SimCluster *cluster, double from, double to, double per_s,
                             double cancelled);
/* Submits jobs of all shapes, each restricted to one zone. */
void users_zone_bound_jobs (SimCluster *cluster, guint n, double span);
/* Submits arrays and urgent gangs that need about three times the fleet. */
void users_overload (SimCluster *cluster, double at);
/* Submits services that use two thirds of a quota of twelve GPUs permanently, a gang that needs
 * half of the quota and waits until its user cancels it after 350 s, and then arrays that fit into
 * the rest of the quota. */
void users_at_limit (SimCluster *cluster, double at);
