/* Between the controllers of the simulated cluster (cluster.c) and the ways of their messages
 * (messages.c), with what is checked of each (node_checks.c). */
#pragma once
#include "sim/request.h"
#include "sim/cluster.h"

/* How long one message takes, in seconds. */
double net_delay (SimCluster *cluster);
/* The request leaves whoever asks. */
void req_send (SimCluster *cluster, SimRequest *request);
/* A command for this controller's next batch. Takes it over. */
void node_push (SimCluster *cluster, int node, HrCommand *command);
/* What the controller sends: an answer, a call, a status. */
void node_perform (SimCluster *cluster, int node, HrEffect *effect);
void node_check_launches (SimCluster *cluster, int i, const char *text);
/* The report with this id is handed to a controller that is a process of its own. */
void node_note_report (SimCluster *cluster, int i, guint64 id, const char *machine);
void node_check_order (SimCluster *cluster, int i, guint64 id, const char *report,
                       const char *answer);
void node_check_kills (SimCluster *cluster, int i, const char *report, const char *answer);
