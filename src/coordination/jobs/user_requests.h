/* A user's request about a job while it is processed: a poll, a submission or a cancellation.
 *
 * Each step is decided by one function, which inspects the state and returns a HrVerdict;
 * hr_user_request_apply_verdict() carries the verdict out. Each request gets exactly one reply.
 * Every verdict keeps these rules:
 * - A user is told that a job is accepted, cancelled or done only after its record states so.
 * - State that another controller may have changed is reported only after a read of the store that
 *   was sent after the request arrived. Final states never change, so they need no read.
 * - A user is told that a job is unknown only after such a read.
 *
 * Used by request_routing.c, submissions.c and cancellations.c. A function that takes a request as
 * (transfer full) owns it from then on; the request is freed when the reply is sent. */
#pragma once
#include "coordination/jobs/memory_budget.h"
#include "coordination/state.h"

typedef enum { HR_REQUEST_POLL, HR_REQUEST_SUBMIT, HR_REQUEST_CANCEL } HrRequestKind;

/**
 * HrUserRequest:
 * @reply_id: id of the command that carried the request, for the reply
 * @kind: the requested operation
 * @job_id: id of the job
 * @received_at: when the request arrived, in real time, in seconds; for a submission, also the
 * job's submission time
 * @spec: for a submission: the job's specification
 * @awaits: for a submission: ids of the jobs that it awaits; %NULL: none
 * @tasks_per_page: for a submission: layout of the job's record; 0: the tasks are in the main
 * record
 * @refusal_status: for a submission that cannot be accepted: HTTP status of the refusal, which is
 * sent if the job is new; otherwise 0
 * @refusal_reason: reason of that refusal
 * @write_tag: writer's tag of the request's write; %NULL: none sent yet
 * @record_bytes: for a cancellation: size of the record that it writes
 * @failed_writes: number of writes that were not confirmed
 * @reservation: for a submission that is to be written: the memory reserved for its job; released
 * when the request is freed
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
  HrMemoryReservation reservation;
} HrUserRequest;

/**
 * HrVerdictKind:
 * @HR_VERDICT_ANSWER: reply with the job's status
 * @HR_VERDICT_READ: read the store, then decide again based on the result
 * @HR_VERDICT_READ_AWAITED: read the store to look up the jobs that a submission awaits, then
 * decide again
 * @HR_VERDICT_READ_BEFORE_RETRY: read the store to check whether a submission's write was carried
 * out, then decide again
 * @HR_VERDICT_WRITE: write the submission or the cancellation
 * @HR_VERDICT_REFUSE: refuse permanently
 * @HR_VERDICT_REFUSE_TEMPORARILY: refuse, with a time after which the user may retry
 * @HR_VERDICT_REFUSE_OVERLOADED: refuse a submission that cannot be taken at present
 * @HR_VERDICT_REFUSE_IF_NEW: refuse, unless a read shows that the job was accepted before
 *
 * The next step of a request.
 */
typedef enum {
  HR_VERDICT_ANSWER,
  HR_VERDICT_READ,
  HR_VERDICT_READ_AWAITED,
  HR_VERDICT_READ_BEFORE_RETRY,
  HR_VERDICT_WRITE,
  HR_VERDICT_REFUSE,
  HR_VERDICT_REFUSE_TEMPORARILY,
  HR_VERDICT_REFUSE_OVERLOADED,
  HR_VERDICT_REFUSE_IF_NEW
} HrVerdictKind;

/**
 * HrVerdict:
 * @kind: the next step
 * @status: HTTP status of an answer or refusal; otherwise 0
 * @reason: text of a refusal, owned; otherwise %NULL
 * @overload: for %HR_VERDICT_REFUSE_OVERLOADED: what there is too much of
 * @retry_after_s: for %HR_VERDICT_REFUSE_OVERLOADED: seconds after which the user may retry
 */
typedef struct {
  HrVerdictKind kind;
  int status;
  char *reason;
  HrRefusalKind overload;
  int retry_after_s;
} HrVerdict;

/* Reason returned to users for a job that was never accepted. */
#define HR_REASON_UNKNOWN_JOB "no such job was accepted"

/**
 * hr_user_request_new:
 * @reply_id: id of the command that carried the request
 * @kind: the requested operation
 * @job_id: id of the job; copied
 * @received_at: when the request arrived, in real time, in seconds
 *
 * Returns: (transfer full): the request.
 */
HrUserRequest *hr_user_request_new (guint64 reply_id, HrRequestKind kind, const char *job_id,
                                    double received_at);
void hr_user_request_free (HrUserRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrUserRequest, hr_user_request_free)

/**
 * hr_user_request_n_awaited:
 * @request: a submission
 *
 * Returns: the number of jobs that its job awaits
 */
static inline guint
hr_user_request_n_awaited (const HrUserRequest *request)
{
  return request->awaits ? g_strv_length (request->awaits) : 0;
}

/**
 * hr_verdict:
 * @kind: one of the kinds that read or write
 *
 * Returns: a verdict without status and reason.
 */
HrVerdict hr_verdict (HrVerdictKind kind);

/**
 * hr_verdict_answer:
 * @status: HTTP status: 201 for a job that was just accepted, otherwise 200
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

/**
 * hr_verdict_refuse_overloaded:
 * @overload: what there is too much of
 * @retry_after_s: seconds after which the user may retry
 * @reason: text for the user; copied
 *
 * Returns: a verdict to refuse a submission that cannot be taken at present, with status 429.
 */
HrVerdict hr_verdict_refuse_overloaded (HrRefusalKind overload, int retry_after_s,
                                        const char *reason);
void hr_verdict_clear (HrVerdict *verdict);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HrVerdict, hr_verdict_clear)

/**
 * hr_user_request_apply_verdict:
 * @request: (transfer full): the request; freed when the reply is sent
 * @verdict: the next step of the request
 *
 * Carries the verdict out.
 */
void hr_user_request_apply_verdict (HrCore *core, HrUserRequest *request, const HrVerdict *verdict);

/**
 * hr_user_request_has_final_answer:
 *
 * Checks whether the job is known to be done or cancelled by its record. Such a state never
 * changes, so the request can be answered without a read. A cancellation that only a peer has
 * stated does not count: users are told of it only after the record was read.
 *
 * Returns: whether the request can be answered without a read.
 */
gboolean hr_user_request_has_final_answer (HrCore *core, const HrUserRequest *request);

/**
 * hr_user_request_decide_after_read:
 * @read_ok: whether the read, which was sent after the request arrived, succeeded
 *
 * Decides on the next step of a request after a read of the store.
 *
 * Returns: a verdict to answer, to write a cancellation, or to refuse.
 */
HrVerdict hr_user_request_decide_after_read (HrCore *core, const HrUserRequest *request,
                                             gboolean read_ok);

/**
 * hr_user_request_timeout:
 *
 * Returns: how long the request's next write waits for its response, in seconds.
 */
double hr_user_request_timeout (const HrCore *core, const HrUserRequest *request);

/**
 * hr_user_request_may_retry:
 * @status: status of its last write, which is already counted in `failed_writes`
 *
 * Checks whether the last write was not carried out, or its outcome is unknown, and whether there
 * is time for another write. The same write may be sent again at any time: it is conditional on the
 * record's revision, so whichever copy is carried out second fails.
 *
 * Returns: whether the write may be retried.
 */
gboolean hr_user_request_may_retry (const HrCore *core, const HrUserRequest *request, int status);
