/* Users' requests: decisions and actions that all kinds of requests share. */
#include "coordination/jobs/user_requests.h"
#include "bookkeeping/replica.h"
#include "coordination/effects.h"
#include "coordination/jobs/cancellations.h"
#include "coordination/jobs/job_status.h"
#include "coordination/jobs/submissions.h"

/* HTTP status of a submission that cannot be taken at present. */
#define STATUS_OVERLOADED 429
/* Maximum number of writes for one request. */
#define MAX_WRITES 6
/* Timeouts of a user's write, in seconds. Most responses arrive within milliseconds, and a lost one
 * never arrives, so the first FIRST_WRITES writes time out early. If the state store is slow,
 * retries would only add to its load, so later writes wait longer, and every write waits for at
 * least TIMEOUT_IN_LATENCIES times the recent read latency, up to MAX_TIMEOUT_S. */
#define FIRST_TIMEOUT_S 0.15
#define FIRST_WRITES 3
#define LATER_TIMEOUT_S 1.0
#define MAX_TIMEOUT_S 2.0
#define TIMEOUT_IN_LATENCIES 4
/* Age of a request, in seconds, from which no further write is sent for it. Users wait 5 s for the
 * reply. */
#define LAST_WRITE_AGE_S 2.5
/* Retry-After of a refusal, in seconds: normally, and while the state store does not answer this
 * node. */
#define RETRY_AFTER_S 1
#define RETRY_AFTER_OUTAGE_S 2

HrUserRequest *
hr_user_request_new (guint64 reply_id, HrRequestKind kind, const char *job_id, double received_at)
{
  HrUserRequest *request = g_new0 (HrUserRequest, 1);
  request->reply_id = reply_id;
  request->kind = kind;
  request->job_id = g_strdup (job_id);
  request->received_at = received_at;
  return request;
}

void
hr_user_request_free (HrUserRequest *request)
{
  g_free (request->job_id);
  g_strfreev (request->awaits);
  g_free (request->refusal_reason);
  g_free (request->write_tag);
  hr_memory_reservation_release (&request->reservation);
  g_free (request);
}

HrVerdict
hr_verdict (HrVerdictKind kind)
{
  return (HrVerdict){.kind = kind};
}

HrVerdict
hr_verdict_answer (int status)
{
  return (HrVerdict){.kind = HR_VERDICT_ANSWER, .status = status};
}

HrVerdict
hr_verdict_refuse (HrVerdictKind kind, int status, const char *reason)
{
  return (HrVerdict){.kind = kind, .status = status, .reason = g_strdup (reason)};
}

HrVerdict
hr_verdict_refuse_overloaded (HrRefusalKind overload, int retry_after_s, const char *reason)
{
  return (HrVerdict){.kind = HR_VERDICT_REFUSE_OVERLOADED,
                     .status = STATUS_OVERLOADED,
                     .reason = g_strdup (reason),
                     .overload = overload,
                     .retry_after_s = retry_after_s};
}

void
hr_verdict_clear (HrVerdict *verdict)
{
  g_clear_pointer (&verdict->reason, g_free);
}

/* ---- decisions ---- */

gboolean
hr_user_request_has_final_answer (HrCore *core, const HrUserRequest *request)
{
  const HrJob *job = hr_job_find (&core->store.tables, request->job_id);
  return job && hr_job_is_final (job);
}

/* Decides on a request for a job that the read did not show. */
static HrVerdict
decide_unknown_job (const HrUserRequest *request)
{
  if (request->refusal_status)
    return hr_verdict_refuse (HR_VERDICT_REFUSE, request->refusal_status, request->refusal_reason);
  if (request->kind == HR_REQUEST_SUBMIT) /* the read followed a 409, so the record exists */
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                              "its record is being written; ask again");
  return hr_verdict_refuse (HR_VERDICT_REFUSE, 404, HR_REASON_UNKNOWN_JOB);
}

HrVerdict
hr_user_request_decide_after_read (HrCore *core, const HrUserRequest *request, gboolean read_ok)
{
  if (!read_ok)
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                              "the state service cannot be read just now; ask again");
  /* The job was accepted, so neither 404 nor an older state may be returned. */
  if (hr_job_unreadable (&core->store.tables, request->job_id))
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                              "its record cannot be read; ask again");
  const HrJob *job = hr_job_find (&core->store.tables, request->job_id);
  if (!job)
    return decide_unknown_job (request);
  if (request->kind == HR_REQUEST_CANCEL && job->state == HR_JOB_QUEUED)
    return hr_verdict (HR_VERDICT_WRITE);
  return hr_verdict_answer (200);
}

double
hr_user_request_timeout (const HrCore *core, const HrUserRequest *request)
{
  double least = request->failed_writes < FIRST_WRITES ? FIRST_TIMEOUT_S : LATER_TIMEOUT_S;
  return CLAMP (TIMEOUT_IN_LATENCIES * core->store.replica.read_latency_s, least, MAX_TIMEOUT_S);
}

gboolean
hr_user_request_may_retry (const HrCore *core, const HrUserRequest *request, int status)
{
  gboolean is_retryable = status == 0 || status == 409 || status == 429;
  return is_retryable && request->failed_writes < MAX_WRITES &&
         core->wall_time - request->received_at < LAST_WRITE_AGE_S;
}

/* ---- actions ---- */

static void
on_read (HrStore *store, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  g_auto (HrVerdict) verdict = hr_user_request_decide_after_read (store->core, request, ok);
  hr_user_request_apply_verdict (store->core, request, &verdict);
}

/* Refuses a submission unless its job was accepted before. A repeated submission is recognized by
 * the job's id alone, and an accepted job stays accepted whatever the repetition contains. Only a
 * read that was sent after the submission arrived shows that the job is new, rather than accepted
 * by another controller and not read by this one yet. */
static void
refuse_if_new (HrCore *core, HrUserRequest *request, const HrVerdict *refusal)
{
  request->refusal_status = refusal->status;
  request->refusal_reason = g_strdup (refusal->reason);
  HrVerdict next = hr_user_request_has_final_answer (core, request) ? hr_verdict_answer (200)
                                                                    : hr_verdict (HR_VERDICT_READ);
  hr_user_request_apply_verdict (core, request, &next);
}

static void
reply_status (HrCore *core, const HrUserRequest *request, int status)
{
  const HrJob *job = hr_job_find (&core->store.tables, request->job_id);
  hr_job_status_reply (core, request->reply_id, job, status);
}

void
hr_user_request_apply_verdict (HrCore *core, HrUserRequest *owned, const HrVerdict *verdict)
{
  g_autoptr (HrUserRequest) request = owned;
  switch (verdict->kind) {
  case HR_VERDICT_ANSWER:
    reply_status (core, request, verdict->status);
    break;
  case HR_VERDICT_READ:
    hr_replica_read (&core->store, on_read, g_steal_pointer (&request));
    break;
  case HR_VERDICT_READ_AWAITED:
    hr_replica_read (&core->store, hr_submission_on_awaited_read, g_steal_pointer (&request));
    break;
  case HR_VERDICT_READ_BEFORE_RETRY:
    hr_replica_read (&core->store, hr_submission_on_retry_read, g_steal_pointer (&request));
    break;
  case HR_VERDICT_WRITE:
    if (request->kind == HR_REQUEST_CANCEL)
      hr_cancellation_write (core, g_steal_pointer (&request));
    else
      hr_submission_write (core, g_steal_pointer (&request));
    break;
  case HR_VERDICT_REFUSE:
    if (request->kind == HR_REQUEST_SUBMIT)
      hr_refusal_record (core, verdict->status == 422 ? HR_REFUSAL_INFEASIBLE : HR_REFUSAL_FIELD,
                         request->job_id, verdict->reason);
    hr_core_refuse (core, request->reply_id, verdict->status, 0, verdict->reason);
    break;
  case HR_VERDICT_REFUSE_TEMPORARILY:
    hr_core_refuse (core, request->reply_id, verdict->status,
                    core->store.replica.is_unavailable ? RETRY_AFTER_OUTAGE_S : RETRY_AFTER_S,
                    verdict->reason);
    break;
  case HR_VERDICT_REFUSE_OVERLOADED:
    hr_refusal_record (core, verdict->overload, request->job_id, verdict->reason);
    hr_core_refuse (core, request->reply_id, verdict->status, verdict->retry_after_s,
                    verdict->reason);
    break;
  case HR_VERDICT_REFUSE_IF_NEW:
    refuse_if_new (core, g_steal_pointer (&request), verdict);
    break;
  }
}
