/* What users ask: submissions, polls, cancellations, readiness. */
#include "coordination/state.h"
#include "protocol/jsonx.h"
#include <string.h>

#define MAX_TRIES 6
/* How long a write of a user's waits for its answer, in seconds: most come within milliseconds,
 * and one that is lost does not come at all. But where the state service is slow, another try
 * would only add to what it has to do. */
#define SHORT_TRY_S 0.15
#define SHORT_TRIES 3
#define LATER_TRY_S 1.0
#define LONGEST_TRY_S 2.0
#define LATENCIES 4 /* so many times as long as the latest readings took */
/* Who asks waits 5 s. After so long no further try is made for him. */
#define GIVE_UP_S 2.5

static const char *const stances[] = {"queued", "done", "withdrawn"};

typedef enum { REQUEST_POLL, REQUEST_SUBMIT, REQUEST_ABORT } RequestKind;
typedef struct {
  guint64 reply_id; /* of the command that it came with */
  RequestKind kind;
  char *id;
  HrJobSpec spec;
  GStrv awaits;   /* ids, or NULL */
  guint per_page; /* tasks per page of its record; 0: they stand in the main record */
  double asked;
  guint tries;
  char *tag;     /* of the write under way */
  int refusal;   /* of a submission that can't be accepted: the status, if it is new */
  char *why_not; /* and why */
} UserRequest;

static void
request_free (UserRequest *request)
{
  g_free (request->id);
  g_free (request->tag);
  g_strfreev (request->awaits);
  g_free (request->why_not);
  g_free (request);
}

static void
refuse_later (HrCore *c, UserRequest *request, int status, const char *why)
{
  hr_refuse (c, request->reply_id, status, c->store_down ? 2 : 1, why);
  request_free (request);
}

/* Why the job is where it is, for the person who waits for it. */
static char *
reason (HrCore *c, HrJob *j)
{
  if (j->stance == HR_DONE)
    return g_strdup ("all tasks are done");
  char *others = hr_dependencies_reason (j);
  if (others)
    return others;
  if (j->stance == HR_WITHDRAWN)
    return g_strdup ("withdrawn by its user");
  if (!c->leads)
    return g_strdup_printf ("%s plans this job", c->map_owner ? c->map_owner : "no controller yet");
  if (j->errors && j->retry_at > c->now)
    return g_strdup_printf ("failed %u times in a row (%s), last on %s; next try in %.0f s",
                            j->errors, hr_exit_name (j->last_error),
                            hr_intern_name (&c->machine_ids, j->bad_machine), j->retry_at - c->now);
  if (j->gang_over)
    return g_strdup ("an attempt of the gang has ended; waiting for its last tasks to exit");
  if (j->nlive + j->ndone == j->ntasks)
    return g_strdup ("every task has a machine");
  if (j->rent_at > c->now)
    return g_strdup_printf ("needs %u machines at once, more than the cloud has given; more are "
                            "asked for in %.0f s",
                            j->ntasks, j->rent_at - c->now);
  return g_strdup_printf ("%u tasks wait for room; %u of them stand in a machine's plan; "
                          "%u machines are starting",
                          j->ntasks - j->nlive - j->ndone, j->planned, c->booting);
}

static void
answer (HrCore *c, UserRequest *request, HrJob *j, int status)
{
  guint32 running = 0, done = j->stance == HR_DONE ? j->ntasks : j->nrdone;
  for (guint32 i = 0; j->tasks && i < j->ntasks && j->stance == HR_QUEUED; i++)
    running += !j->tasks[i].rdone &&
               (c->leads ? j->tasks[i].state == HR_T_BOUND && j->tasks[i].shown == HR_W_RUNNING
                         : j->tasks[i].rmachine != HR_NONE);
  const char *st = j->stance == HR_QUEUED && running ? "running" : stances[j->stance];
  g_autofree char *why = reason (c, j);
  hr_reply (c, request->reply_id, status,
            json_pack ("{sssssisiss}", "name_id", request->id, "stance", st, "done", (int)done,
                       "running", (int)running, "reason", why),
            0);
  request_free (request);
}

static double
try_timeout (const HrCore *c, const UserRequest *request)
{
  double least = request->tries < SHORT_TRIES ? SHORT_TRY_S : LATER_TRY_S;
  return CLAMP (LATENCIES * c->store_latency, least, LONGEST_TRY_S);
}

/* Was the write not carried out, or is that unknown, and is there time for another? The same write
 * may be sent again at any time, for it holds on the record's stamp: whichever copy is carried out
 * second fails. */
static gboolean
may_try_again (HrCore *c, UserRequest *request, int status)
{
  return (status == 0 || status == 409 || status == 429) && ++request->tries < MAX_TRIES &&
         c->wall - request->asked < GIVE_UP_S;
}

static void send_abort (HrCore *c, UserRequest *request);

static void
on_read (HrCore *c, gboolean ok, gpointer data)
{
  UserRequest *request = data;
  HrJob *j = hr_job_find (c, request->id);
  if (!ok) {
    refuse_later (c, request, 503, "the state service cannot be read just now; ask again");
    return;
  }
  if (hr_job_unreadable (c, request->id)) {
    /* It was accepted, and neither 404 nor an older state may be said of it. */
    refuse_later (c, request, 503, "its record cannot be read; ask again");
    return;
  }
  if (!j) {
    if (request->refusal) {
      hr_refuse (c, request->reply_id, request->refusal, 0, request->why_not);
      request_free (request);
    } else if (request->kind == REQUEST_SUBMIT)
      /* It gets here after a 409, so its record exists. */
      refuse_later (c, request, 503, "its record is being written; ask again");
    else {
      hr_refuse (c, request->reply_id, 404, 0, "no such job was accepted");
      request_free (request);
    }
  } else if (request->kind == REQUEST_ABORT && j->stance == HR_QUEUED)
    send_abort (c, request);
  else
    answer (c, request, j, 200);
}

/* Final states never change, so they need no reading; but what a member said is not told to
 * users before its record is read. */
static gboolean
answer_final (HrCore *c, UserRequest *request)
{
  HrJob *j = hr_job_find (c, request->id);
  if (!j || j->stance == HR_QUEUED || j->told)
    return FALSE;
  answer (c, request, j, 200);
  return TRUE;
}

/* ---- submissions ---- */

/* A job that was accepted stays so whatever its repeated submission says, and a repetition is
 * known by its id alone. Only a reading sent after it came tells that the job is new here, and
 * not one that another node has accepted and this one has not followed yet. */
static void
refuse_if_new (HrCore *c, UserRequest *request, int status, const char *why)
{
  request->refusal = status;
  request->why_not = g_strdup (why);
  if (!answer_final (c, request))
    hr_follow_read (c, on_read, request);
}

static void send_submit (HrCore *c, UserRequest *request);

/* The job's first main record. */
static char *
first_record (HrCore *c, const UserRequest *request, guint per_page, const char *tag)
{
  return hr_record_first (&request->spec, (const char *const *)request->awaits, c->names,
                          request->asked, per_page, tag);
}

/* Where the job's tasks stand. FALSE: what it awaits is more than a value of the state service
 * holds, now or at its next limits; the main record is written many times, and has to fit. */
static gboolean
lay_out (HrCore *c, UserRequest *request)
{
  double limit_kb = c->set->value_kb;
  guint per_page = hr_tasks_per_page (limit_kb);
  if (!request->awaits) {
    request->per_page = request->spec.tasks <= per_page ? 0 : per_page;
    return TRUE;
  }
  limit_kb = MIN (limit_kb, c->set->next_value_kb);
  per_page = hr_tasks_per_page (limit_kb);
  g_autofree char *text = first_record (c, request, per_page, HR_LONGEST_TAG);
  double room = limit_kb * 1024 - strlen (text);
  request->per_page = request->spec.tasks * HR_PLACED_TASK_BYTES <= room ? 0 : per_page;
  return room >= 0;
}

/* A reading costs nothing of what may be written, and tells whether an earlier try of the write
 * was carried out. If not yet, it may still come: the next one is the same. */
static void
on_unsure_read (HrCore *c, gboolean ok, gpointer data)
{
  UserRequest *request = data;
  if (ok && !hr_job_find (c, request->id) && !hr_job_unreadable (c, request->id))
    send_submit (c, request);
  else
    on_read (c, ok, data);
}

static void
on_submit (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  UserRequest *request = data;
  guint64 epoch;
  if (status == 200 && hr_json_count (body, "epoch", G_MAXINT64, &epoch)) {
    HrJob *j = hr_job_get (c, request->id);
    if (!j->known) {
      j->known = TRUE;
      j->stance = j->told ? HR_WITHDRAWN : HR_QUEUED;
      j->stamp = epoch;
      j->submitted = request->asked;
      g_free (j->tag);
      j->tag = g_strdup (request->tag);
      hr_job_set_spec (j, &request->spec, request->per_page);
      if (!j->per_page)
        j->pages[0].stamp = epoch;
      hr_dependencies_read (c, j, (const char *const *)request->awaits);
      hr_job_open (c, j);
      c->plan_dirty = TRUE;
    }
    answer (c, request, j, 201);
  } else if (status == 409)
    hr_follow_read (c, on_read, request); /* there already: by an earlier try, perhaps */
  else if (may_try_again (c, request, status))
    hr_follow_read (c, on_unsure_read, request); /* lost, or the service is pacing our writes */
  else
    refuse_later (c, request, status == 429 ? 429 : 503,
                  status == 429 ? "too many jobs at once; submit again"
                                : "the state service did not confirm the job; submit again");
}

static void
send_submit (HrCore *c, UserRequest *request)
{
  g_autofree char *key = g_strconcat ("h/j/", request->id, NULL);
  if (!request->tag)
    request->tag = hr_new_tag (c);
  json_t *when = hr_cond (json_array (), key, 0);
  json_t *writes =
      hr_set (json_array (), key, first_record (c, request, request->per_page, request->tag), 0);
  hr_commit (c, HR_TXN_USER, when, writes, 1, try_timeout (c, request), on_submit, request);
}

/* A reading sent after the submission came: what is unknown now was never accepted. */
static void
on_awaits_read (HrCore *c, gboolean ok, gpointer data)
{
  UserRequest *request = data;
  const char *unknown = hr_dependencies_unknown (c, request->awaits);
  HrJob *j = hr_job_find (c, request->id);
  if (!ok || hr_job_unreadable (c, request->id))
    refuse_later (c, request, 503, "the jobs that it awaits cannot be looked up; submit again");
  else if (j)
    answer (c, request, j, 200); /* an earlier try of this submission */
  else if (!unknown)
    send_submit (c, request);
  else {
    g_autofree char *why = g_strdup_printf ("it awaits %s, which was never accepted", unknown);
    hr_refuse (c, request->reply_id, 422, 0, why);
    request_free (request);
  }
}

static void
submit (HrCore *c, HrCommand *cmd)
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
    hr_refuse (c, cmd->id, 400, 0, why);
    json_decref (o);
    return;
  }
  UserRequest *request = g_new0 (UserRequest, 1);
  request->reply_id = cmd->id;
  request->kind = REQUEST_SUBMIT;
  request->id = g_strdup (id);
  request->spec = spec;
  request->awaits = awaits;
  request->asked = c->wall;
  json_decref (o);
  if (!valid) {
    refuse_if_new (c, request, 400, why);
    return;
  }
  if (answer_final (c, request))
    return;
  if (hr_job_find (c, request->id)) {
    hr_follow_read (c, on_read, request);
    return;
  }
  if (!c->types || !c->synced_once) {
    refuse_later (c, request, 503, "this node has only just started; submit again");
    return;
  }
  g_autofree char *never = hr_admission_refusal (c, &spec);
  if (never) {
    refuse_if_new (c, request, 422, never);
    return;
  }
  if (!lay_out (c, request)) {
    refuse_if_new (c, request, 400, "field awaits: more jobs than the job's record can hold");
    return;
  }
  if (c->store_down || c->sync != HR_SYNC_FOLLOWING) {
    refuse_later (c, request, 503, "the state service does not answer; submit again");
    return;
  }
  /* Known jobs never vanish; what is not known may have been accepted elsewhere just now. */
  if (hr_dependencies_unknown (c, request->awaits))
    hr_follow_read (c, on_awaits_read, request);
  else
    send_submit (c, request);
}

/* ---- cancellations ---- */

static void
on_abort (HrCore *c, int status, json_t *body, double sent, gpointer data)
{
  UserRequest *request = data;
  HrJob *j = hr_job_find (c, request->id);
  guint64 epoch;
  if (status == 200 && j && hr_json_count (body, "epoch", G_MAXINT64, &epoch)) {
    hr_withdrawals_note (c, j, epoch);
    if (j->stance == HR_QUEUED && epoch > j->stamp) {
      j->stance = HR_WITHDRAWN;
      j->stamp = epoch;
      if (!j->per_page && j->pages)
        j->pages[0].stamp = epoch;
      if (c->leads)
        hr_job_withdrawn (c, j);
      hr_dependencies_final (c, j);
    }
    answer (c, request, j, 200);
  } else if (may_try_again (c, request, status))
    hr_follow_read (c, on_read, request); /* the record may have moved on: read, then try again */
  else
    refuse_later (c, request, 503, "the cancellation is not confirmed; ask again");
}

static void
send_abort (HrCore *c, UserRequest *request)
{
  HrJob *j = hr_job_find (c, request->id);
  g_autofree char *key = hr_job_key (j);
  g_free (request->tag);
  request->tag = hr_new_tag (c);
  json_t *when = hr_cond (json_array (), key, j->stamp);
  json_t *writes =
      hr_set (json_array (), key,
              hr_record_main (j, c->names, &c->machine_ids, HR_WITHDRAWN, request->tag, FALSE), 0);
  hr_commit (c, HR_TXN_USER, when, writes, 1, try_timeout (c, request), on_abort, request);
}

/* ---- the door ---- */

static void
ready (HrCore *c, HrCommand *cmd)
{
  if (!c->types || !c->synced_once)
    hr_refuse (c, cmd->id, 503, 1, "still reading the ledger and the machine types");
  else if (!hr_follow_served (c) && !hr_leader_outage_for_all (c))
    hr_refuse (c, cmd->id, 503, 1, "the state service does not answer this node");
  else
    hr_reply (c, cmd->id, 200, json_pack ("{sb}", "ready", 1), 0);
}

void
hr_users_request (HrCore *c, HrCommand *cmd)
{
  const char *p = cmd->path;
  if (strcmp (p, "/ready") == 0) {
    if (cmd->method == HR_GET)
      ready (c, cmd);
    else
      hr_refuse (c, cmd->id, 405, 0, "use GET");
    return;
  }
  if (strcmp (p, HR_JOBS_PATH) == 0) {
    if (cmd->method != HR_POST)
      hr_refuse (c, cmd->id, 405, 0, "use POST");
    else if (cmd->too_large)
      hr_refuse (c, cmd->id, 400, 0, "the body is larger than 64 KiB");
    else
      submit (c, cmd);
    return;
  }
  if (!g_str_has_prefix (p, HR_JOBS_PATH "/")) {
    hr_refuse (c, cmd->id, 404, 0, "no such path");
    return;
  }
  g_autofree char *id = g_strdup (p + strlen (HR_JOBS_PATH "/"));
  gboolean abort = g_str_has_suffix (id, "/abort");
  if (abort)
    id[strlen (id) - strlen ("/abort")] = 0;
  if (strchr (id, '/') || cmd->method != (abort ? HR_POST : HR_GET)) {
    hr_refuse (c, cmd->id, strchr (id, '/') ? 404 : 405, 0,
               strchr (id, '/') ? "no such path"
               : abort          ? "use POST"
                                : "use GET");
    return;
  }
  if (!hr_job_id_valid (id)) {
    hr_refuse (c, cmd->id, 404, 0, "no such job was accepted");
    return;
  }
  UserRequest *request = g_new0 (UserRequest, 1);
  request->reply_id = cmd->id;
  request->kind = abort ? REQUEST_ABORT : REQUEST_POLL;
  request->id = g_steal_pointer (&id);
  request->asked = c->wall;
  if (!answer_final (c, request))
    hr_follow_read (c, on_read, request);
}
