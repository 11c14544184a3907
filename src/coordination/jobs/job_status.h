/* What users are told of an accepted job: its state, how many of its tasks run or are done, and why
 * it is where it is. Only to be called when the tables may be answered from: after a read of the
 * store that was sent after the question came, or for a final state that was read. */
#pragma once
#include "coordination/state.h"

/**
 * hr_job_status_reply:
 * @core: the controller
 * @reply_id: of the request to reply to
 * @job: a known job
 * @status: HTTP status of the reply
 *
 * Replies with the job's status.
 */
void hr_job_status_reply (HrCore *core, guint64 reply_id, const HrJob *job, int status);
