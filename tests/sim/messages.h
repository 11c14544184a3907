/* Between the controllers of the simulated cluster (world.c) and the ways of their messages
 * (messages.c), with what is checked of each (node_checks.c). */
#pragma once
#include "sim/request.h"
#include "sim/world.h"

/* How long one message takes, in seconds. */
double net_delay (World *world);
/* The request leaves whoever asks. */
void req_send (World *world, SimRequest *request);
/* A command for this controller's next batch. Takes it over. */
void node_push (World *world, int node, HrCommand *command);
/* What the controller sends: an answer, a call, a status. */
void node_perform (World *world, int node, HrEffect *effect);
void node_check_launches (World *world, int i, const char *text);
/* The report with this id is handed to a controller that is a process of its own. */
void node_note_report (World *world, int i, guint64 id, const char *machine);
void node_check_order (World *world, int i, guint64 id, const char *report, const char *answer);
void node_check_kills (World *world, int i, const char *report, const char *answer);
