/* What users and load balancers may ask over HTTP:
 *   GET  /ready                 is this controller fit to answer users?
 *   POST /v1/jobs               submits a job
 *   GET  /v1/jobs/ID            polls it
 *   POST /v1/jobs/ID/abort      cancels it
 * Anything else is refused with 404 or 405. */
#pragma once
#include "coordination/state.h"

/**
 * hr_user_request_received:
 * @core: the controller
 * @command: a HR_COMMAND_REQUEST that is no heartbeat; borrowed
 *
 * Starts what the request asks for. It is replied to now, or when the state service has answered.
 */
void hr_user_request_received (HrCore *core, HrCommand *command);
