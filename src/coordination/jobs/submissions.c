/* Submissions: parsing, decisions, the write, and the handling of its response. */
#include "coordination/jobs/submissions.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/jobs/admission.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/memory_budget.h"
#include "protocol/messages.h"
#include "protocol/store_api.h"
#include <math.h>
#include <string.h>

/* Prefix of the key of a job's main record in the state store. */
#define JOB_KEY_PREFIX "h/j/"
/* A submission is refused if its write would wait longer, in seconds: users wait 5 s for the reply.
 */
#define MAX_WRITE_WAIT_S 4.0
/* Retry-After of a submission that the memory does not allow, in seconds: jobs take longer to
 * finish than most other troubles that a retry waits for. */
#define MEMORY_RETRY_AFTER_S 10

/* ---- the job's first record ---- */

static char *
first_record (const HrCore *core, const HrUserRequest *request, guint tasks_per_page,
              const char *tag)
{
  return hr_record_initial (&request->spec, (const char *const *)request->awaits, core->names,
                            request->received_at, tasks_per_page, tag);
}

/* Checks whether the ids of the awaited jobs fit into a value of the state store, under its
 * present and its planned limits. The main record holds them and is written many times. */
static gboolean
awaits_fit_record (const HrCore *core, const HrUserRequest *request)
{
  g_autofree char *paged = first_record (core, request, 1, HR_LONGEST_TAG);
  return strlen (paged) <= hr_record_layout_planned_bytes (&core->store);
}

/* Returns the size of the awaited jobs' ids in the main record, in bytes. */
static gsize
awaits_bytes (const HrUserRequest *request)
{
  gsize bytes = 0;
  for (guint i = 0; request->awaits && request->awaits[i]; i++)
    bytes += strlen (request->awaits[i]) + strlen ("\"\",");
  return bytes;
}

/* ---- decisions ---- */

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

static guint
n_awaited (const HrUserRequest *request)
{
  return request->awaits ? g_strv_length (request->awaits) : 0;
}

/* Returns the memory that the job will need on each controller, in bytes. */
static gsize
job_bytes (const HrUserRequest *request)
{
  return hr_job_bytes (&request->spec, n_awaited (request));
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
  if (!hr_memory_budget_allows (core, job_bytes (request)))
    return hr_verdict_refuse_overloaded (HR_REFUSAL_MEMORY, MEMORY_RETRY_AFTER_S,
                                         "the controllers hold as many unfinished tasks as their "
                                         "memory allows; submit again later");
  if (hr_transactions_user_wait_s (&core->store) > MAX_WRITE_WAIT_S)
    return hr_verdict_refuse_overloaded (
        HR_REFUSAL_BACKLOG, ceil (hr_transactions_user_wait_s (&core->store) - MAX_WRITE_WAIT_S),
        "more submissions wait to be recorded than the state service takes in time; submit again");
  /* Known jobs are never forgotten, but an unknown job may just have been accepted by another
   * controller. */
  if (hr_dependencies_find_unknown (core, request->awaits))
    return hr_verdict (HR_VERDICT_READ_AWAITED);
  return decide_with_known_dependencies (core, request);
}

static HrVerdict
decide_submission (HrCore *core, const HrUserRequest *request)
{
  if (hr_user_request_has_final_answer (core, request))
    return hr_verdict_answer (200);
  if (hr_job_find (&core->store.tables, request->job_id))
    return hr_verdict (HR_VERDICT_READ);
  return decide_new_job (core, request);
}

/* Decides on a submission after a read that was sent after the submission arrived: a job that is
 * still unknown was not accepted before the submission. */
static HrVerdict
decide_after_awaited_read (HrCore *core, const HrUserRequest *request, gboolean read_ok)
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

/* Decides whether to repeat a write that was not confirmed. The read before it uses none of the
 * write-rate allowance and shows whether the earlier write was carried out. If it was not, it may
 * still be carried out later; that is safe, since the repeated write is identical. */
static HrVerdict
decide_after_retry_read (HrCore *core, const HrUserRequest *request, gboolean read_ok)
{
  if (read_ok && !hr_job_find (&core->store.tables, request->job_id) &&
      !hr_job_unreadable (&core->store.tables, request->job_id))
    return hr_verdict (HR_VERDICT_WRITE);
  return hr_user_request_decide_after_read (core, request, read_ok);
}

static HrVerdict
decide_after_failed_write (const HrCore *core, const HrUserRequest *request, int status)
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

/* ---- actions ---- */

/* Applies the record that the store has confirmed to the tables, unless the record was read
 * already. */
static void
apply_confirmed_submission (HrCore *core, const HrUserRequest *request, guint64 revision)
{
  HrJob *job = hr_job_get (&core->store.tables, request->job_id);
  if (job->is_known)
    return;
  job->is_known = TRUE;
  job->state = job->cancellation.reported_by_peer ? HR_JOB_CANCELLED : HR_JOB_QUEUED;
  job->record.revision = revision;
  job->submitted_at = request->received_at;
  g_free (job->record.tag);
  job->record.tag = g_strdup (request->write_tag);
  hr_job_load (&core->store.tables, job, &request->spec, request->tasks_per_page,
               n_awaited (request));
  if (!job->record.tasks_per_page)
    job->record.pages[0].revision = revision;
  hr_dependencies_job_read (core, job, (const char *const *)request->awaits);
  hr_job_open (core, job);
  core->scheduling.plan_is_stale = TRUE;
}

static void
on_written (HrStore *store, int status, json_t *body, double sent_at G_GNUC_UNUSED, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  g_auto (HrVerdict) verdict = {0};
  guint64 revision;
  if (status == 200 && hr_store_read_revision (body, &revision)) {
    apply_confirmed_submission (core, request, revision);
    verdict = hr_verdict_answer (201);
  } else {
    request->failed_writes++;
    verdict = decide_after_failed_write (core, request, status);
  }
  hr_user_request_apply_verdict (core, request, &verdict);
}

void
hr_submission_write (HrCore *core, HrUserRequest *request)
{
  g_autofree char *key = g_strconcat (JOB_KEY_PREFIX, request->job_id, NULL);
  if (!request->write_tag)
    request->write_tag = hr_core_new_tag (core);
  char *text = first_record (core, request, request->tasks_per_page, request->write_tag);
  g_autoptr (HrTransaction) transaction = hr_transaction_new ();
  hr_transaction_require (transaction, key, 0);
  hr_transaction_put (transaction, key, text);
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, transaction,
                         hr_user_request_timeout (core, request), on_written, request);
}

void
hr_submission_on_awaited_read (HrStore *store, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  g_auto (HrVerdict) verdict = decide_after_awaited_read (store->core, request, ok);
  hr_user_request_apply_verdict (store->core, request, &verdict);
}

void
hr_submission_on_retry_read (HrStore *store, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  g_auto (HrVerdict) verdict = decide_after_retry_read (store->core, request, ok);
  hr_user_request_apply_verdict (store->core, request, &verdict);
}

/* ---- receiving ---- */

/* Parses the body of a submission. Sets *invalid if the body is invalid. An invalid submission that
 * has a valid job id is still returned, since the job may have been accepted before; without a
 * valid id the result is NULL. */
static HrUserRequest *
parse_submission (HrCore *core, const HrCommand *command, GError **invalid)
{
  gsize length = 0;
  const char *data = command->body ? g_bytes_get_data (command->body, &length) : NULL;
  json_t *object = hr_json_parse (data, length, hr_submission_members, invalid);
  const char *id = NULL;
  HrJobSpec spec = {0};
  g_auto (GStrv) awaits = NULL;
  gboolean is_valid = object && hr_jobspec_parse (object, core->names, &spec, &id, invalid) &&
                      hr_jobspec_parse_awaits (object, &awaits, invalid);
  g_autofree char *id_of_invalid = object ? NULL : hr_submission_id (data, length);
  if (!object)
    id = id_of_invalid;
  HrUserRequest *request = NULL;
  if (is_valid || hr_job_id_valid (id)) {
    request = hr_user_request_new (command->id, HR_REQUEST_SUBMIT, id, core->wall_time);
    request->spec = spec;
    request->awaits = g_steal_pointer (&awaits);
  }
  json_decref (object);
  return request;
}

/* Decides on a request whose body is valid, unless `invalid` says why it is not. */
static HrVerdict
decide_received (HrCore *core, HrUserRequest *request, const GError *invalid)
{
  if (invalid)
    return hr_verdict_refuse (HR_VERDICT_REFUSE_IF_NEW, 400, invalid->message);
  return decide_submission (core, request);
}

static gboolean
may_be_written (const HrVerdict *verdict)
{
  return verdict->kind == HR_VERDICT_WRITE || verdict->kind == HR_VERDICT_READ_AWAITED;
}

static void
refuse_malformed (HrCore *core, const HrCommand *command, const GError *invalid)
{
  gboolean is_syntax = g_error_matches (invalid, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_SYNTAX);
  hr_refusal_record (core, is_syntax ? HR_REFUSAL_SYNTAX : HR_REFUSAL_FIELD, NULL,
                     invalid->message);
  hr_core_refuse (core, command->id, 400, 0, invalid->message);
}

void
hr_submission_received (HrCore *core, HrCommand *command)
{
  g_autoptr (GError) invalid = NULL;
  HrNamesMark names_before = hr_names_mark (core->names);
  HrUserRequest *request = parse_submission (core, command, &invalid);
  if (!request) {
    hr_names_reset (core->names, names_before);
    refuse_malformed (core, command, invalid);
    return;
  }
  g_auto (HrVerdict) verdict = decide_received (core, request, invalid);
  if (may_be_written (&verdict)) {
    request->tasks_per_page =
        hr_record_layout_choose (&core->store, &request->spec, awaits_bytes (request));
    hr_memory_reserve (core, &request->reservation, job_bytes (request));
  } else
    hr_names_reset (core->names, names_before); /* only a job that is written needs its names */
  hr_user_request_apply_verdict (core, request, &verdict);
}
