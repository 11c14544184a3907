/* Messages between users and controllers: submissions, job statuses and paths. Client programs use
 * this module too, so that they need not know the field names on the wire. The caller frees the
 * strings that are returned. */
#pragma once
#include "protocol/jobspec.h"

/* A submission before it is serialised. Names are strings; numbers as in HrJobSpec. */
typedef struct {
  char *id, *job_class, *team, *shape, *priority, *image, *zone; /* zone: NULL for any */
  GStrv types, awaits; /* NULL: any type; no dependencies */
  int tasks;
  double cpus, accelerators, memory_gb, image_gb;
  gboolean one_zone, spread, allows_spot;
  double estimate_s, checkpoint_s, save_s, deadline_s; /* deadline_s <= 0: none */
} HrSubmission;

/* The status of a job, from a controller's answer. */
typedef struct {
  char *id, *state, *reason; /* reason: NULL if the answer has none */
  guint64 done, running;     /* numbers of tasks */
} HrJobStatus;

/* A job's states, as users see them. */
typedef enum {
  HR_JOB_STATUS_QUEUED,
  HR_JOB_STATUS_RUNNING,
  HR_JOB_STATUS_DONE,
  HR_JOB_STATUS_CANCELLED
} HrJobStatusState;

/**
 * hr_submission_text:
 *
 * Returns: (transfer full): the body of a submission
 */
char *hr_submission_text (const HrSubmission *submission);

/**
 * hr_submission_id:
 * @body: (nullable): the body of a submission
 * @size: length of @body in bytes
 *
 * Returns: (transfer full) (nullable): the job's id; %NULL when the body has no valid one
 */
char *hr_submission_id (const char *body, gsize size);

/**
 * hr_job_status_read:
 * @body: (nullable): a controller's answer with status 200 or 201
 * @size: length of @body in bytes
 * @out: (out): the status, to be cleared even after a failure
 *
 * Parses a job's status.
 *
 * Returns: %FALSE when the answer is malformed
 */
gboolean hr_job_status_read (const char *body, gsize size, HrJobStatus *out);

/**
 * hr_job_status_clear:
 *
 * Frees the strings of a status.
 */
void hr_job_status_clear (HrJobStatus *status);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrJobStatus, hr_job_status_clear)

/**
 * hr_job_status_is_final:
 *
 * Returns: whether the job is done or cancelled, which are its final states
 */
gboolean hr_job_status_is_final (const HrJobStatus *status);

/**
 * hr_job_status_is_cancelled:
 *
 * Returns: whether the job is cancelled
 */
gboolean hr_job_status_is_cancelled (const HrJobStatus *status);

/**
 * hr_job_status_body:
 * @id: the job's id
 * @state: state of the job
 * @done: number of tasks that are done
 * @running: number of running tasks
 * @reason: human-readable explanation of the state
 *
 * Returns: (transfer full): a controller's answer with the status of a job
 */
json_t *hr_job_status_body (const char *id, HrJobStatusState state, guint32 done, guint32 running,
                            const char *reason);

/**
 * hr_error_text:
 * @body: (nullable): a controller's answer with an error status
 * @size: length of @body in bytes
 *
 * Returns: (transfer full): the error message in the answer; the beginning of the answer if it
 *   has none
 */
char *hr_error_text (const char *body, gsize size);

/**
 * hr_job_path:
 *
 * Returns: (transfer full): the path of a job's status
 */
char *hr_job_path (const char *id);

/**
 * hr_cancel_path:
 *
 * Returns: (transfer full): the path for cancelling a job
 */
char *hr_cancel_path (const char *id);

/**
 * hr_cancel_path_strip:
 * @path: (inout): a path, or the last part of one
 *
 * Removes the suffix that distinguishes the path for cancelling a job from the job's own path.
 *
 * Returns: %FALSE, with @path unchanged, when @path does not have the suffix
 */
gboolean hr_cancel_path_strip (char *path);
