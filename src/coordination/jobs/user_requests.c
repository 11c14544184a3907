/* Users' requests: what all kinds of them share of decisions and actions. */
#include "coordination/jobs/user_requests.h"
#include "bookkeeping/replica.h"
#include "coordination/effects.h"
#include "coordination/jobs/cancellations.h"
#include "coordination/jobs/job_status.h"
#include "coordination/jobs/submissions.h"

/* Writes of one request, at most. */
#define MAX_WRITES 6
/* How long a user's write waits for its answer: most come within milliseconds, and one that is lost
 * does not come at all. But where the state service is slow, another try would only add to what it
 * has to do. So the first writes wait for a short time, later ones longer, and all of them for
 * several times as long as the latest reads took. */
#define FIRST_TIMEOUT_S 0.15
#define FIRST_WRITES 3
#define LATER_TIMEOUT_S 1.0
#define MAX_TIMEOUT_S 2.0
#define TIMEOUT_IN_LATENCIES 4
/* A user waits 5 s for the reply. After so long no further write is sent for it. */
#define GIVE_UP_S 2.5
/* When to ask again: as a rule, and while the state service does not answer this node. */
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
  return job && job->state != HR_JOB_QUEUED && !job->cancellation.reported_by_peer;
}

/* The read shows no such job. */
static HrVerdict
decide_unknown_job (const HrUserRequest *request)
{
  if (request->refusal_status)
    return hr_verdict_refuse (HR_VERDICT_REFUSE, request->refusal_status, request->refusal_reason);
  if (request->kind == HR_REQUEST_SUBMIT) /* it was read after a 409, so its record exists */
    return hr_verdict_refuse (HR_VERDICT_REFUSE_FOR_NOW, 503,
                              "its record is being written; ask again");
  return hr_verdict_refuse (HR_VERDICT_REFUSE, 404, HR_REASON_UNKNOWN_JOB);
}

HrVerdict
hr_user_request_decide_after_read (HrCore *core, const HrUserRequest *request, gboolean read_ok)
{
  if (!read_ok)
    return hr_verdict_refuse (HR_VERDICT_REFUSE_FOR_NOW, 503,
                              "the state service cannot be read just now; ask again");
  /* It was accepted, and neither 404 nor an older state may be said of it. */
  if (hr_job_unreadable (&core->store.tables, request->job_id))
    return hr_verdict_refuse (HR_VERDICT_REFUSE_FOR_NOW, 503,
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
hr_user_request_may_try_again (const HrCore *core, const HrUserRequest *request, int status)
{
  gboolean is_undecided = status == 0 || status == 409 || status == 429;
  return is_undecided && request->failed_writes < MAX_WRITES &&
         core->wall_time - request->received_at < GIVE_UP_S;
}

/* ---- actions ---- */

static void
on_read (HrStore *store, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  g_auto (HrVerdict) verdict = hr_user_request_decide_after_read (store->core, request, ok);
  hr_user_request_act (store->core, request, &verdict);
}

/* A job that was accepted stays so whatever a repeated submission says, and a repetition is known
 * by its id alone. Only a read sent after it came tells that the job is new, and not one that
 * another controller has accepted and this one has not read yet. */
static void
refuse_if_new (HrCore *core, HrUserRequest *request, const HrVerdict *refusal)
{
  request->refusal_status = refusal->status;
  request->refusal_reason = g_strdup (refusal->reason);
  HrVerdict next = hr_user_request_has_final_answer (core, request) ? hr_verdict_answer (200)
                                                                    : hr_verdict (HR_VERDICT_READ);
  hr_user_request_act (core, request, &next);
}

static void
reply_status (HrCore *core, const HrUserRequest *request, int status)
{
  const HrJob *job = hr_job_find (&core->store.tables, request->job_id);
  hr_job_status_reply (core, request->reply_id, job, status);
}

void
hr_user_request_act (HrCore *core, HrUserRequest *taken, const HrVerdict *verdict)
{
  g_autoptr (HrUserRequest) request = taken;
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
    hr_core_refuse (core, request->reply_id, verdict->status, 0, verdict->reason);
    break;
  case HR_VERDICT_REFUSE_FOR_NOW:
    hr_core_refuse (core, request->reply_id, verdict->status,
                    core->store.replica.is_unavailable ? RETRY_AFTER_OUTAGE_S : RETRY_AFTER_S,
                    verdict->reason);
    break;
  case HR_VERDICT_REFUSE_IF_NEW:
    refuse_if_new (core, g_steal_pointer (&request), verdict);
    break;
  }
}
