#include "coordination/jobs/submission_decisions.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/transactions.h"
#include "coordination/jobs/admission.h"
#include "coordination/jobs/dependencies.h"
#include <math.h>
#include <string.h>

/* A submission is refused if its write would wait longer, in seconds: users wait 5 s for the reply.
 */
#define MAX_WRITE_WAIT_S 4.0
/* Retry-After of a submission that the memory does not allow, in seconds: jobs take longer to
 * finish than most other troubles that a retry waits for. */
#define MEMORY_RETRY_AFTER_S 10

gsize
hr_submission_job_bytes (const HrUserRequest *request)
{
  return hr_job_bytes (&request->spec, hr_user_request_n_awaited (request));
}

/* Checks whether the ids of the awaited jobs fit into a value of the state store, under its
 * present and its planned limits. The main record holds them and is written many times. */
static gboolean
awaits_fit_record (const HrCore *core, const HrUserRequest *request)
{
  g_autofree char *paged = hr_record_initial (&request->spec, (const char *const *)request->awaits,
                                              core->names, request->received_at, 1, HR_LONGEST_TAG);
  return strlen (paged) <= hr_record_layout_planned_bytes (&core->store);
}

/* Decides on a submission whose awaited jobs are all known. A job that awaits a service could never
 * run, since a service is never done, so it is refused. A job that awaits a cancelled job is
 * accepted, and then cancelled like any other dependent. */
static HrVerdict
decide_with_known_dependencies (HrCore *core, const HrUserRequest *request)
{
  const char *service = hr_dependencies_find_service (core, request->awaits);
  if (!service)
    return hr_verdict (HR_VERDICT_WRITE);
  g_autofree char *reason =
      g_strdup_printf ("it awaits %s, a service, which is never done", service);
  return hr_verdict_refuse (HR_VERDICT_REFUSE_IF_NEW, 422, reason);
}

/* Decides whether a job that can run can be taken now. Returns a verdict to write it if so. */
static HrVerdict
decide_overload (const HrCore *core, const HrUserRequest *request)
{
  if (!hr_memory_budget_allows (core, hr_submission_job_bytes (request)))
    return hr_verdict_refuse_overloaded (HR_REFUSAL_MEMORY, MEMORY_RETRY_AFTER_S,
                                         "the controllers hold as many unfinished tasks as their "
                                         "memory allows; submit again later");
  double excess_s = hr_transactions_user_wait_s (&core->store) - MAX_WRITE_WAIT_S;
  if (excess_s > 0)
    return hr_verdict_refuse_overloaded (HR_REFUSAL_BACKLOG, ceil (excess_s),
                                         "more submissions wait to be recorded than the state "
                                         "service takes in time; submit again");
  return hr_verdict (HR_VERDICT_WRITE);
}

/* Decides on a job that this node does not know: whether it can ever run, and whether its record
 * can be written. */
static HrVerdict
decide_new_job (HrCore *core, const HrUserRequest *request)
{
  g_autoptr (GError) error = NULL;
  if (!core->scaling.machine_types || !core->store.replica.synced_once)
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                              "this node has only just started; submit again");
  if (!hr_admission_check (core, &request->spec, &error))
    return hr_verdict_refuse (HR_VERDICT_REFUSE_IF_NEW, 422, error->message);
  if (!awaits_fit_record (core, request))
    return hr_verdict_refuse (HR_VERDICT_REFUSE_IF_NEW, 400,
                              "field awaits: more jobs than the job's record can hold");
  if (core->store.replica.is_unavailable || core->store.replica.state != HR_REPLICA_FOLLOWING)
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                              "the state service does not answer; submit again");
  HrVerdict overload = decide_overload (core, request);
  if (overload.kind == HR_VERDICT_REFUSE_OVERLOADED)
    return overload;
  /* Known jobs are never forgotten, but an unknown job may just have been accepted by another
   * controller. */
  if (hr_dependencies_find_unknown (core, request->awaits))
    return hr_verdict (HR_VERDICT_READ_AWAITED);
  return decide_with_known_dependencies (core, request);
}

HrVerdict
hr_submission_decide (HrCore *core, const HrUserRequest *request)
{
  if (hr_user_request_has_final_answer (core, request))
    return hr_verdict_answer (200);
  if (hr_job_find (&core->store.tables, request->job_id))
    return hr_verdict (HR_VERDICT_READ);
  return decide_new_job (core, request);
}

HrVerdict
hr_submission_decide_after_awaited_read (HrCore *core, const HrUserRequest *request,
                                         gboolean read_ok)
{
  if (!read_ok || hr_job_unreadable (&core->store.tables, request->job_id))
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                              "the jobs that it awaits cannot be looked up; submit again");
  if (hr_job_find (&core->store.tables, request->job_id))
    return hr_verdict_answer (200); /* accepted by an earlier try of this submission */
  const char *unknown = hr_dependencies_find_unknown (core, request->awaits);
  if (!unknown)
    return decide_with_known_dependencies (core, request);
  g_autofree char *reason = g_strdup_printf ("it awaits %s, which was never accepted", unknown);
  return hr_verdict_refuse (HR_VERDICT_REFUSE, 422, reason);
}

HrVerdict
hr_submission_decide_after_retry_read (HrCore *core, const HrUserRequest *request, gboolean read_ok)
{
  if (read_ok && !hr_job_find (&core->store.tables, request->job_id) &&
      !hr_job_unreadable (&core->store.tables, request->job_id))
    return hr_verdict (HR_VERDICT_WRITE);
  return hr_user_request_decide_after_read (core, request, read_ok);
}

HrVerdict
hr_submission_decide_after_failed_write (const HrCore *core, const HrUserRequest *request,
                                         int status)
{
  if (status == 409)
    return hr_verdict (HR_VERDICT_READ); /* a record exists, perhaps from an earlier try */
  if (hr_user_request_may_retry (core, request, status))
    return hr_verdict (HR_VERDICT_READ_BEFORE_RETRY); /* lost response or rate limit */
  if (status == 429)
    return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 429,
                              "too many jobs at once; submit again");
  return hr_verdict_refuse (HR_VERDICT_REFUSE_TEMPORARILY, 503,
                            "the state service did not confirm the job; submit again");
}
