/* Messages between users and controllers: submissions, the status of a job, and paths. Programs of
 * users' use this module too, so that they need none of the wire's names. Texts that are returned
 * are the caller's to free. */
#pragma once
#include "protocol/jobspec.h"

/* A submission as its user gives it. Names are texts; amounts as in HrJobSpec. */
typedef struct {
  char *id, *job_class, *team, *shape, *priority, *image, *zone; /* zone: NULL for any */
  GStrv types, awaits;                                           /* NULL: any; none */
  int tasks;
  double cpus, accelerators, memory_gb, image_gb;
  gboolean one_zone, spread, allows_spot;
  double estimate_s, checkpoint_s, save_s, deadline_s; /* deadline_s <= 0: none */
} HrSubmission;

/* The status of a job, as a controller answers it. */
typedef struct {
  char *id, *state, *reason; /* reason: NULL when none is given */
  guint64 done, running;     /* tasks */
} HrJobStatus;

/* States of a job in answers to users. */
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
 * @size: its bytes
 *
 * Returns: (transfer full) (nullable): the job's id; %NULL when the body names none that is valid
 */
char *hr_submission_id (const char *body, gsize size);

/**
 * hr_job_status_read:
 * @body: (nullable): a controller's answer of 200 or 201
 * @size: its bytes
 * @out: (out): the status, to be cleared in any case
 *
 * Returns: %FALSE when the answer makes no sense
 */
gboolean hr_job_status_read (const char *body, gsize size, HrJobStatus *out);

/**
 * hr_job_status_clear:
 *
 * Frees the texts of a status.
 */
void hr_job_status_clear (HrJobStatus *status);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrJobStatus, hr_job_status_clear)

/**
 * hr_job_status_is_final:
 *
 * Returns: whether the job is done or cancelled, which never changes any more
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
 * @state: its state
 * @done: number of tasks that are done
 * @running: number of tasks that run
 * @reason: why it is in this state, for people
 *
 * Returns: (transfer full): a controller's answer with the status of a job
 */
json_t *hr_job_status_body (const char *id, HrJobStatusState state, guint32 done, guint32 running,
                            const char *reason);

/**
 * hr_error_text:
 * @body: (nullable): a controller's answer that is no success
 * @size: its bytes
 *
 * Returns: (transfer full): the reason that the answer gives; the start of the answer when it gives
 *   none
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
 * Returns: (transfer full): the path that cancels a job
 */
char *hr_cancel_path (const char *id);

/**
 * hr_cancel_path_strip:
 * @path: (inout): a path, or the end of one
 *
 * Takes off the suffix that makes a job's path one that cancels the job.
 *
 * Returns: %FALSE, with @path as it was, when it has no such suffix
 */
gboolean hr_cancel_path_strip (char *path);
