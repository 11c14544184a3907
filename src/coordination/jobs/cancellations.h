/* Cancellations. A job is cancelled once its record states so, whichever controller wrote it. The
 * write is conditional on the record's revision, so if a cancellation and the job's completion are
 * written concurrently, one of the two writes fails. */
#pragma once
#include "coordination/jobs/user_requests.h"

/**
 * hr_cancellation_write:
 * @request: (transfer full): a request to cancel a known, queued job
 *
 * Writes the cancellation, and replies to the request once the write is confirmed. If the record
 * is too large to be written, the leader splits it first and the user is asked to retry.
 */
void hr_cancellation_write (HrCore *core, HrUserRequest *request);
