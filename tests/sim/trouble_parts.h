/* Internal interface of planned faults: troubles.c begins them, trouble_messages.c applies them to
 * messages, and trouble_users.c simulates the user requests that they consist of. */
#pragma once
#include "sim/cluster.h"

#define LATE_WRITE_MIN_S 2.0
#define LATE_WRITE_MAX_S 12.0
#define LATE_COMMAND_MIN_S 2.0
#define LATE_COMMAND_MAX_S 16.0
#define LATE_REPORT_MIN_S 2.0
#define LATE_REPORT_MAX_LEASES 2.5

gboolean fault_window_active (const SimCluster *cluster, const HrFaultWindow *window);
/* Returns whether the fault affects the current message or job. Draws a random number only while
 * the window is active. */
gboolean fault_window_hits (SimCluster *cluster, const HrFaultWindow *window);
int fault_random_node (SimCluster *cluster);
void fault_shuffle (SimCluster *cluster, GPtrArray *list);
/* Returns whether the controller is inside the partitioned zone. */
gboolean fault_in_cut_zone (const SimCluster *cluster, int node);
void fault_cancel_now (SimCluster *cluster, const HrFault *fault);
