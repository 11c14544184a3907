/* The simulated cloud: idempotent rental requests, lists that lag, boots that fail, notices before
 * spot machines are reclaimed. */
#pragma once
#include "sim/request.h"
#include "sim/worker.h"
#include "sim/cluster.h"

void cloud_request (SimCluster *cluster, SimRequest *request);
void cloud_init (SimCluster *cluster);
void cloud_free (SimCluster *cluster);
/* Takes a spot machine back, half of the time after a notice of 6 to 18 s. */
void machine_reclaim (SimCluster *cluster, SimMachine *machine);
/* Ends the machine at once. */
void machine_terminate (SimCluster *cluster, SimMachine *machine);
