/* Cancellations: a job is cancelled when its record says so, whichever controller wrote that. The
 * write holds on the record's revision, so of a cancellation and the job's end one fails. */
#pragma once
#include "coordination/jobs/user_requests.h"

/**
 * hr_cancellation_write:
 * @request: (transfer full): to cancel a known job that is queued
 *
 * Writes the cancellation, and answers the request when that is confirmed. A record that is too
 * large to be written is split by the leader first; its user is asked to try again.
 */
void hr_cancellation_write (HrCore *core, HrUserRequest *request);
