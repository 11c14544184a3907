/* What the parts of the planned troubles share: troubles.c begins them, trouble_messages.c meets
 * them on the way of messages, trouble_users.c plays the users that they bring. */
#pragma once
#include "sim/cluster.h"

#define LATE_WRITE_MIN_S 2.0
#define LATE_WRITE_MAX_S 12.0
#define LATE_COMMAND_MIN_S 2.0
#define LATE_COMMAND_MAX_S 16.0
#define LATE_REPORT_MIN_S 2.0
#define LATE_REPORT_MAX_LEASES 2.5

gboolean trouble_on (const SimCluster *cluster, const HrSwitch *trouble_switch);
/* Whether it hits this one. Drawn only while it is on. */
gboolean trouble_strikes (SimCluster *cluster, const HrSwitch *trouble_switch);
int trouble_any_node (SimCluster *cluster);
void trouble_shuffle (SimCluster *cluster, GPtrArray *list);
/* The controller is in the zone that is cut off. */
gboolean trouble_inside (const SimCluster *cluster, int node);
void trouble_cancel_now (SimCluster *cluster, const HrTrouble *trouble);
