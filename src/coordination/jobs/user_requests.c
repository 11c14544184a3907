/* What users ask: polls, cancellations, readiness; submissions are in submissions.c. */
#include "coordination/jobs/user_requests.h"
#include "bookkeeping/record_format.h"
#include "bookkeeping/record_layout.h"
#include "bookkeeping/replica.h"
#include "bookkeeping/transactions.h"
#include "coordination/effects.h"
#include "coordination/jobs/dependencies.h"
#include "coordination/jobs/submissions.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/membership/cancellation_log.h"
#include "coordination/membership/membership.h"
#include "coordination/state.h"
#include "protocol/http_method.h"
#include "protocol/json_util.h"
#include "protocol/messages.h"
#include "protocol/store_api.h"
#include <string.h>

#define MAX_ATTEMPTS 6
/* How long a write of a user's waits for its answer, in seconds: most come within milliseconds,
 * and one that is lost does not come at all. But where the state service is slow, another try
 * would only add to what it has to do. */
#define SHORT_TIMEOUT_S 0.15
#define SHORT_ATTEMPTS 3
#define LATER_TIMEOUT_S 1.0
#define MAX_TIMEOUT_S 2.0
#define LATENCIES 4 /* so many times as long as the latest readings took */
/* Who asks waits 5 s. After so long no further try is made for him. */
#define GIVE_UP_S 2.5

/* What users are told, by HrJobState. */
static const HrJobStatusState status_states[] = {HR_JOB_STATUS_QUEUED, HR_JOB_STATUS_DONE,
                                                 HR_JOB_STATUS_CANCELLED};

void
hr_request_free (HrUserRequest *request)
{
  g_free (request->id);
  g_free (request->tag);
  g_free (request->why_not);
  g_strfreev (request->awaits);
  g_free (request);
}

void
hr_request_refuse_later (HrCore *core, HrUserRequest *request, int status, const char *why)
{
  hr_core_refuse (core, request->reply_id, status, core->store.replica.is_unavailable ? 2 : 1, why);
  hr_request_free (request);
}

/* Why the job is where it is, for the person who waits for it. */
static char *
status_reason (HrCore *core, HrJob *job)
{
  if (job->state == HR_JOB_DONE)
    return g_strdup ("all tasks are done");
  char *others = hr_dependencies_reason (job);
  if (others)
    return others;
  if (job->state == HR_JOB_CANCELLED)
    return g_strdup ("withdrawn by its user");
  if (!core->leadership.is_leader)
    return g_strdup_printf ("%s plans this job", core->leadership.leader_label
                                                     ? core->leadership.leader_label
                                                     : "no controller yet");
  if (job->run.failures && job->run.retry_at > core->now)
    return g_strdup_printf (
        "failed %u times in a row (%s), last on %s; next try in %.0f s", job->run.failures,
        hr_exit_name (job->run.last_failure),
        hr_intern_name (&core->store.tables.machine_ids, job->run.failed_machine),
        job->run.retry_at - core->now);
  if (job->run.attempt_ending)
    return g_strdup ("an attempt of the gang has ended; waiting for its last tasks to exit");
  if (job->run.n_live + job->n_done == job->n_tasks)
    return g_strdup ("every task has a machine");
  if (job->plan.next_scale_out_at > core->now)
    return g_strdup_printf ("needs %u machines at once, more than the cloud has given; more are "
                            "asked for in %.0f s",
                            job->n_tasks, job->plan.next_scale_out_at - core->now);
  return g_strdup_printf ("%u tasks wait for room; %u of them stand in a machine's plan; "
                          "%u machines are starting",
                          job->n_tasks - job->run.n_live - job->n_done, job->plan.n_listed,
                          core->scheduling.booting_machines);
}

void
hr_request_answer (HrCore *core, HrUserRequest *request, HrJob *job, int status)
{
  guint32 running = 0, done = job->state == HR_JOB_DONE ? job->n_tasks : job->n_recorded_done;
  for (guint32 i = 0; job->tasks && i < job->n_tasks && job->state == HR_JOB_QUEUED; i++)
    running += !job->tasks[i].done_recorded &&
               (core->leadership.is_leader ? job->tasks[i].state == HR_TASK_BOUND &&
                                                 job->tasks[i].reported_state == HR_REPORTED_RUNNING
                                           : job->tasks[i].recorded.machine != HR_NONE);
  HrJobStatusState state =
      job->state == HR_JOB_QUEUED && running ? HR_JOB_STATUS_RUNNING : status_states[job->state];
  g_autofree char *why = status_reason (core, job);
  hr_core_reply (core, request->reply_id, status,
                 hr_job_status_body (request->id, state, done, running, why), 0);
  hr_request_free (request);
}

double
hr_request_timeout (const HrCore *core, const HrUserRequest *request)
{
  double least = request->attempts < SHORT_ATTEMPTS ? SHORT_TIMEOUT_S : LATER_TIMEOUT_S;
  return CLAMP (LATENCIES * core->store.replica.read_latency_s, least, MAX_TIMEOUT_S);
}

gboolean
hr_request_may_try_again (HrCore *core, HrUserRequest *request, int status)
{
  return (status == 0 || status == 409 || status == 429) && ++request->attempts < MAX_ATTEMPTS &&
         core->wall_time - request->asked < GIVE_UP_S;
}

static void send_cancel (HrCore *core, HrUserRequest *request);

void
hr_request_on_read (HrStore *store, gboolean ok, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  HrJob *job = hr_job_find (&core->store.tables, request->id);
  if (!ok) {
    hr_request_refuse_later (core, request, 503,
                             "the state service cannot be read just now; ask again");
    return;
  }
  if (hr_job_unreadable (&core->store.tables, request->id)) {
    /* It was accepted, and neither 404 nor an older state may be said of it. */
    hr_request_refuse_later (core, request, 503, "its record cannot be read; ask again");
    return;
  }
  if (!job) {
    if (request->refusal) {
      hr_core_refuse (core, request->reply_id, request->refusal, 0, request->why_not);
      hr_request_free (request);
    } else if (request->kind == HR_REQUEST_SUBMIT)
      /* It gets here after a 409, so its record exists. */
      hr_request_refuse_later (core, request, 503, "its record is being written; ask again");
    else {
      hr_core_refuse (core, request->reply_id, 404, 0, "no such job was accepted");
      hr_request_free (request);
    }
  } else if (request->kind == HR_REQUEST_CANCEL && job->state == HR_JOB_QUEUED)
    send_cancel (core, request);
  else
    hr_request_answer (core, request, job, 200);
}

gboolean
hr_request_answer_final (HrCore *core, HrUserRequest *request)
{
  HrJob *job = hr_job_find (&core->store.tables, request->id);
  if (!job || job->state == HR_JOB_QUEUED || job->cancellation.told_by_peer)
    return FALSE;
  hr_request_answer (core, request, job, 200);
  return TRUE;
}

/* ---- cancellations ---- */

/* The record with its tasks is larger than the state service takes. Its user asks again, and
 * meanwhile the leader splits it. */
static void
split_first (HrCore *core, HrUserRequest *request, HrJob *job)
{
  hr_record_format_note_oversized (&core->store, job);
  hr_request_refuse_later (core, request, 503, "the job's record is being split; ask again");
}

static void
on_cancel (HrStore *store, int status, json_t *body, double sent, gpointer data)
{
  HrCore *core = store->core;
  HrUserRequest *request = data;
  HrJob *job = hr_job_find (&core->store.tables, request->id);
  guint64 store_revision;
  if (status == 200 && job && hr_store_read_revision (body, &store_revision)) {
    hr_cancellation_log_append (core, job, store_revision);
    if (job->state == HR_JOB_QUEUED && store_revision > job->record.revision) {
      job->state = HR_JOB_CANCELLED;
      job->record.revision = store_revision;
      if (!job->record.tasks_per_page && job->record.pages)
        job->record.pages[0].revision = store_revision;
      if (core->leadership.is_leader)
        hr_job_cancelled (core, job);
      hr_dependencies_job_final (core, job);
    }
    hr_request_answer (core, request, job, 200);
  } else if (status == 400 && core->store.format.supported && job && job->tasks) {
    core->store.format.planned_limits_in_force |=
        request->bytes > hr_record_layout_planned_bytes (&core->store);
    split_first (core, request, job);
  } else if (hr_request_may_try_again (core, request, status))
    hr_replica_read (&core->store, hr_request_on_read,
                     request); /* the record may have moved on: read, then try again */
  else
    hr_request_refuse_later (core, request, 503, "the cancellation is not confirmed; ask again");
}

static void
send_cancel (HrCore *core, HrUserRequest *request)
{
  HrJob *job = hr_job_find (&core->store.tables, request->id);
  g_autofree char *key = hr_job_record_key (job);
  g_free (request->tag);
  request->tag = hr_core_new_tag (core);
  char *text = hr_record_main (job, core->names, &core->store.tables.machine_ids, HR_JOB_CANCELLED,
                               request->tag, FALSE);
  request->bytes = strlen (text);
  if (request->bytes > hr_record_layout_max_bytes (&core->store)) {
    g_free (text);
    split_first (core, request, job);
    return;
  }
  json_t *when = hr_transaction_require (json_array (), key, job->record.revision);
  json_t *writes = hr_transaction_put (json_array (), key, text, 0);
  hr_transaction_submit (&core->store, HR_TRANSACTION_USER, when, writes, 1,
                         hr_request_timeout (core, request), on_cancel, request);
}

/* ---- the door ---- */

static void
answer_readiness (HrCore *core, HrCommand *command)
{
  if (!core->scaling.machine_types || !core->store.replica.synced_once)
    hr_core_refuse (core, command->id, 503, 1, "still reading the ledger and the machine types");
  else if (!hr_replica_is_served (&core->store) && !hr_membership_store_outage_for_all (core))
    hr_core_refuse (core, command->id, 503, 1, "the state service does not answer this node");
  else
    hr_core_reply (core, command->id, 200, json_pack ("{sb}", "ready", 1), 0);
}

void
hr_user_request_received (HrCore *core, HrCommand *command)
{
  const char *text = command->request.path;
  if (strcmp (text, HR_READY_PATH) == 0) {
    if (command->request.method == HR_GET)
      answer_readiness (core, command);
    else
      hr_core_refuse (core, command->id, 405, 0, "use GET");
    return;
  }
  if (strcmp (text, HR_JOBS_PATH) == 0) {
    if (command->request.method != HR_POST)
      hr_core_refuse (core, command->id, 405, 0, "use POST");
    else if (command->request.is_too_large)
      hr_core_refuse (core, command->id, 400, 0, "the body is larger than 64 KiB");
    else
      hr_submit (core, command);
    return;
  }
  if (!g_str_has_prefix (text, HR_JOBS_PATH "/")) {
    hr_core_refuse (core, command->id, 404, 0, "no such path");
    return;
  }
  g_autofree char *id = g_strdup (text + strlen (HR_JOBS_PATH "/"));
  gboolean is_cancel = hr_cancel_path_strip (id);
  if (strchr (id, '/') || command->request.method != (is_cancel ? HR_POST : HR_GET)) {
    hr_core_refuse (core, command->id, strchr (id, '/') ? 404 : 405, 0,
                    strchr (id, '/') ? "no such path"
                    : is_cancel      ? "use POST"
                                     : "use GET");
    return;
  }
  if (!hr_job_id_valid (id)) {
    hr_core_refuse (core, command->id, 404, 0, "no such job was accepted");
    return;
  }
  HrUserRequest *request = g_new0 (HrUserRequest, 1);
  request->reply_id = command->id;
  request->kind = is_cancel ? HR_REQUEST_CANCEL : HR_REQUEST_POLL;
  request->id = g_steal_pointer (&id);
  request->asked = core->wall_time;
  if (!hr_request_answer_final (core, request))
    hr_replica_read (&core->store, hr_request_on_read, request);
}
