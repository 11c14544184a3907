/* A user's request about a job, on its way to an answer: a poll, a submission or a cancellation.
 *
 * Each step is decided in one place, by a function that looks at the state and gives a HrVerdict;
 * hr_user_request_act() carries the verdict out. A request ends with exactly one reply. The rules
 * that every verdict keeps:
 * - A user is told that a job is accepted, withdrawn or done only after its record says so.
 * - What may have changed elsewhere is answered after a read of the store that was sent after the
 *   request came; final states never change, so they need none.
 * - That a job is not known is said only after such a read.
 *
 * Used by request_routing.c, submissions.c and cancellations.c. A function that takes a request as
 * (transfer full) owns it from then on; it is freed with its reply. */
#pragma once
#include "coordination/state.h"

typedef enum { HR_REQUEST_POLL, HR_REQUEST_SUBMIT, HR_REQUEST_CANCEL } HrRequestKind;

/**
 * HrUserRequest:
 * @reply_id: of the command that it came with, for the reply
 * @kind: what the user wants
 * @job_id: id of the job
 * @received_at: time of day, s; of a submission, the job's time of submission
 * @spec: of a submission: the job
 * @awaits: of a submission: ids of the jobs that it awaits; %NULL: none
 * @tasks_per_page: of a submission: how its record is laid out; 0: tasks stand in the main record
 * @refusal_status: of a submission that cannot be accepted: the status, if the job is new; else 0
 * @refusal_reason: and the reason
 * @write_tag: writer's tag of its write; %NULL: none sent yet
 * @record_bytes: size of the record that a cancellation writes
 * @failed_writes: writes that were not confirmed
 */
typedef struct {
  guint64 reply_id;
  HrRequestKind kind;
  char *job_id;
  double received_at;
  HrJobSpec spec;
  GStrv awaits;
  guint tasks_per_page;
  int refusal_status;
  char *refusal_reason;
  char *write_tag;
  gsize record_bytes;
  guint failed_writes;
} HrUserRequest;

/**
 * HrVerdictKind:
 * @HR_VERDICT_ANSWER: reply with the job's status
 * @HR_VERDICT_READ: read the store, then decide again from what it shows
 * @HR_VERDICT_READ_AWAITED: the same, to look up the jobs that a submission awaits
 * @HR_VERDICT_READ_BEFORE_RETRY: the same, to learn whether a submission's write was carried out
 * @HR_VERDICT_WRITE: write the submission or the cancellation
 * @HR_VERDICT_REFUSE: refuse; asking again would not help
 * @HR_VERDICT_REFUSE_FOR_NOW: refuse with a time after which to ask again
 * @HR_VERDICT_REFUSE_IF_NEW: refuse, unless the job turns out to have been accepted before
 *
 * What is to be done next with a request.
 */
typedef enum {
  HR_VERDICT_ANSWER,
  HR_VERDICT_READ,
  HR_VERDICT_READ_AWAITED,
  HR_VERDICT_READ_BEFORE_RETRY,
  HR_VERDICT_WRITE,
  HR_VERDICT_REFUSE,
  HR_VERDICT_REFUSE_FOR_NOW,
  HR_VERDICT_REFUSE_IF_NEW
} HrVerdictKind;

/**
 * HrVerdict:
 * @kind: what to do
 * @status: HTTP status of an answer or refusal; else 0
 * @reason: text of a refusal, owned; else %NULL
 */
typedef struct {
  HrVerdictKind kind;
  int status;
  char *reason;
} HrVerdict;

/* What users are told of a job that was never accepted. */
#define HR_REASON_UNKNOWN_JOB "no such job was accepted"

/**
 * hr_user_request_new:
 * @reply_id: of the command that it came with
 * @job_id: id of the job; copied
 * @received_at: time of day, s
 *
 * Returns: (transfer full): the request.
 */
HrUserRequest *hr_user_request_new (guint64 reply_id, HrRequestKind kind, const char *job_id,
                                    double received_at);
void hr_user_request_free (HrUserRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrUserRequest, hr_user_request_free)

/**
 * hr_verdict:
 *
 * Returns: a verdict to read or write.
 */
HrVerdict hr_verdict (HrVerdictKind kind);

/**
 * hr_verdict_answer:
 * @status: HTTP status: 201 for a job that is accepted just now, else 200
 *
 * Returns: a verdict to reply with the job's status.
 */
HrVerdict hr_verdict_answer (int status);

/**
 * hr_verdict_refuse:
 * @kind: one of the kinds that refuse
 * @status: HTTP status
 * @reason: text for the user; copied
 *
 * Returns: a verdict to refuse.
 */
HrVerdict hr_verdict_refuse (HrVerdictKind kind, int status, const char *reason);
void hr_verdict_clear (HrVerdict *verdict);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrVerdict, hr_verdict_clear)

/**
 * hr_user_request_act:
 * @request: (transfer full): the request; freed with the reply
 * @verdict: what to do with it
 *
 * Carries the verdict out.
 */
void hr_user_request_act (HrCore *core, HrUserRequest *request, const HrVerdict *verdict);

/**
 * hr_user_request_has_final_answer:
 *
 * Is the job known to be done or cancelled by its record? That never changes, so it can be answered
 * without reading. What a peer says of a job is not told to users before its record is read.
 */
gboolean hr_user_request_has_final_answer (HrCore *core, const HrUserRequest *request);

/**
 * hr_user_request_decide_after_read:
 * @read_ok: whether the read, sent after the request came, succeeded
 *
 * Decides how to go on with a request from what the store shows.
 *
 * Returns: to answer, to write a cancellation, or to refuse.
 */
HrVerdict hr_user_request_decide_after_read (HrCore *core, const HrUserRequest *request,
                                             gboolean read_ok);

/**
 * hr_user_request_timeout:
 *
 * Returns: how long the request's next write waits for its answer, in seconds.
 */
double hr_user_request_timeout (const HrCore *core, const HrUserRequest *request);

/**
 * hr_user_request_may_try_again:
 * @status: of its last write, which is counted in `failed_writes`
 *
 * Was the write not carried out, or is that unknown, and is there time for another? The same write
 * may be sent again at any time, for it holds on the record's revision: whichever copy is carried
 * out second fails.
 */
gboolean hr_user_request_may_try_again (const HrCore *core, const HrUserRequest *request,
                                        int status);
