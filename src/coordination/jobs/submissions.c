/* Submissions: accepted when the first record of the job is written, or found. */
#include "coordination/jobs/submissions.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/jobs/admission.h"
#include "coordination/jobs/arrivals.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/user_requests.h"
#include "coordination/state.h"
#include "protocol/json_util.h"
#include "protocol/store_api.h"
#include <string.h>

/* A job that was accepted stays so whatever its repeated submission says, and a repetition is
 * known by its id alone. Only a reading sent after it came tells that the job is new here, and
 * not one that another node has accepted and this one has not followed yet. */
static void
refuse_if_new (HrCore *core, HrUserRequest *request, int status, const char *why)
{
  request->refusal = status;
  request->why_not = g_strdup (why);
  if (!hr_request_answer_final (core, request))
    hr_replica_read (&core->store, hr_request_on_read, request);
}

static void send_submit (HrCore *core, HrUserRequest *request);

/* The job's first main record. */
static char *
first_record (HrCore *core, const HrUserRequest *request, guint tasks_per_page, const char *tag)
{
  return hr_record_first (&request->spec, (const char *const *)request->awaits, core->names,
                          request->asked, tasks_per_page, tag);
}

/* Where the job's tasks stand. FALSE: what it awaits is more than a value of the state service
 * holds, now or at its next limits; the main record is written many times, and has to fit. */
static gboolean
lay_out (HrCore *core, HrUserRequest *request)
{
  gsize awaits = 0;
  for (guint i = 0; request->awaits && request->awaits[i]; i++)
    awaits += strlen (request->awaits[i]) + strlen ("\"\",");
  request->per_page = hr_record_layout_choose (&core->store, &request->spec, awaits);
  g_autofree char *paged = first_record (core, request, 1, HR_LONGEST_TAG);
  return strlen (paged) <= hr_record_layout_planned_bytes (&core->store);
}

/* A reading costs nothing of what may be written, and tells whether an earlier try of the write
 * was carried out. If not yet, it may still come: the next one is the same. */
static void
on_unsure_read (HrStore *store, gboolean ok, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  if (ok && !hr_job_find (&core->store.tables, request->id) &&
      !hr_job_unreadable (&core->store.tables, request->id))
    send_submit (core, request);
  else
    hr_request_on_read (store, ok, data);
}

static void
on_submit (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  guint64 store_revision;
  if (status == 200 && hr_store_read_revision (body, &store_revision)) {
    HrJob *job = hr_job_get (&core->store.tables, request->id);
    if (!job->is_known) {
      job->is_known = TRUE;
      job->state = job->cancellation.told_by_peer ? HR_JOB_CANCELLED : HR_JOB_QUEUED;
      job->record.revision = store_revision;
      job->submitted_at = request->asked;
      g_free (job->record.tag);
      job->record.tag = g_strdup (request->tag);
      hr_job_set_spec (job, &request->spec, request->per_page);
      if (!job->record.tasks_per_page)
        job->record.pages[0].revision = store_revision;
      hr_dependencies_job_read (core, job, (const char *const *)request->awaits);
      hr_job_open (core, job);
      core->scheduling.plan_is_stale = TRUE;
    }
    hr_request_answer (core, request, job, 201);
  } else if (status == 409)
    hr_replica_read (&core->store, hr_request_on_read,
                     request); /* there already: by an earlier try, perhaps */
  else if (hr_request_may_try_again (core, request, status))
    hr_replica_read (&core->store, on_unsure_read,
                     request); /* lost, or the service is pacing our writes */
  else
    hr_request_refuse_later (core, request, status == 429 ? 429 : 503,
                             status == 429
                                 ? "too many jobs at once; submit again"
                                 : "the state service did not confirm the job; submit again");
}

static void
send_submit (HrCore *core, HrUserRequest *request)
{
  g_autofree char *key = g_strconcat ("h/j/", request->id, NULL);
  if (!request->tag)
    request->tag = hr_core_new_tag (core);
  json_t *when = hr_transaction_require (json_array (), key, 0);
  json_t *writes = hr_transaction_put (
      json_array (), key, first_record (core, request, request->per_page, request->tag), 0);
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, when, writes, 1,
                         hr_request_timeout (core, request), on_submit, request);
}

/* All jobs that it awaits are known. A service among them is never done, so the job could never
 * run; one that was cancelled takes the job along like any other. */
static void
submit_if_possible (HrCore *core, HrUserRequest *request)
{
  const char *service = hr_dependencies_find_service (core, request->awaits);
  if (!service) {
    send_submit (core, request);
    return;
  }
  g_autofree char *why = g_strdup_printf ("it awaits %s, a service, which is never done", service);
  refuse_if_new (core, request, 422, why);
}

/* A reading sent after the submission came: what is unknown now was never accepted. */
static void
on_awaits_read (HrStore *store, gboolean ok, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  const char *unknown = hr_dependencies_find_unknown (core, request->awaits);
  HrJob *job = hr_job_find (&core->store.tables, request->id);
  if (!ok || hr_job_unreadable (&core->store.tables, request->id))
    hr_request_refuse_later (core, request, 503,
                             "the jobs that it awaits cannot be looked up; submit again");
  else if (job)
    hr_request_answer (core, request, job, 200); /* an earlier try of this submission */
  else if (!unknown)
    submit_if_possible (core, request);
  else {
    g_autofree char *why = g_strdup_printf ("it awaits %s, which was never accepted", unknown);
    hr_core_refuse (core, request->reply_id, 422, 0, why);
    hr_request_free (request);
  }
}

void
hr_submit (HrCore *core, HrCommand *command)
{
  gsize len = 0;
  const char *data = command->body ? g_bytes_get_data (command->body, &len) : NULL;
  g_autoptr (GError) error = NULL;
  const char *id = NULL;
  HrJobSpec spec;
  GStrv awaits = NULL;
  json_t *object = hr_json_parse (data, len, &error);
  gboolean valid = object && hr_jobspec_parse (object, core->names, &spec, &id, &error) &&
                   hr_jobspec_awaits (object, &awaits, &error);
  if (!valid && !hr_job_id_valid (id)) {
    hr_core_refuse (core, command->id, 400, 0, error->message);
    json_decref (object);
    return;
  }
  HrUserRequest *request = g_new0 (HrUserRequest, 1);
  request->reply_id = command->id;
  request->kind = HR_REQUEST_SUBMIT;
  request->id = g_strdup (id);
  request->spec = spec;
  request->awaits = awaits;
  request->asked = core->wall_time;
  json_decref (object);
  if (!valid) {
    refuse_if_new (core, request, 400, error->message);
    return;
  }
  if (hr_request_answer_final (core, request))
    return;
  if (hr_job_find (&core->store.tables, request->id)) {
    hr_replica_read (&core->store, hr_request_on_read, request);
    return;
  }
  if (!core->scaling.machine_types || !core->store.replica.synced_once) {
    hr_request_refuse_later (core, request, 503, "this node has only just started; submit again");
    return;
  }
  g_autofree char *never = hr_admission_refusal_reason (core, &spec);
  if (never) {
    refuse_if_new (core, request, 422, never);
    return;
  }
  if (!lay_out (core, request)) {
    refuse_if_new (core, request, 400, "field awaits: more jobs than the job's record can hold");
    return;
  }
  if (core->store.replica.is_unavailable || core->store.replica.state != HR_REPLICA_FOLLOWING) {
    hr_request_refuse_later (core, request, 503, "the state service does not answer; submit again");
    return;
  }
  /* Known jobs never vanish; what is not known may have been accepted elsewhere just now. */
  if (hr_dependencies_find_unknown (core, request->awaits))
    hr_replica_read (&core->store, on_awaits_read, request);
  else
    submit_if_possible (core, request);
}
