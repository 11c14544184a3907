/* The emulator's own HTTP interface, on the address of its load balancer:
 *   GET  /emulator            state of the controllers, machines and jobs, and rule violations
 *   POST /emulator/troubles   plans faults: one per line in the format of fault_parse(); the time
 *                             `at` is relative to the time of the request
 */
#pragma once
#include "emulator/emulator.h"

/**
 * control_request:
 * @msg: a request on the load balancer's address
 * @path: its path
 * @body: (nullable): its body
 *
 * Answers a request to the emulator's own interface.
 *
 * Returns: %FALSE when @path does not belong to that interface; the request is not answered then
 */
gboolean control_request (Emulator *emulator, SoupServerMessage *msg, const char *path,
                          const char *body);

/**
 * control_plan:
 * @text: faults, one per line; empty lines and lines that begin with # are ignored
 * @error: %G_IO_ERROR_INVALID_DATA; the message gives the line
 *
 * Plans all faults of the text, or none of them if a line is invalid.
 *
 * Returns: %FALSE with @error set when a line is not a valid fault
 */
gboolean control_plan (Emulator *emulator, const char *text, GError **error);
