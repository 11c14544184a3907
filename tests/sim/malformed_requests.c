/* Requests that must be turned away, or change nothing: each has the status that it must get.
 * A controller that cannot decide just now may say so (429, 503), and an answer may be lost: then
 * it is asked again until it decides. A repeated submission is known by its id alone, so a
 * malformed one that names a job needs a reading too; one that names none is known at once. Nothing
 * may be recorded of them: each one carries a mark, which no key and no value of the state stand-in
 * may hold. */
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

#define ROUND_S 1.5
#define RECORDED_AFTER_S 8.0 /* an answer may be lost, and a write be late */
#define REPEAT_SPAN_S 0.03
#define AGAIN_S 1.0
#define MOST_TRIES 60 /* longer than any spell without a reading in these days */

typedef struct {
  char *mark; /* in whatever is recorded of it; NULL: nothing to look for */
  char *what;
  int expected;
  char *path, *body;
  guint tries;
  SimJob *job; /* a job that it is about; NULL: none */
  SimUserRequest *question;
} WrongValue;

static void
odd_free (WrongValue *odd)
{
  g_free (odd->mark);
  g_free (odd->what);
  g_free (odd->path);
  g_free (odd->body);
  g_free (odd->question);
  g_free (odd);
}

static void
not_recorded (SimCluster *cluster, gpointer data)
{
  WrongValue *odd = data;
  if (odd->mark && store_references_machine (cluster, odd->mark))
    sim_report_violation (cluster, "recorded", "%s, of a request that gets %d: %s", odd->mark,
                          odd->expected, odd->what);
  odd_free (odd);
}

static void
check_body (SimCluster *cluster, const WrongValue *odd, json_t *body)
{
  if (odd->expected >= 400 && !json_string_length (json_object_get (body, "error")))
    sim_report_violation (cluster, "odd", "%s: an answer of %d without an error text", odd->what,
                          odd->expected);
}

static void ask_again (SimCluster *cluster, gpointer data);

static int
any_node (SimCluster *cluster)
{
  return g_rand_int_range (cluster->troubles.rand, 0, cluster->n);
}

static void
on_odd (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  WrongValue *odd = data;
  gboolean undecided = status == 0 || status == 503 || status == 429;
  gboolean names_none = odd->expected == 400 && !odd->mark;
  if (undecided && (status == 0 || !names_none) && odd->tries < MOST_TRIES) {
    sim_schedule (cluster, cluster->now + AGAIN_S, ask_again, odd);
    return;
  }
  if (status == odd->expected)
    check_body (cluster, odd, body);
  else
    sim_report_violation (cluster, status == 200 || status == 201 ? "accepted" : "odd",
                          "%s gets %d in place of %d", odd->what, status, odd->expected);
  if (odd->job && (status == 200 || status == 201))
    check_user_response (cluster, odd->question, status, body);
  else if (odd->job && (status == 400 || status == 404 || status == 422))
    check_user_error (cluster, odd->question, odd->what, status);
  cluster->troubles.played[TROUBLE_ODD_REQUESTS]++;
  sim_schedule (cluster, cluster->now + RECORDED_AFTER_S, not_recorded, odd);
}

static WrongValue *
odd_new (const char *mark, const char *what, int expected)
{
  WrongValue *odd = g_new0 (WrongValue, 1);
  odd->mark = g_strdup (mark);
  odd->what = g_strdup (what);
  odd->expected = expected;
  return odd;
}

/* Takes the body. */
static void
post (SimCluster *cluster, WrongValue *odd, int node, const char *path, char *body)
{
  odd->path = g_strdup (path);
  odd->body = body;
  sim_send_request (cluster, node, -1, HR_POST, path, g_strdup (body), 5, on_odd, odd);
}

static void
ask_again (SimCluster *cluster, gpointer data)
{
  WrongValue *odd = data;
  odd->tries++;
  if (odd->question) { /* what has been told meanwhile counts for this answer too */
    g_free (odd->question);
    odd->question = sim_user_request_new (cluster, odd->job);
  }
  sim_send_request (cluster, any_node (cluster), -1, HR_POST, odd->path, g_strdup (odd->body), 5,
                    on_odd, odd);
}

/* ---- submissions ---- */

static json_t *
valid_job (SimCluster *cluster, char **mark)
{
  *mark = g_strdup_printf ("job-odd-%u", ++cluster->troubles.odd_requests);
  g_autofree char *image = g_strconcat ("img-", *mark, NULL);
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", *mark, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces", 1,
                    "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle", image, "size_gb",
                    1.0, "hulls", "quarry", "together", 0, "apart", 0, "loaners", 0, "guess_s", 5.0,
                    "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

/* value: NULL: without that field. */
static void
with_field (SimCluster *cluster, const char *field, json_t *value, int expected)
{
  g_autofree char *mark = NULL, *text = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;
  json_t *job = valid_job (cluster, &mark);
  g_autofree char *what = g_strdup_printf ("a job with %s %s", field, text ? text : "missing");
  if (value)
    json_object_set_new (job, field, value);
  else
    json_object_del (job, field);
  post (cluster, odd_new (mark, what, expected), any_node (cluster), "/v1/jobs",
        hr_json_take_text (job));
}

/* Fields that may not be null may not be missing. */
static void
fields_missing (SimCluster *cluster)
{
  static const char *const fields[] = {
      "name_id", "jobclass",     "crew",      "shape",   "rank",    "pieces",
      "vcpus",   "accelerators", "memory_gb", "bundle",  "size_gb", "together",
      "apart",   "loaners",      "guess_s",   "cairn_s", "stash_s"};
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    with_field (cluster, fields[i], NULL, 400);
    with_field (cluster, fields[i], json_null (), 400);
    with_field (cluster, fields[i], json_object (), 400);
  }
}

static void
fields_of_wrong_type (SimCluster *cluster)
{
  static const char *const texts[] = {"name_id", "jobclass", "crew",  "shape",
                                      "rank",    "bundle",   "hulls", "quarry"};
  static const char *const amounts[] = {"vcpus",   "accelerators", "memory_gb", "size_gb",
                                        "guess_s", "cairn_s",      "stash_s",   "due_s"};
  static const char *const flags[] = {"together", "apart", "loaners"};
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    with_field (cluster, texts[i], json_integer (7), 400);
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++) {
    with_field (cluster, amounts[i], json_string ("4.0"), 400);
    with_field (cluster, amounts[i], json_real (-1), 400);
  }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    with_field (cluster, flags[i], json_integer (1), 400);
  with_field (cluster, "pieces", json_string ("3"), 400);
  with_field (cluster, "pieces", json_real (2.5), 400);
  with_field (cluster, "pieces", json_integer (0), 400);
  with_field (cluster, "pieces", json_integer (-1), 400);
  with_field (cluster, "pieces", json_integer (100001), 400);
  with_field (cluster, "shape", json_string ("swarm"), 400);
  with_field (cluster, "rank", json_string ("highest"), 400);
  with_field (cluster, "name_id", json_string ("odd-1"), 400);
  with_field (cluster, "name_id", json_string ("job-a/b"), 400);
  with_field (cluster, "hulls", json_string ("g2"), 400);
  with_field (cluster, "hulls", json_pack ("[i]", 2), 400);
}

static void
can_never_run (SimCluster *cluster)
{
  with_field (cluster, "crew", json_string ("nobody"), 422);
  with_field (cluster, "vcpus", json_real (13), 422);
  with_field (cluster, "accelerators", json_real (3), 422);
  with_field (cluster, "memory_gb", json_real (97), 422);
  with_field (cluster, "hulls", json_pack ("[s]", "none"), 422);
  with_field (cluster, "quarry", json_string ("z9"), 422);
}

static void
no_object (SimCluster *cluster)
{
  static const char *const bodies[] = {"", "{", "[]", "7", "null", "\"job-odd\"", "{\"a\":1}x"};
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++) {
    g_autofree char *what = g_strdup_printf ("a submission of '%s'", bodies[i]);
    post (cluster, odd_new (NULL, what, 400), any_node (cluster), "/v1/jobs", g_strdup (bodies[i]));
  }
}

/* ---- jobs that are there, and jobs that are not ---- */

static void
unknown_jobs (SimCluster *cluster)
{
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++cluster->troubles.odd_requests);
  g_autofree char *path = g_strconcat ("/v1/jobs/", mark, "/abort", NULL);
  post (cluster, odd_new (mark, "a cancellation of an unknown job", 404), any_node (cluster), path,
        NULL);
}

/* Cancels a job that is done, and one that is cancelled already: the state is what it was. */
static void
final_jobs (SimCluster *cluster)
{
  SimJob *chosen[2] = {NULL, NULL};
  for (guint i = 0, seen[2] = {0}; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->done_reply_at && !job->cancelled_reply_at)
      continue;
    int k = job->cancelled_reply_at > 0;
    if (g_rand_int_range (cluster->troubles.rand, 0, ++seen[k]) == 0)
      chosen[k] = job;
  }
  for (int k = 0; k < 2; k++) {
    SimJob *job = chosen[k];
    if (!job)
      continue;
    g_autofree char *path = g_strconcat ("/v1/jobs/", job->id, "/abort", NULL);
    WrongValue *odd =
        odd_new (NULL, k ? "a second cancellation" : "a cancellation of a done job", 200);
    odd->job = job;
    odd->question = sim_user_request_new (cluster, job);
    post (cluster, odd, any_node (cluster), path, NULL);
  }
}

typedef enum { CONTENT_SMALLER, CONTENT_NO_TEAM, CONTENT_NO_MACHINE, CONTENTS } Content;

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

/* A repeated submission is known by its id alone. */
static void
repeat (SimCluster *cluster, gpointer data)
{
  g_autofree Repeat *repeat_row = data;
  static const char *const names[] = {"smaller", "of no team", "for no machine"};
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++cluster->troubles.odd_requests);
  g_autofree char *what =
      g_strdup_printf ("a repeated submission with other content (%s)", names[repeat_row->content]);
  WrongValue *odd = odd_new (mark, what, 200);
  odd->job = repeat_row->job;
  odd->question = sim_user_request_new (cluster, repeat_row->job);
  post (cluster, odd, repeat_row->node, "/v1/jobs",
        other_content (repeat_row->job, repeat_row->content, mark));
}

static void
plan_repeat (SimCluster *cluster, SimJob *job, int node)
{
  Repeat *repeat_row = g_new (Repeat, 1);
  *repeat_row = (Repeat){job, node, g_rand_int_range (cluster->troubles.rand, 0, CONTENTS)};
  sim_schedule (cluster, cluster->now + trouble_rand (cluster, 0, REPEAT_SPAN_S), repeat,
                repeat_row);
}

void
malformed_requests_repeat (SimCluster *cluster, SimJob *job)
{
  for (int node = 0; node < cluster->n; node++)
    plan_repeat (cluster, job, node);
}

static void
unfinished_jobs (SimCluster *cluster)
{
  SimJob *chosen = NULL;
  for (guint i = 0, seen = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (job->accepted && !job->done_reply_at && !job->cancelled_reply_at &&
        g_rand_int_range (cluster->troubles.rand, 0, ++seen) == 0)
      chosen = job;
  }
  if (chosen)
    plan_repeat (cluster, chosen, any_node (cluster));
}

static void
odd_round (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  if (cluster->troubles.odd_until <= cluster->now)
    return;
  fields_missing (cluster);
  fields_of_wrong_type (cluster);
  can_never_run (cluster);
  no_object (cluster);
  unknown_jobs (cluster);
  final_jobs (cluster);
  unfinished_jobs (cluster);
  sim_schedule (cluster, cluster->now + ROUND_S, odd_round, NULL);
}

void
malformed_requests_begin (SimCluster *cluster)
{
  odd_round (cluster, NULL);
}
