/* Submissions: parsing, the write, and the handling of its response. */
#include "coordination/jobs/submissions.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/store_keys.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/jobs/open_jobs.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/submission_decisions.h"
#include "protocol/messages.h"
#include "protocol/store_api.h"
#include <string.h>

/* Prefix of the key of a job's main record in the state store. */
#define JOB_KEY_PREFIX "h/j/"

/* ---- the job's first record ---- */

static char *
first_record (const HrCore *core, const HrUserRequest *request, guint tasks_per_page,
              const char *tag)
{
  return hr_record_initial (&request->spec, (const char *const *)request->awaits, core->names,
                            request->received_at, tasks_per_page, tag);
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
               hr_user_request_n_awaited (request));
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
    verdict = hr_submission_decide_after_failed_write (core, request, status);
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
  g_auto (HrVerdict) verdict = hr_submission_decide_after_awaited_read (store->core, request, ok);
  hr_user_request_apply_verdict (store->core, request, &verdict);
}

void
hr_submission_on_retry_read (HrStore *store, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  g_auto (HrVerdict) verdict = hr_submission_decide_after_retry_read (store->core, request, ok);
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
  return hr_submission_decide (core, request);
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
    hr_memory_reserve (core, &request->reservation, hr_submission_job_bytes (request));
  } else
    hr_names_reset (core->names, names_before); /* only a job that is written needs its names */
  hr_user_request_apply_verdict (core, request, &verdict);
}
