/* Requests that must be rejected or have no effect, each with the required status. A controller
 * that cannot decide yet may answer 429 or 503, and an answer may be lost; the request is then
 * retried until a controller decides. A repeated submission is recognized by its id alone, so a
 * controller also needs a snapshot read to reject a malformed request that names a job; it can
 * reject one that names no job at once. Nothing of these requests may be recorded: each carries a
 * mark that must not appear in any key or value of the simulated state store. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/answer_checks.h"
#include "sim/malformed_requests.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/world.h"
#include <string.h>

#define ROUND_INTERVAL_S 1.5
#define RECORDED_AFTER_S 8.0 /* answers may be lost and writes may be late */
#define REPEAT_SPAN_S 0.03
#define RETRY_INTERVAL_S 1.0
#define MAX_TRIES 60 /* longer than any period without a snapshot read on these days */

typedef struct {
  char *mark; /* part of everything that could be recorded of the request; NULL: not checked */
  char *what;
  int expected;
  char *path, *body;
  guint tries;
  SimJob *job; /* the existing job that the request names; NULL: none */
  Question *question;
} MalformedRequest;

static void
malformed_free (MalformedRequest *request)
{
  g_free (request->mark);
  g_free (request->what);
  g_free (request->path);
  g_free (request->body);
  g_free (request->question);
  g_free (request);
}

static void
check_not_recorded (World *world, gpointer data)
{
  MalformedRequest *request = data;
  if (request->mark && store_names (world, request->mark))
    w_broken (world, "recorded", "%s of a request with the expected status %d is recorded: %s",
              request->mark, request->expected, request->what);
  malformed_free (request);
}

static void
check_body (World *world, const MalformedRequest *request, json_t *body)
{
  if (request->expected >= 400 && !json_string_length (json_object_get (body, "error")))
    w_broken (world, "odd", "%s: answer %d without an error text", request->what,
              request->expected);
}

static void retry (World *world, gpointer data);

static int
any_node (World *world)
{
  return g_rand_int_range (world->troubles.rand, 0, world->n);
}

static void
on_answer (World *world, int status, json_t *body, gpointer data)
{
  MalformedRequest *request = data;
  gboolean undecided = status == 0 || status == 503 || status == 429;
  gboolean names_no_job = request->expected == 400 && !request->mark;
  if (undecided && (status == 0 || !names_no_job) && request->tries < MAX_TRIES) {
    w_at (world, world->now + RETRY_INTERVAL_S, retry, request);
    return;
  }
  if (status == request->expected)
    check_body (world, request, body);
  else
    w_broken (world, status == 200 || status == 201 ? "accepted" : "odd",
              "%s gets %d instead of %d", request->what, status, request->expected);
  if (request->job && (status == 200 || status == 201))
    answer_check (world, request->question, status, body);
  else if (request->job && (status == 400 || status == 404 || status == 422))
    answer_unknown (world, request->question, request->what, status);
  world->troubles.effects[FAULT_ODD_REQUESTS]++;
  w_at (world, world->now + RECORDED_AFTER_S, check_not_recorded, request);
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
post (World *world, MalformedRequest *request, int node, const char *path, char *body)
{
  request->path = g_strdup (path);
  request->body = body;
  w_ask (world, node, -1, HR_POST, path, g_strdup (body), 5, on_answer, request);
}

static void
retry (World *world, gpointer data)
{
  MalformedRequest *request = data;
  request->tries++;
  if (request->question) { /* what users learned in the meantime applies to this answer too */
    g_free (request->question);
    request->question = question_new (world, request->job);
  }
  w_ask (world, any_node (world), -1, HR_POST, request->path, g_strdup (request->body), 5,
         on_answer, request);
}

/* ---- submissions ---- */

static json_t *
valid_job (World *world, char **mark)
{
  *mark = g_strdup_printf ("job-odd-%u", ++world->troubles.malformed_sent);
  g_autofree char *image = g_strconcat ("img-", *mark, NULL);
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", *mark, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces", 1,
                    "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle", image, "size_gb",
                    1.0, "hulls", "quarry", "together", 0, "apart", 0, "loaners", 0, "guess_s", 5.0,
                    "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

/* value: NULL leaves the field out. */
static void
submit_with_field (World *world, const char *field, json_t *value, int expected)
{
  g_autofree char *mark = NULL, *text = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;
  json_t *job = valid_job (world, &mark);
  g_autofree char *what = g_strdup_printf ("a job with %s %s", field, text ? text : "missing");
  if (value)
    json_object_set_new (job, field, value);
  else
    json_object_del (job, field);
  post (world, malformed_new (mark, what, expected), any_node (world), "/v1/jobs",
        hr_json_take_text (job));
}

/* Fields that must not be null must not be missing either. */
static void
submit_missing_fields (World *world)
{
  static const char *const fields[] = {
      "name_id", "jobclass",     "crew",      "shape",   "rank",    "pieces",
      "vcpus",   "accelerators", "memory_gb", "bundle",  "size_gb", "together",
      "apart",   "loaners",      "guess_s",   "cairn_s", "stash_s"};
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    submit_with_field (world, fields[i], NULL, 400);
    submit_with_field (world, fields[i], json_null (), 400);
    submit_with_field (world, fields[i], json_object (), 400);
  }
}

static void
submit_wrong_values (World *world)
{
  static const char *const texts[] = {"name_id", "jobclass", "crew",  "shape",
                                      "rank",    "bundle",   "hulls", "quarry"};
  static const char *const amounts[] = {"vcpus",   "accelerators", "memory_gb", "size_gb",
                                        "guess_s", "cairn_s",      "stash_s",   "due_s"};
  static const char *const flags[] = {"together", "apart", "loaners"};
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    submit_with_field (world, texts[i], json_integer (7), 400);
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++) {
    submit_with_field (world, amounts[i], json_string ("4.0"), 400);
    submit_with_field (world, amounts[i], json_real (-1), 400);
  }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    submit_with_field (world, flags[i], json_integer (1), 400);
  submit_with_field (world, "pieces", json_string ("3"), 400);
  submit_with_field (world, "pieces", json_real (2.5), 400);
  submit_with_field (world, "pieces", json_integer (0), 400);
  submit_with_field (world, "pieces", json_integer (-1), 400);
  submit_with_field (world, "pieces", json_integer (100001), 400);
  submit_with_field (world, "shape", json_string ("swarm"), 400);
  submit_with_field (world, "rank", json_string ("highest"), 400);
  submit_with_field (world, "name_id", json_string ("odd-1"), 400);
  submit_with_field (world, "name_id", json_string ("job-a/b"), 400);
  submit_with_field (world, "hulls", json_string ("g2"), 400);
  submit_with_field (world, "hulls", json_pack ("[i]", 2), 400);
}

static void
submit_unplaceable (World *world)
{
  submit_with_field (world, "crew", json_string ("nobody"), 422);
  submit_with_field (world, "vcpus", json_real (13), 422);
  submit_with_field (world, "accelerators", json_real (3), 422);
  submit_with_field (world, "memory_gb", json_real (97), 422);
  submit_with_field (world, "hulls", json_pack ("[s]", "none"), 422);
  submit_with_field (world, "quarry", json_string ("z9"), 422);
}

static void
submit_non_objects (World *world)
{
  static const char *const bodies[] = {"", "{", "[]", "7", "null", "\"job-odd\"", "{\"a\":1}x"};
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++) {
    g_autofree char *what = g_strdup_printf ("a submission of '%s'", bodies[i]);
    post (world, malformed_new (NULL, what, 400), any_node (world), "/v1/jobs",
          g_strdup (bodies[i]));
  }
}

/* ---- existing and unknown jobs ---- */

static void
cancel_unknown_job (World *world)
{
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++world->troubles.malformed_sent);
  g_autofree char *path = g_strconcat ("/v1/jobs/", mark, "/abort", NULL);
  post (world, malformed_new (mark, "a cancellation of an unknown job", 404), any_node (world),
        path, NULL);
}

/* Cancels a job that is done and one that is already cancelled; their states must not change. */
static void
cancel_final_jobs (World *world)
{
  SimJob *chosen[2] = {NULL, NULL};
  for (guint i = 0, seen[2] = {0}; i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    if (!job->told_done && !job->told_cancelled)
      continue;
    int k = job->told_cancelled > 0;
    if (g_rand_int_range (world->troubles.rand, 0, ++seen[k]) == 0)
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
    request->question = question_new (world, job);
    post (world, request, any_node (world), path, NULL);
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
submit_repeat (World *world, gpointer data)
{
  g_autofree Repeat *plan = data;
  static const char *const names[] = {"smaller", "of no team", "for no machine"};
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++world->troubles.malformed_sent);
  g_autofree char *what =
      g_strdup_printf ("a repeated submission with other content (%s)", names[plan->content]);
  MalformedRequest *request = malformed_new (mark, what, 200);
  request->job = plan->job;
  request->question = question_new (world, plan->job);
  post (world, request, plan->node, "/v1/jobs", other_content (plan->job, plan->content, mark));
}

static void
plan_repeat (World *world, SimJob *job, int node)
{
  Repeat *plan = g_new (Repeat, 1);
  *plan = (Repeat){job, node, g_rand_int_range (world->troubles.rand, 0, CONTENT_KINDS)};
  w_at (world, world->now + fault_rand (world, 0, REPEAT_SPAN_S), submit_repeat, plan);
}

void
malformed_requests_repeat (World *world, SimJob *job)
{
  for (int node = 0; node < world->n; node++)
    plan_repeat (world, job, node);
}

static void
repeat_unfinished_job (World *world)
{
  SimJob *chosen = NULL;
  for (guint i = 0, seen = 0; i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    if (job->accepted && !job->told_done && !job->told_cancelled &&
        g_rand_int_range (world->troubles.rand, 0, ++seen) == 0)
      chosen = job;
  }
  if (chosen)
    plan_repeat (world, chosen, any_node (world));
}

static void
send_round (World *world, gpointer data G_GNUC_UNUSED)
{
  if (world->troubles.malformed_until <= world->now)
    return;
  submit_missing_fields (world);
  submit_wrong_values (world);
  submit_unplaceable (world);
  submit_non_objects (world);
  cancel_unknown_job (world);
  cancel_final_jobs (world);
  repeat_unfinished_job (world);
  w_at (world, world->now + ROUND_INTERVAL_S, send_round, NULL);
}

void
malformed_requests_begin (World *world)
{
  send_round (world, NULL);
}
