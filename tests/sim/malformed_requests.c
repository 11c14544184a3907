/* Requests that must be rejected or have no effect, each with the required status. A controller
 * that cannot decide yet may answer 429 or 503, and an answer may be lost; the request is then
 * retried until a controller decides. A repeated submission is recognized by its id alone, so a
 * controller also needs a snapshot read to reject a malformed request that names a job; it can
 * reject one that names no job at once. Nothing of these requests may be recorded: each carries a
 * mark that must not appear in any key or value of the simulated state store.
 * src/protocol/wire_names.h explains the fields of a submission. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/answer_checks.h"
#include "sim/malformed_requests.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/cluster.h"
#include <string.h>

#define ROUND_INTERVAL_S 1.5
#define RECORDED_AFTER_S 8.0 /* answers may be lost and writes may be late */
#define REPEAT_SPAN_S 0.03
#define RETRY_INTERVAL_S 1.0
#define MAX_TRIES 60 /* 60 s: longer than any period without a snapshot read on these days */

typedef struct {
  char *mark; /* part of everything that could be recorded of the request; NULL: not checked */
  char *what; /* description of the request, for messages */
  int expected;
  char *path, *body;
  guint tries;
  SimJob *job;                  /* the existing job that the request names; NULL: none */
  SimUserRequest *user_request; /* for the checks of the answer; NULL if job is NULL */
} MalformedRequest;

static void
malformed_free (MalformedRequest *request)
{
  g_free (request->mark);
  g_free (request->what);
  g_free (request->path);
  g_free (request->body);
  g_free (request->user_request);
  g_free (request);
}

static void
check_not_recorded (SimCluster *cluster, gpointer data)
{
  MalformedRequest *request = data;
  if (request->mark && store_references_machine (cluster, request->mark))
    sim_report_violation (cluster, "recorded",
                          "%s of a request with the expected status %d is recorded: %s",
                          request->mark, request->expected, request->what);
  malformed_free (request);
}

static void
check_body (SimCluster *cluster, const MalformedRequest *request, json_t *body)
{
  if (request->expected >= 400 && !json_string_length (json_object_get (body, "error")))
    sim_report_violation (cluster, "odd", "%s: answer %d without an error text", request->what,
                          request->expected);
}

static void retry (SimCluster *cluster, gpointer data);

static int
any_node (SimCluster *cluster)
{
  return g_rand_int_range (cluster->faults.rand, 0, cluster->n);
}

static void
on_answer (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  MalformedRequest *request = data;
  gboolean undecided = status == 0 || status == 503 || status == 429;
  gboolean names_no_job = request->expected == 400 && !request->mark;
  if (undecided && (status == 0 || !names_no_job) && request->tries < MAX_TRIES) {
    sim_schedule (cluster, cluster->now + RETRY_INTERVAL_S, retry, request);
    return;
  }
  if (status == request->expected)
    check_body (cluster, request, body);
  else
    sim_report_violation (cluster, status == 200 || status == 201 ? "accepted" : "odd",
                          "%s gets %d instead of %d", request->what, status, request->expected);
  if (request->job && (status == 200 || status == 201))
    check_user_response (cluster, request->user_request, status, body);
  else if (request->job && (status == 400 || status == 404 || status == 422))
    check_user_error (cluster, request->user_request, request->what, status);
  cluster->faults.effects[FAULT_MALFORMED_REQUESTS]++;
  sim_schedule (cluster, cluster->now + RECORDED_AFTER_S, check_not_recorded, request);
}

static MalformedRequest *
malformed_new (const char *mark, const char *what, int expected)
{
  MalformedRequest *request = g_new0 (MalformedRequest, 1);
  request->mark = g_strdup (mark);
  request->what = g_strdup (what);
  request->expected = expected;
  return request;
}

/* Takes ownership of the body. */
static void
post (SimCluster *cluster, MalformedRequest *request, int node, const char *path, char *body)
{
  request->path = g_strdup (path);
  request->body = body;
  sim_send_request (cluster, node, -1, HR_POST, path, g_strdup (body), 5, on_answer, request);
}

static void
retry (SimCluster *cluster, gpointer data)
{
  MalformedRequest *request = data;
  request->tries++;
  /* The answer must not be older than states that users learned meanwhile. */
  if (request->user_request) {
    g_free (request->user_request);
    request->user_request = sim_user_request_new (cluster, request->job);
  }
  sim_send_request (cluster, any_node (cluster), -1, HR_POST, request->path,
                    g_strdup (request->body), 5, on_answer, request);
}

/* ---- submissions ---- */

static json_t *
valid_job (SimCluster *cluster, char **mark)
{
  *mark = g_strdup_printf ("job-odd-%u", ++cluster->faults.malformed_sent);
  g_autofree char *image = g_strconcat ("img-", *mark, NULL);
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", *mark, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces", 1,
                    "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle", image, "size_gb",
                    1.0, "hulls", "quarry", "together", 0, "apart", 0, "loaners", 0, "guess_s", 5.0,
                    "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

/* value: NULL leaves the field out. */
static void
submit_with_field (SimCluster *cluster, const char *field, json_t *value, int expected)
{
  g_autofree char *mark = NULL, *text = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;
  json_t *job = valid_job (cluster, &mark);
  g_autofree char *what = g_strdup_printf ("a job with %s %s", field, text ? text : "missing");
  if (value)
    json_object_set_new (job, field, value);
  else
    json_object_del (job, field);
  post (cluster, malformed_new (mark, what, expected), any_node (cluster), "/v1/jobs",
        hr_json_take_text (job));
}

/* Omits each required field, and sends it with null and with an object. */
static void
submit_missing_fields (SimCluster *cluster)
{
  static const char *const fields[] = {
      "name_id", "jobclass",     "crew",      "shape",   "rank",    "pieces",
      "vcpus",   "accelerators", "memory_gb", "bundle",  "size_gb", "together",
      "apart",   "loaners",      "guess_s",   "cairn_s", "stash_s"};
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    submit_with_field (cluster, fields[i], NULL, 400);
    submit_with_field (cluster, fields[i], json_null (), 400);
    submit_with_field (cluster, fields[i], json_object (), 400);
  }
}

static void
submit_wrong_values (SimCluster *cluster)
{
  static const char *const texts[] = {"name_id", "jobclass", "crew",  "shape",
                                      "rank",    "bundle",   "hulls", "quarry"};
  static const char *const amounts[] = {"vcpus",   "accelerators", "memory_gb", "size_gb",
                                        "guess_s", "cairn_s",      "stash_s",   "due_s"};
  static const char *const flags[] = {"together", "apart", "loaners"};
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    submit_with_field (cluster, texts[i], json_integer (7), 400);
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++) {
    submit_with_field (cluster, amounts[i], json_string ("4.0"), 400);
    submit_with_field (cluster, amounts[i], json_real (-1), 400);
  }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    submit_with_field (cluster, flags[i], json_integer (1), 400);
  submit_with_field (cluster, "pieces", json_string ("3"), 400);
  submit_with_field (cluster, "pieces", json_real (2.5), 400);
  submit_with_field (cluster, "pieces", json_integer (0), 400);
  submit_with_field (cluster, "pieces", json_integer (-1), 400);
  submit_with_field (cluster, "pieces", json_integer (100001), 400);
  submit_with_field (cluster, "shape", json_string ("swarm"), 400);
  submit_with_field (cluster, "rank", json_string ("highest"), 400);
  submit_with_field (cluster, "name_id", json_string ("odd-1"), 400);
  submit_with_field (cluster, "name_id", json_string ("job-a/b"), 400);
  submit_with_field (cluster, "hulls", json_string ("g2"), 400);
  submit_with_field (cluster, "hulls", json_pack ("[i]", 2), 400);
}

static void
submit_unplaceable (SimCluster *cluster)
{
  submit_with_field (cluster, "crew", json_string ("nobody"), 422);
  submit_with_field (cluster, "vcpus", json_real (13), 422);
  submit_with_field (cluster, "accelerators", json_real (3), 422);
  submit_with_field (cluster, "memory_gb", json_real (97), 422);
  submit_with_field (cluster, "hulls", json_pack ("[s]", "none"), 422);
  submit_with_field (cluster, "quarry", json_string ("z9"), 422);
}

static void
submit_non_objects (SimCluster *cluster)
{
  static const char *const bodies[] = {"", "{", "[]", "7", "null", "\"job-odd\"", "{\"a\":1}x"};
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++) {
    g_autofree char *what = g_strdup_printf ("a submission of '%s'", bodies[i]);
    post (cluster, malformed_new (NULL, what, 400), any_node (cluster), "/v1/jobs",
          g_strdup (bodies[i]));
  }
}

/* ---- existing and unknown jobs ---- */

static void
cancel_unknown_job (SimCluster *cluster)
{
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++cluster->faults.malformed_sent);
  g_autofree char *path = g_strconcat ("/v1/jobs/", mark, "/abort", NULL);
  post (cluster, malformed_new (mark, "a cancellation of an unknown job", 404), any_node (cluster),
        path, NULL);
}

/* Cancels a job that is done and one that is already cancelled; their states must not change. */
static void
cancel_final_jobs (SimCluster *cluster)
{
  SimJob *chosen[2] = {NULL, NULL};
  for (guint i = 0, seen[2] = {0}; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->done_reply_at && !job->cancelled_reply_at)
      continue;
    int k = job->cancelled_reply_at > 0;
    if (g_rand_int_range (cluster->faults.rand, 0, ++seen[k]) == 0)
      chosen[k] = job;
  }
  for (int k = 0; k < 2; k++) {
    SimJob *job = chosen[k];
    if (!job)
      continue;
    g_autofree char *path = g_strconcat ("/v1/jobs/", job->id, "/abort", NULL);
    MalformedRequest *request =
        malformed_new (NULL, k ? "a second cancellation" : "a cancellation of a done job", 200);
    request->job = job;
    request->user_request = sim_user_request_new (cluster, job);
    post (cluster, request, any_node (cluster), path, NULL);
  }
}

typedef enum { CONTENT_SMALLER, CONTENT_NO_TEAM, CONTENT_NO_MACHINE, CONTENT_KINDS } Content;

static char *
other_content (const SimJob *job, Content content, const char *mark)
{
  json_t *object = json_loads (job->body, 0, NULL);
  g_autofree char *image = g_strconcat ("img-", mark, NULL);
  json_object_set_new (object, "bundle", json_string (image));
  if (content == CONTENT_SMALLER)
    json_object_set_new (object, "pieces", json_integer (1));
  else if (content == CONTENT_NO_TEAM)
    json_object_set_new (object, "crew", json_string ("nobody"));
  else
    json_object_set_new (object, "vcpus", json_real (13));
  return hr_json_take_text (object);
}

typedef struct {
  SimJob *job;
  int node;
  Content content;
} Repeat;

/* Repeats a submission with other content; the controller recognizes it by its id alone. */
static void
submit_repeat (SimCluster *cluster, gpointer data)
{
  g_autofree Repeat *plan = data;
  static const char *const names[] = {"smaller", "of no team", "for no machine"};
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++cluster->faults.malformed_sent);
  g_autofree char *what =
      g_strdup_printf ("a repeated submission with other content (%s)", names[plan->content]);
  MalformedRequest *request = malformed_new (mark, what, 200);
  request->job = plan->job;
  request->user_request = sim_user_request_new (cluster, plan->job);
  post (cluster, request, plan->node, "/v1/jobs", other_content (plan->job, plan->content, mark));
}

static void
plan_repeat (SimCluster *cluster, SimJob *job, int node)
{
  Repeat *plan = g_new (Repeat, 1);
  *plan = (Repeat){job, node, g_rand_int_range (cluster->faults.rand, 0, CONTENT_KINDS)};
  sim_schedule (cluster, cluster->now + fault_rand (cluster, 0, REPEAT_SPAN_S), submit_repeat,
                plan);
}

void
malformed_requests_repeat (SimCluster *cluster, SimJob *job)
{
  for (int node = 0; node < cluster->n; node++)
    plan_repeat (cluster, job, node);
}

static void
repeat_unfinished_job (SimCluster *cluster)
{
  SimJob *chosen = NULL;
  for (guint i = 0, seen = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (job->accepted && !job->done_reply_at && !job->cancelled_reply_at &&
        g_rand_int_range (cluster->faults.rand, 0, ++seen) == 0)
      chosen = job;
  }
  if (chosen)
    plan_repeat (cluster, chosen, any_node (cluster));
}

static void
send_round (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  if (cluster->faults.malformed_until <= cluster->now)
    return;
  submit_missing_fields (cluster);
  submit_wrong_values (cluster);
  submit_unplaceable (cluster);
  submit_non_objects (cluster);
  cancel_unknown_job (cluster);
  cancel_final_jobs (cluster);
  repeat_unfinished_job (cluster);
  sim_schedule (cluster, cluster->now + ROUND_INTERVAL_S, send_round, NULL);
}

void
malformed_requests_begin (SimCluster *cluster)
{
  send_round (cluster, NULL);
}
