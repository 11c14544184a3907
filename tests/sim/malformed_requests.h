/* Requests that must be rejected or have no effect. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* Sends a round of such requests now and every 1.5 s until cluster->faults.malformed_until. */
void malformed_requests_begin (SimCluster *cluster);
/* Repeats the submission of a job just accepted, with other content, at all controllers. */
void malformed_requests_repeat (SimCluster *cluster, SimJob *job);
