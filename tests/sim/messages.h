/* Between the controllers of the simulated cluster (world.c) and the ways of their messages
 * (messages.c), with what is checked of each (node_checks.c). */
#pragma once
#include "sim/world.h"

/* How long one message takes, in seconds. */
double net_delay (World *w);
/* The request leaves whoever asks. */
void req_send (World *w, Req *r);
/* A command for this controller's next batch. Takes it over. */
void node_push (World *w, int node, HrCommand *cmd);
/* What the controller sends: an answer, a call, a hint. */
void node_perform (World *w, int node, HrEffect *effect);
void node_check_launches (World *w, int i, const char *text);
/* The report with this id is handed to a controller that is a process of its own. */
void node_note_report (World *w, int i, guint64 id, const char *machine);
void node_check_order (World *w, int i, guint64 id, const char *report, const char *answer);
void node_check_kills (World *w, int i, const char *report, const char *answer);
