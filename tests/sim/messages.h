/* Interface between the controllers of the simulated cluster (cluster.c), the network (messages.c)
 * and the checks of each message (node_checks.c). */
#pragma once
#include "sim/request.h"
#include "sim/cluster.h"

/* Returns the drawn latency of one message, in seconds. */
double net_delay (SimCluster *cluster);
/* Sends the request from its client. */
void req_send (SimCluster *cluster, SimRequest *request);
/* Adds a command to this controller's next batch. Takes ownership. */
void node_push (SimCluster *cluster, int node, HrCommand *command);
/* Performs an effect of the controller: an answer, a call, or a status for its peers. */
void node_perform (SimCluster *cluster, int node, HrEffect *effect);
void node_check_launches (SimCluster *cluster, int i, const char *text);
/* Records that the heartbeat with this id is sent to a controller that is a separate process. */
void node_note_report (SimCluster *cluster, int i, guint64 id, const char *machine);
void node_check_order (SimCluster *cluster, int i, guint64 id, const char *report,
                       const char *answer);
void node_check_kills (SimCluster *cluster, int i, const char *report, const char *answer);
