/* Status of an accepted job as returned to users: its state, the number of its running and finished
 * tasks, and the reason for the state. Must be called only when the tables are current enough for
 * the reply: after a read of the store that was sent after the request arrived, or for a final
 * state that was read. */
#pragma once
#include "coordination/state.h"

/**
 * hr_job_status_reply:
 * @core: the controller
 * @reply_id: id of the request to reply to
 * @job: a known job
 * @status: HTTP status of the reply
 *
 * Replies to the request with the job's status.
 */
void hr_job_status_reply (HrCore *core, guint64 reply_id, const HrJob *job, int status);
