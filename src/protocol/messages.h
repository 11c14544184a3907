/* What users send and are told, for programs on their side: the wire's names stay in here. */
#pragma once
#include "protocol/jobspec.h"

/* A submission as its user gives it. Names are texts; amounts as in the protocol. */
typedef struct {
  char *id, *job_class, *team, *shape, *priority, *image, *zone; /* zone: NULL for any */
  GStrv types, awaits;                                           /* NULL: any; none */
  int tasks;
  double cpus, accelerators, memory_gb, image_gb;
  gboolean one_zone, spread, allows_spot;
  double estimate_s, checkpoint_s, save_s, deadline_s; /* deadline_s <= 0: none */
} HrSubmission;

/* The state of a job, as a node answers it. */
typedef struct {
  char *id, *state, *reason; /* reason: NULL when none is given */
  guint64 done, running;
} HrJobStatus;

/* States of a job in answers to users. */
typedef enum {
  HR_JOB_STATUS_QUEUED,
  HR_JOB_STATUS_RUNNING,
  HR_JOB_STATUS_DONE,
  HR_JOB_STATUS_CANCELLED
} HrJobStatusState;

/* The body of a submission, to be freed. */
char *hr_submission_text (const HrSubmission *submission);
/* The id that a body of a submission names, to be freed; NULL when it names none that is valid. */
char *hr_submission_id (const char *body, gsize size);
/* Reads an answer of 200 or 201. FALSE: it makes no sense. */
gboolean hr_job_status_read (const char *body, gsize size, HrJobStatus *out);
void hr_job_status_clear (HrJobStatus *status);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrJobStatus, hr_job_status_clear)
/* A controller's answer with the state of a job. done, running: numbers of tasks. */
json_t *hr_job_status_body (const char *id, HrJobStatusState state, guint32 done, guint32 running,
                            const char *reason);
/* Done or cancelled: it stays so. */
gboolean hr_job_status_is_final (const HrJobStatus *status);
gboolean hr_job_status_is_cancelled (const HrJobStatus *status);
/* The reason in an answer of another status; the start of the body when it has none. To be freed.
 */
char *hr_error_text (const char *body, gsize size);
/* Paths, to be freed. */
char *hr_job_path (const char *id);
char *hr_cancel_path (const char *id);
/* Takes the end off a path that cancels a job. FALSE: it is none, and stays as it was. */
gboolean hr_cancel_path_strip (char *path);
