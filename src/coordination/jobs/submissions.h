/* Submissions. A job is accepted once its first record is written or an existing record is found.
 * The write is conditional on there being no record, so a repeated submission writes nothing,
 * whichever controller receives it. */
#pragma once
#include "coordination/jobs/user_requests.h"

/**
 * hr_submission_received:
 * @core: the controller
 * @command: the request, with the job's specification as its body; borrowed
 *
 * Handles a submission. The reply is sent immediately, or once the state store has answered.
 */
void hr_submission_received (HrCore *core, HrCommand *command);

/**
 * hr_submission_write:
 * @request: (transfer full): a submission that passed all checks
 *
 * Writes the job's first record, and replies to the request once the write is confirmed. A retry
 * writes the same record with the same writer's tag.
 */
void hr_submission_write (HrCore *core, HrUserRequest *request);

/**
 * hr_submission_on_awaited_read:
 * @request: (transfer full) (type HrUserRequest): a submission that awaits jobs unknown to this
 * node
 *
 * Callback for hr_replica_read(). Decides on the submission by whether the awaited jobs are in the
 * store.
 */
void hr_submission_on_awaited_read (HrStore *store, gboolean ok, gpointer request);

/**
 * hr_submission_on_retry_read:
 * @request: (transfer full) (type HrUserRequest): a submission whose write was not confirmed
 *
 * Callback for hr_replica_read(). Replies if the write was carried out, otherwise writes again.
 */
void hr_submission_on_retry_read (HrStore *store, gboolean ok, gpointer request);
