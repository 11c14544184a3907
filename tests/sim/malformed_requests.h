/* Requests that must be refused or change nothing. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

void malformed_requests_begin (SimCluster *cluster);
/* The submission of a job just accepted is repeated with other content, at all controllers. */
void malformed_requests_repeat (SimCluster *cluster, SimJob *job);
