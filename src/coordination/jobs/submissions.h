/* Submissions: a job is accepted when its first record is written, or found. The write holds on
 * there being no record, so that a repetition, through whichever controller, writes nothing. */
#pragma once
#include "coordination/jobs/user_requests.h"

/**
 * hr_submission_received:
 * @core: the controller
 * @command: the request, with the job's description as its body; borrowed
 *
 * Begins a submission. It is replied to now, or when the state service has answered.
 */
void hr_submission_received (HrCore *core, HrCommand *command);

/**
 * hr_submission_write:
 * @request: (transfer full): a submission that was found acceptable
 *
 * Writes the job's first record, and answers the request when that is confirmed. A repeated write
 * is the same, with the same writer's tag.
 */
void hr_submission_write (HrCore *core, HrUserRequest *request);

/**
 * hr_submission_on_awaited_read:
 * @request: (transfer full) (type HrUserRequest): a submission that awaits jobs unknown here
 *
 * For hr_replica_read(): decides by whether the store shows the jobs that it awaits.
 */
void hr_submission_on_awaited_read (HrStore *store, gboolean ok, gpointer request);

/**
 * hr_submission_on_retry_read:
 * @request: (transfer full) (type HrUserRequest): a submission whose write was not confirmed
 *
 * For hr_replica_read(): answers if the write was carried out, else writes again.
 */
void hr_submission_on_retry_read (HrStore *store, gboolean ok, gpointer request);
