/* What users ask: polls, cancellations, readiness; submissions are in submissions.c. */
#include "coordination/jobs/user_requests.h"
#include "protocol/json_util.h"
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

static const char *const stances[] = {"queued", "done", "withdrawn"};

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
hr_request_refuse_later (HrCore *c, HrUserRequest *request, int status, const char *why)
{
  hr_core_refuse (c, request->reply_id, status, c->store.replica.is_unavailable ? 2 : 1, why);
  hr_request_free (request);
}

/* Why the job is where it is, for the person who waits for it. */
static char *
status_reason (HrCore *c, HrJob *j)
{
  if (j->state == HR_JOB_DONE)
    return g_strdup ("all tasks are done");
  char *others = hr_dependencies_reason (j);
  if (others)
    return others;
  if (j->state == HR_JOB_CANCELLED)
    return g_strdup ("withdrawn by its user");
  if (!c->leadership.is_leader)
    return g_strdup_printf ("%s plans this job", c->leadership.leader_label
                                                     ? c->leadership.leader_label
                                                     : "no controller yet");
  if (j->run.failures && j->run.retry_at > c->now)
    return g_strdup_printf ("failed %u times in a row (%s), last on %s; next try in %.0f s",
                            j->run.failures, hr_exit_name (j->run.last_failure),
                            hr_intern_name (&c->store.tables.machine_ids, j->run.failed_machine),
                            j->run.retry_at - c->now);
  if (j->run.attempt_ending)
    return g_strdup ("an attempt of the gang has ended; waiting for its last tasks to exit");
  if (j->run.n_live + j->n_done == j->n_tasks)
    return g_strdup ("every task has a machine");
  if (j->plan.next_scale_out_at > c->now)
    return g_strdup_printf ("needs %u machines at once, more than the cloud has given; more are "
                            "asked for in %.0f s",
                            j->n_tasks, j->plan.next_scale_out_at - c->now);
  return g_strdup_printf ("%u tasks wait for room; %u of them stand in a machine's plan; "
                          "%u machines are starting",
                          j->n_tasks - j->run.n_live - j->n_done, j->plan.n_listed,
                          c->scheduling.booting_machines);
}

void
hr_request_answer (HrCore *c, HrUserRequest *request, HrJob *j, int status)
{
  guint32 running = 0, done = j->state == HR_JOB_DONE ? j->n_tasks : j->n_recorded_done;
  for (guint32 i = 0; j->tasks && i < j->n_tasks && j->state == HR_JOB_QUEUED; i++)
    running += !j->tasks[i].done_recorded &&
               (c->leadership.is_leader ? j->tasks[i].state == HR_TASK_BOUND &&
                                              j->tasks[i].reported_state == HR_REPORTED_RUNNING
                                        : j->tasks[i].recorded.machine != HR_NONE);
  const char *st = j->state == HR_JOB_QUEUED && running ? "running" : stances[j->state];
  g_autofree char *why = status_reason (c, j);
  hr_core_reply (c, request->reply_id, status,
                 json_pack ("{sssssisiss}", "name_id", request->id, "stance", st, "done", (int)done,
                            "running", (int)running, "reason", why),
                 0);
  hr_request_free (request);
}

double
hr_request_timeout (const HrCore *c, const HrUserRequest *request)
{
  double least = request->attempts < SHORT_ATTEMPTS ? SHORT_TIMEOUT_S : LATER_TIMEOUT_S;
  return CLAMP (LATENCIES * c->store.replica.read_latency_s, least, MAX_TIMEOUT_S);
}

gboolean
hr_request_may_try_again (HrCore *c, HrUserRequest *request, int status)
{
  return (status == 0 || status == 409 || status == 429) && ++request->attempts < MAX_ATTEMPTS &&
         c->wall_time - request->asked < GIVE_UP_S;
}

static void send_cancel (HrCore *c, HrUserRequest *request);

void
hr_request_on_read (HrCore *c, gboolean ok, gpointer data)
{
  HrUserRequest *request = data;
  HrJob *j = hr_job_find (c, request->id);
  if (!ok) {
    hr_request_refuse_later (c, request, 503,
                             "the state service cannot be read just now; ask again");
    return;
  }
  if (hr_job_unreadable (c, request->id)) {
    /* It was accepted, and neither 404 nor an older state may be said of it. */
    hr_request_refuse_later (c, request, 503, "its record cannot be read; ask again");
    return;
  }
  if (!j) {
    if (request->refusal) {
      hr_core_refuse (c, request->reply_id, request->refusal, 0, request->why_not);
      hr_request_free (request);
    } else if (request->kind == HR_REQUEST_SUBMIT)
      /* It gets here after a 409, so its record exists. */
      hr_request_refuse_later (c, request, 503, "its record is being written; ask again");
    else {
      hr_core_refuse (c, request->reply_id, 404, 0, "no such job was accepted");
      hr_request_free (request);
    }
  } else if (request->kind == HR_REQUEST_CANCEL && j->state == HR_JOB_QUEUED)
    send_cancel (c, request);
  else
    hr_request_answer (c, request, j, 200);
}

gboolean
hr_request_answer_final (HrCore *c, HrUserRequest *request)
{
  HrJob *j = hr_job_find (c, request->id);
  if (!j || j->state == HR_JOB_QUEUED || j->cancellation.told_by_peer)
    return FALSE;
  hr_request_answer (c, request, j, 200);
  return TRUE;
}

/* ---- cancellations ---- */

/* The record with its tasks is larger than the state service takes. Its user asks again, and
 * meanwhile the leader splits it. */
static void
split_first (HrCore *c, HrUserRequest *request, HrJob *j)
{
  hr_record_format_note_oversized (c, j);
  hr_request_refuse_later (c, request, 503, "the job's record is being split; ask again");
}

static void
on_cancel (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  HrUserRequest *request = data;
  HrJob *j = hr_job_find (c, request->id);
  guint64 store_revision;
  if (status == 200 && j && hr_json_count (body, "epoch", G_MAXINT64, &store_revision)) {
    hr_cancellation_log_append (c, j, store_revision);
    if (j->state == HR_JOB_QUEUED && store_revision > j->record.revision) {
      j->state = HR_JOB_CANCELLED;
      j->record.revision = store_revision;
      if (!j->record.tasks_per_page && j->record.pages)
        j->record.pages[0].revision = store_revision;
      if (c->leadership.is_leader)
        hr_job_cancelled (c, j);
      hr_dependencies_job_final (c, j);
    }
    hr_request_answer (c, request, j, 200);
  } else if (status == 400 && c->store.format.supported && j && j->tasks) {
    c->store.format.planned_limits_in_force |= request->bytes > hr_record_layout_planned_bytes (c);
    split_first (c, request, j);
  } else if (hr_request_may_try_again (c, request, status))
    hr_replica_read (c, hr_request_on_read,
                     request); /* the record may have moved on: read, then try again */
  else
    hr_request_refuse_later (c, request, 503, "the cancellation is not confirmed; ask again");
}

static void
send_cancel (HrCore *c, HrUserRequest *request)
{
  HrJob *j = hr_job_find (c, request->id);
  g_autofree char *key = hr_job_record_key (j);
  g_free (request->tag);
  request->tag = hr_core_new_tag (c);
  char *text = hr_record_main (j, c->names, &c->store.tables.machine_ids, HR_JOB_CANCELLED,
                               request->tag, FALSE);
  request->bytes = strlen (text);
  if (request->bytes > hr_record_layout_max_bytes (c)) {
    g_free (text);
    split_first (c, request, j);
    return;
  }
  json_t *when = hr_transaction_require (json_array (), key, j->record.revision);
  json_t *writes = hr_transaction_put (json_array (), key, text, 0);
  hr_transaction_submit (c, HR_TRANSACTION_USER, when, writes, 1, hr_request_timeout (c, request),
                         on_cancel, request);
}

/* ---- the door ---- */

static void
answer_readiness (HrCore *c, HrCommand *cmd)
{
  if (!c->scaling.machine_types || !c->store.replica.synced_once)
    hr_core_refuse (c, cmd->id, 503, 1, "still reading the ledger and the machine types");
  else if (!hr_replica_is_served (c) && !hr_membership_store_outage_for_all (c))
    hr_core_refuse (c, cmd->id, 503, 1, "the state service does not answer this node");
  else
    hr_core_reply (c, cmd->id, 200, json_pack ("{sb}", "ready", 1), 0);
}

void
hr_user_request_received (HrCore *c, HrCommand *cmd)
{
  const char *p = cmd->path;
  if (strcmp (p, "/ready") == 0) {
    if (cmd->method == HR_GET)
      answer_readiness (c, cmd);
    else
      hr_core_refuse (c, cmd->id, 405, 0, "use GET");
    return;
  }
  if (strcmp (p, HR_JOBS_PATH) == 0) {
    if (cmd->method != HR_POST)
      hr_core_refuse (c, cmd->id, 405, 0, "use POST");
    else if (cmd->too_large)
      hr_core_refuse (c, cmd->id, 400, 0, "the body is larger than 64 KiB");
    else
      hr_submit (c, cmd);
    return;
  }
  if (!g_str_has_prefix (p, HR_JOBS_PATH "/")) {
    hr_core_refuse (c, cmd->id, 404, 0, "no such path");
    return;
  }
  g_autofree char *id = g_strdup (p + strlen (HR_JOBS_PATH "/"));
  gboolean abort = g_str_has_suffix (id, "/abort");
  if (abort)
    id[strlen (id) - strlen ("/abort")] = 0;
  if (strchr (id, '/') || cmd->method != (abort ? HR_POST : HR_GET)) {
    hr_core_refuse (c, cmd->id, strchr (id, '/') ? 404 : 405, 0,
                    strchr (id, '/') ? "no such path"
                    : abort          ? "use POST"
                                     : "use GET");
    return;
  }
  if (!hr_job_id_valid (id)) {
    hr_core_refuse (c, cmd->id, 404, 0, "no such job was accepted");
    return;
  }
  HrUserRequest *request = g_new0 (HrUserRequest, 1);
  request->reply_id = cmd->id;
  request->kind = abort ? HR_REQUEST_CANCEL : HR_REQUEST_POLL;
  request->id = g_steal_pointer (&id);
  request->asked = c->wall_time;
  if (!hr_request_answer_final (c, request))
    hr_replica_read (c, hr_request_on_read, request);
}
