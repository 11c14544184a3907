/* Rules that are checked whenever a task starts, periodically, and after cancellations. A broken
 * rule is recorded with sim_report_violation(). */
#pragma once
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"

/* Checks the team's quota: at each start of a task, and every half second. */
void check_quota (SimCluster *cluster, double starting_gpus);
/* Checks, every half second, that no job waits although machines have room for it. */
void check_waiting_jobs (SimCluster *cluster);
/* Called when a user learns that the job is cancelled: checks after cancel_s that no task runs. */
void check_cancelled_job (SimCluster *cluster, SimJob *job);
/* Checks the launches that a controller has just decided on with the changes up to the epoch
 * `known`. */
void check_launches (SimCluster *cluster, int node, guint64 known, const GPtrArray *effects);
void check_task_start (SimCluster *cluster, SimMachine *machine, SimTask *task);
void check_periodically (SimCluster *cluster);
