/* Decisions on submissions. They change no state; hr_user_request_apply_verdict() carries them out.
 */
#pragma once
#include "coordination/jobs/user_requests.h"

/**
 * hr_submission_job_bytes:
 * @request: a submission
 *
 * Returns: the memory that the job will need on each controller, in bytes
 */
gsize hr_submission_job_bytes (const HrUserRequest *request);

/**
 * hr_submission_decide:
 * @request: a valid submission that has just arrived
 *
 * Returns: the first step of the submission
 */
HrVerdict hr_submission_decide (HrCore *core, const HrUserRequest *request);

/**
 * hr_submission_decide_after_awaited_read:
 * @request: a submission that awaits jobs unknown to this node
 * @read_ok: whether the read, which was sent after the submission arrived, succeeded
 *
 * Decides after the read: a job that is still unknown was not accepted before the submission.
 *
 * Returns: the next step of the submission
 */
HrVerdict hr_submission_decide_after_awaited_read (HrCore *core, const HrUserRequest *request,
                                                   gboolean read_ok);

/**
 * hr_submission_decide_after_retry_read:
 * @request: a submission whose write was not confirmed
 * @read_ok: whether the read, which was sent after the write, succeeded
 *
 * Decides whether to repeat the write. The read before it uses none of the write-rate allowance and
 * shows whether the earlier write was carried out. If it was not, it may still be carried out
 * later; that is safe, since the repeated write is identical.
 *
 * Returns: the next step of the submission
 */
HrVerdict hr_submission_decide_after_retry_read (HrCore *core, const HrUserRequest *request,
                                                 gboolean read_ok);

/**
 * hr_submission_decide_after_failed_write:
 * @request: a submission whose write was not confirmed
 * @status: HTTP status of the write; 0: no response
 *
 * Returns: the next step of the submission
 */
HrVerdict hr_submission_decide_after_failed_write (const HrCore *core, const HrUserRequest *request,
                                                   int status);
