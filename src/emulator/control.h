/* The emulator's own interface, on the address of its load balancer:
 *   GET  /emulator            how the controllers, machines and jobs stand, and which rules broke
 *   POST /emulator/troubles   one trouble a line, as trouble_parse reads it; `at` counts from now
 */
#pragma once
#include "emulator/live.h"

/* Answers the request if it is one of these. */
gboolean control_request (Live *live, SoupServerMessage *msg, const char *path, const char *body);
/* Plans the troubles of a text, one a line; empty lines and those that begin with # count for
 * nothing. FALSE: *error names the line, and none is planned. */
gboolean control_plan (Live *live, const char *text, GError **error);
