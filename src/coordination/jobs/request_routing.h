/* Routing of HTTP requests from users and load balancers:
 *   GET  /ready                 reports whether this controller can answer users
 *   POST /v1/jobs               submits a job
 *   GET  /v1/jobs/ID            returns the job's status
 *   POST /v1/jobs/ID/abort      cancels the job
 * Any other path is refused with 404, any other method with 405. */
#pragma once
#include "coordination/state.h"

/**
 * hr_user_request_received:
 * @core: the controller
 * @command: a HR_COMMAND_REQUEST that is not a heartbeat; borrowed
 *
 * Handles a request. The reply is sent immediately, or once the state store has answered.
 */
void hr_user_request_received (HrCore *core, HrCommand *command);
