/* The emulator's own interface, on the address of its load balancer:
 *   GET  /emulator            state of the controllers, machines and jobs, and which rules broke
 *   POST /emulator/troubles   faults, one a line, as trouble_parse reads them; `at` counts from now
 */
#pragma once
#include "emulator/live.h"

/**
 * control_request:
 * @msg: a request on the load balancer's address
 * @path: its path
 * @body: (nullable): its body
 *
 * Returns: whether it was one of these, and is answered
 */
gboolean control_request (Live *live, SoupServerMessage *msg, const char *path, const char *body);

/**
 * control_plan:
 * @text: faults, one a line; empty lines and those that begin with # are ignored
 * @error: %G_IO_ERROR_INVALID_DATA; names the line
 *
 * Plans all faults of the text, or none.
 *
 * Returns: %FALSE with @error set when a line is no fault
 */
gboolean control_plan (Live *live, const char *text, GError **error);
