/* Submissions: accepted when the first record of the job is written, or found. */
#include "coordination/jobs/user_requests.h"
#include "protocol/json_util.h"
#include <string.h>

/* A job that was accepted stays so whatever its repeated submission says, and a repetition is
 * known by its id alone. Only a reading sent after it came tells that the job is new here, and
 * not one that another node has accepted and this one has not followed yet. */
static void
refuse_if_new (HrCore *c, HrUserRequest *request, int status, const char *why)
{
  request->refusal = status;
  request->why_not = g_strdup (why);
  if (!hr_request_answer_final (c, request))
    hr_replica_read (c, hr_request_on_read, request);
}

static void send_submit (HrCore *c, HrUserRequest *request);

/* The job's first main record. */
static char *
first_record (HrCore *c, const HrUserRequest *request, guint tasks_per_page, const char *tag)
{
  return hr_record_first (&request->spec, (const char *const *)request->awaits, c->names,
                          request->asked, tasks_per_page, tag);
}

/* Where the job's tasks stand. FALSE: what it awaits is more than a value of the state service
 * holds, now or at its next limits; the main record is written many times, and has to fit. */
static gboolean
lay_out (HrCore *c, HrUserRequest *request)
{
  gsize awaits = 0;
  for (guint i = 0; request->awaits && request->awaits[i]; i++)
    awaits += strlen (request->awaits[i]) + strlen ("\"\",");
  request->per_page = hr_record_layout_choose (c, &request->spec, awaits);
  g_autofree char *paged = first_record (c, request, 1, HR_LONGEST_TAG);
  return strlen (paged) <= hr_record_layout_planned_bytes (c);
}

/* A reading costs nothing of what may be written, and tells whether an earlier try of the write
 * was carried out. If not yet, it may still come: the next one is the same. */
static void
on_unsure_read (HrCore *c, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  if (ok && !hr_job_find (c, request->id) && !hr_job_unreadable (c, request->id))
    send_submit (c, request);
  else
    hr_request_on_read (c, ok, data);
}

static void
on_submit (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  HrUserRequest *request = data;
  guint64 store_revision;
  if (status == 200 && hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    HrJob *j = hr_job_get (c, request->id);
    if (!j->is_known) {
      j->is_known = TRUE;
      j->state = j->cancellation.told_by_peer ? HR_JOB_CANCELLED : HR_JOB_QUEUED;
      j->record.revision = store_revision;
      j->submitted_at = request->asked;
      g_free (j->record.tag);
      j->record.tag = g_strdup (request->tag);
      hr_job_set_spec (j, &request->spec, request->per_page);
      if (!j->record.tasks_per_page)
        j->record.pages[0].revision = store_revision;
      hr_dependencies_job_read (c, j, (const char *const *)request->awaits);
      hr_job_open (c, j);
      c->scheduling.plan_is_stale = TRUE;
    }
    hr_request_answer (c, request, j, 201);
  } else if (status == 409)
    hr_replica_read (c, hr_request_on_read,
                     request); /* there already: by an earlier try, perhaps */
  else if (hr_request_may_try_again (c, request, status))
    hr_replica_read (c, on_unsure_read, request); /* lost, or the service is pacing our writes */
  else
    hr_request_refuse_later (c, request, status == 429 ? 429 : 503,
                             status == 429
                                 ? "too many jobs at once; submit again"
                                 : "the state service did not confirm the job; submit again");
}

static void
send_submit (HrCore *c, HrUserRequest *request)
{
  g_autofree char *key = g_strconcat ("h/j/", request->id, NULL);
  if (!request->tag)
    request->tag = hr_core_new_tag (c);
  json_t *when = hr_transaction_require (json_array (), key, 0);
  json_t *writes = hr_transaction_put (
      json_array (), key, first_record (c, request, request->per_page, request->tag), 0);
  hr_transaction_submit (c, HR_TRANSACTION_USER, when, writes, 1, hr_request_timeout (c, request),
                         on_submit, request);
}

/* All jobs that it awaits are known. A service among them is never done, so the job could never
 * run; one that was withdrawn takes the job along like any other. */
static void
submit_if_possible (HrCore *c, HrUserRequest *request)
{
  const char *service = hr_dependencies_find_service (c, request->awaits);
  if (!service) {
    send_submit (c, request);
    return;
  }
  g_autofree char *why = g_strdup_printf ("it awaits %s, a service, which is never done", service);
  refuse_if_new (c, request, 422, why);
}

/* A reading sent after the submission came: what is unknown now was never accepted. */
static void
on_awaits_read (HrCore *c, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  const char *unknown = hr_dependencies_find_unknown (c, request->awaits);
  HrJob *j = hr_job_find (c, request->id);
  if (!ok || hr_job_unreadable (c, request->id))
    hr_request_refuse_later (c, request, 503,
                             "the jobs that it awaits cannot be looked up; submit again");
  else if (j)
    hr_request_answer (c, request, j, 200); /* an earlier try of this submission */
  else if (!unknown)
    submit_if_possible (c, request);
  else {
    g_autofree char *why = g_strdup_printf ("it awaits %s, which was never accepted", unknown);
    hr_core_refuse (c, request->reply_id, 422, 0, why);
    hr_request_free (request);
  }
}

void
hr_submit (HrCore *c, HrCommand *cmd)
{
  gsize len = 0;
  const char *data = cmd->body ? g_bytes_get_data (cmd->body, &len) : NULL;
  g_autofree char *why = NULL;
  const char *id = NULL;
  HrJobSpec spec;
  GStrv awaits = NULL;
  json_t *o = hr_json_parse (data, len, &why);
  gboolean valid =
      o && hr_jobspec_parse (o, c->names, &spec, &id, &why) && hr_jobspec_awaits (o, &awaits, &why);
  if (!valid && !hr_job_id_valid (id)) {
    hr_core_refuse (c, cmd->id, 400, 0, why);
    json_decref (o);
    return;
  }
  HrUserRequest *request = g_new0 (HrUserRequest, 1);
  request->reply_id = cmd->id;
  request->kind = HR_REQUEST_SUBMIT;
  request->id = g_strdup (id);
  request->spec = spec;
  request->awaits = awaits;
  request->asked = c->wall_time;
  json_decref (o);
  if (!valid) {
    refuse_if_new (c, request, 400, why);
    return;
  }
  if (hr_request_answer_final (c, request))
    return;
  if (hr_job_find (c, request->id)) {
    hr_replica_read (c, hr_request_on_read, request);
    return;
  }
  if (!c->scaling.machine_types || !c->store.replica.synced_once) {
    hr_request_refuse_later (c, request, 503, "this node has only just started; submit again");
    return;
  }
  g_autofree char *never = hr_admission_refusal_reason (c, &spec);
  if (never) {
    refuse_if_new (c, request, 422, never);
    return;
  }
  if (!lay_out (c, request)) {
    refuse_if_new (c, request, 400, "field awaits: more jobs than the job's record can hold");
    return;
  }
  if (c->store.replica.is_unavailable || c->store.replica.state != HR_REPLICA_FOLLOWING) {
    hr_request_refuse_later (c, request, 503, "the state service does not answer; submit again");
    return;
  }
  /* Known jobs never vanish; what is not known may have been accepted elsewhere just now. */
  if (hr_dependencies_find_unknown (c, request->awaits))
    hr_replica_read (c, on_awaits_read, request);
  else
    submit_if_possible (c, request);
}
