/* Workloads that reach quotas, the capacity of zones and the size of the fleet. */
#pragma once
#include "sim/cluster.h"

/* Arrays of one task, per_s a second; the share `cancelled` of them is cancelled within 30 s. */
void users_single_task_jobs (SimCluster *cluster, double from, double to, double per_s,
                             double cancelled);
/* Jobs of all shapes, each restricted to one zone. */
void users_zone_bound_jobs (SimCluster *cluster, guint n, double span);
/* Arrays and urgent gangs that need about three times the fleet. */
void users_overload (SimCluster *cluster, double at);
/* Services use two thirds of a quota of twelve GPUs permanently. A gang that needs half of the
 * quota waits until its user cancels it after 350 s. Arrays that fit beside the services follow it.
 */
void users_at_limit (SimCluster *cluster, double at);
