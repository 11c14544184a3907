/* Records what this controller refuses and what it cannot read: submissions with status 400 or 422,
 * or 429 for overload, malformed reports, and unreadable answers to its own calls. Each is
 * counted by kind, and the log names the first of each kind and how many came since the last line
 * of that kind. */
#pragma once
#include "coordination/core.h"

/**
 * HrRefusalKind:
 * @HR_REFUSAL_SYNTAX: a submission that is not JSON
 * @HR_REFUSAL_FIELD: a submission with a field that is missing or invalid
 * @HR_REFUSAL_SIZE: a submission that is too large
 * @HR_REFUSAL_INFEASIBLE: a submission of a job that can never run
 * @HR_REFUSAL_MEMORY: a submission of a job for which there is no memory at present
 * @HR_REFUSAL_BACKLOG: a submission that the state store would not record in time
 * @HR_REFUSAL_REPORT: a worker's report that is not JSON, or has an invalid field
 * @HR_REFUSAL_ANSWER: an answer of the state service, the cloud or a worker that is not JSON
 */
typedef enum {
  HR_REFUSAL_SYNTAX,
  HR_REFUSAL_FIELD,
  HR_REFUSAL_SIZE,
  HR_REFUSAL_INFEASIBLE,
  HR_REFUSAL_MEMORY,
  HR_REFUSAL_BACKLOG,
  HR_REFUSAL_REPORT,
  HR_REFUSAL_ANSWER,
  HR_REFUSAL_KINDS
} HrRefusalKind;

/* The log lines of one kind. */
typedef struct {
  double logged_at; /* monotonic time of the last line, s; 0: none */
  guint n_unlogged; /* refusals since that line */
} HrRefusalLog;

/**
 * hr_refusal_record:
 * @core: the controller
 * @kind: what was refused
 * @subject: (nullable): the job's id, or who sent the answer
 * @reason: why, as its sender is told; bytes that are not UTF-8 are escaped in the log
 *
 * Counts a refusal and logs it, at most once in ten seconds for each kind.
 */
void hr_refusal_record (HrCore *core, HrRefusalKind kind, const char *subject, const char *reason);
