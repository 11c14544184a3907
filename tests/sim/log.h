/* The log of the simulated controllers, with simulated time and node. */
#pragma once
#include "sim/cluster.h"

/* Time and node of the running controller, for log lines. */
extern double sim_log_time;
extern int sim_log_node;
/* Called once per process, before its first day. */
void sim_log_init (void);
