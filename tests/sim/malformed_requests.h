/* Requests that must be rejected or have no effect. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

void malformed_requests_begin (SimCluster *cluster);
/* Repeats the submission of a job just accepted, with other content, at all controllers. */
void malformed_requests_repeat (SimCluster *cluster, SimJob *job);
