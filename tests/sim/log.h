/* The log of the simulated controllers, with simulated time and node. */
#pragma once
#include "sim/cluster.h"

/* Who is at work, for logs. */
extern double sim_log_time;
extern int sim_log_node;
/* Once a program, before its first day. */
void sim_log_init (void);
