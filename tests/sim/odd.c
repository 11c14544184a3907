/* Requests that must be turned away, or change nothing: each has the status that it must get.
 * A controller that cannot decide just now may say so (429, 503), and an answer may be lost: then
 * it is asked again until it decides. A repeated submission is known by its id alone, so a
 * malformed one that names a job needs a reading too; one that names none is known at once. Nothing
 * may be recorded of them: each one carries a mark, which no key and no value of the state stand-in
 * may hold. */
#include "sim/world.h"
#include "protocol/json_util.h"
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
  SJob *job; /* a job that it is about; NULL: none */
  Question *question;
} Odd;

static void
odd_free (Odd *o)
{
  g_free (o->mark);
  g_free (o->what);
  g_free (o->path);
  g_free (o->body);
  g_free (o->question);
  g_free (o);
}

static void
not_recorded (World *w, gpointer p)
{
  Odd *o = p;
  if (o->mark && store_names (w, o->mark))
    w_broken (w, "recorded", "%s, of a request that gets %d: %s", o->mark, o->expected, o->what);
  odd_free (o);
}

static void
check_body (World *w, const Odd *o, json_t *body)
{
  if (o->expected >= 400 && !json_string_length (json_object_get (body, "error")))
    w_broken (w, "odd", "%s: an answer of %d without an error text", o->what, o->expected);
}

static void ask_again (World *w, gpointer p);

static int
any_node (World *w)
{
  return g_rand_int_range (w->troubles.rand, 0, w->n);
}

static void
on_odd (World *w, int status, json_t *body, gpointer p)
{
  Odd *o = p;
  gboolean undecided = status == 0 || status == 503 || status == 429;
  gboolean names_none = o->expected == 400 && !o->mark;
  if (undecided && (status == 0 || !names_none) && o->tries < MOST_TRIES) {
    w_at (w, w->now + AGAIN_S, ask_again, o);
    return;
  }
  if (status == o->expected)
    check_body (w, o, body);
  else
    w_broken (w, status == 200 || status == 201 ? "accepted" : "odd", "%s gets %d in place of %d",
              o->what, status, o->expected);
  if (o->job && (status == 200 || status == 201))
    answer_check (w, o->question, status, body);
  else if (o->job && (status == 400 || status == 404 || status == 422))
    answer_unknown (w, o->question, o->what, status);
  w->troubles.played[TROUBLE_ODD_REQUESTS]++;
  w_at (w, w->now + RECORDED_AFTER_S, not_recorded, o);
}

static Odd *
odd_new (const char *mark, const char *what, int expected)
{
  Odd *o = g_new0 (Odd, 1);
  o->mark = g_strdup (mark);
  o->what = g_strdup (what);
  o->expected = expected;
  return o;
}

/* Takes the body. */
static void
post (World *w, Odd *o, int node, const char *path, char *body)
{
  o->path = g_strdup (path);
  o->body = body;
  w_ask (w, node, -1, HR_POST, path, g_strdup (body), 5, on_odd, o);
}

static void
ask_again (World *w, gpointer p)
{
  Odd *o = p;
  o->tries++;
  if (o->question) { /* what has been told meanwhile counts for this answer too */
    g_free (o->question);
    o->question = question_new (w, o->job);
  }
  w_ask (w, any_node (w), -1, HR_POST, o->path, g_strdup (o->body), 5, on_odd, o);
}

/* ---- submissions ---- */

static json_t *
valid_job (World *w, char **mark)
{
  *mark = g_strdup_printf ("job-odd-%u", ++w->troubles.odd_requests);
  g_autofree char *image = g_strconcat ("img-", *mark, NULL);
  return json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsfsn}", "name_id", *mark, "jobclass",
                    "array", "crew", "crew", "shape", "batch", "rank", "normal", "pieces", 1,
                    "vcpus", 1.0, "accelerators", 0.0, "memory_gb", 1.0, "bundle", image, "size_gb",
                    1.0, "hulls", "quarry", "together", 0, "apart", 0, "loaners", 0, "guess_s", 5.0,
                    "cairn_s", 0.0, "stash_s", 0.0, "due_s");
}

/* value: NULL: without that field. */
static void
with_field (World *w, const char *field, json_t *value, int expected)
{
  g_autofree char *mark = NULL, *text = value ? json_dumps (value, JSON_ENCODE_ANY) : NULL;
  json_t *job = valid_job (w, &mark);
  g_autofree char *what = g_strdup_printf ("a job with %s %s", field, text ? text : "missing");
  if (value)
    json_object_set_new (job, field, value);
  else
    json_object_del (job, field);
  post (w, odd_new (mark, what, expected), any_node (w), "/v1/jobs", hr_json_take_text (job));
}

/* Fields that may not be null may not be missing. */
static void
fields_missing (World *w)
{
  static const char *const fields[] = {
      "name_id", "jobclass",     "crew",      "shape",   "rank",    "pieces",
      "vcpus",   "accelerators", "memory_gb", "bundle",  "size_gb", "together",
      "apart",   "loaners",      "guess_s",   "cairn_s", "stash_s"};
  for (guint i = 0; i < G_N_ELEMENTS (fields); i++) {
    with_field (w, fields[i], NULL, 400);
    with_field (w, fields[i], json_null (), 400);
    with_field (w, fields[i], json_object (), 400);
  }
}

static void
fields_of_wrong_type (World *w)
{
  static const char *const texts[] = {"name_id", "jobclass", "crew",  "shape",
                                      "rank",    "bundle",   "hulls", "quarry"};
  static const char *const amounts[] = {"vcpus",   "accelerators", "memory_gb", "size_gb",
                                        "guess_s", "cairn_s",      "stash_s",   "due_s"};
  static const char *const flags[] = {"together", "apart", "loaners"};
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    with_field (w, texts[i], json_integer (7), 400);
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++) {
    with_field (w, amounts[i], json_string ("4.0"), 400);
    with_field (w, amounts[i], json_real (-1), 400);
  }
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    with_field (w, flags[i], json_integer (1), 400);
  with_field (w, "pieces", json_string ("3"), 400);
  with_field (w, "pieces", json_real (2.5), 400);
  with_field (w, "pieces", json_integer (0), 400);
  with_field (w, "pieces", json_integer (-1), 400);
  with_field (w, "pieces", json_integer (100001), 400);
  with_field (w, "shape", json_string ("swarm"), 400);
  with_field (w, "rank", json_string ("highest"), 400);
  with_field (w, "name_id", json_string ("odd-1"), 400);
  with_field (w, "name_id", json_string ("job-a/b"), 400);
  with_field (w, "hulls", json_string ("g2"), 400);
  with_field (w, "hulls", json_pack ("[i]", 2), 400);
}

static void
can_never_run (World *w)
{
  with_field (w, "crew", json_string ("nobody"), 422);
  with_field (w, "vcpus", json_real (13), 422);
  with_field (w, "accelerators", json_real (3), 422);
  with_field (w, "memory_gb", json_real (97), 422);
  with_field (w, "hulls", json_pack ("[s]", "none"), 422);
  with_field (w, "quarry", json_string ("z9"), 422);
}

static void
no_object (World *w)
{
  static const char *const bodies[] = {"", "{", "[]", "7", "null", "\"job-odd\"", "{\"a\":1}x"};
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++) {
    g_autofree char *what = g_strdup_printf ("a submission of '%s'", bodies[i]);
    post (w, odd_new (NULL, what, 400), any_node (w), "/v1/jobs", g_strdup (bodies[i]));
  }
}

/* ---- jobs that are there, and jobs that are not ---- */

static void
unknown_jobs (World *w)
{
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++w->troubles.odd_requests);
  g_autofree char *path = g_strconcat ("/v1/jobs/", mark, "/abort", NULL);
  post (w, odd_new (mark, "a cancellation of an unknown job", 404), any_node (w), path, NULL);
}

/* Cancels a job that is done, and one that is withdrawn already: the state is what it was. */
static void
final_jobs (World *w)
{
  SJob *chosen[2] = {NULL, NULL};
  for (guint i = 0, seen[2] = {0}; i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    if (!j->told_done && !j->told_withdrawn)
      continue;
    int k = j->told_withdrawn > 0;
    if (g_rand_int_range (w->troubles.rand, 0, ++seen[k]) == 0)
      chosen[k] = j;
  }
  for (int k = 0; k < 2; k++) {
    SJob *j = chosen[k];
    if (!j)
      continue;
    g_autofree char *path = g_strconcat ("/v1/jobs/", j->id, "/abort", NULL);
    Odd *o = odd_new (NULL, k ? "a second cancellation" : "a cancellation of a done job", 200);
    o->job = j;
    o->question = question_new (w, j);
    post (w, o, any_node (w), path, NULL);
  }
}

typedef enum { CONTENT_SMALLER, CONTENT_NO_TEAM, CONTENT_NO_MACHINE, CONTENTS } Content;

static char *
other_content (World *w, const SJob *j, Content content, const char *mark)
{
  json_t *o = json_loads (j->body, 0, NULL);
  g_autofree char *image = g_strconcat ("img-", mark, NULL);
  json_object_set_new (o, "bundle", json_string (image));
  if (content == CONTENT_SMALLER)
    json_object_set_new (o, "pieces", json_integer (1));
  else if (content == CONTENT_NO_TEAM)
    json_object_set_new (o, "crew", json_string ("nobody"));
  else
    json_object_set_new (o, "vcpus", json_real (13));
  return hr_json_take_text (o);
}

typedef struct {
  SJob *job;
  int node;
  Content content;
} Repeat;

/* A repeated submission is known by its id alone. */
static void
repeat (World *w, gpointer p)
{
  g_autofree Repeat *r = p;
  static const char *const names[] = {"smaller", "of no team", "for no machine"};
  g_autofree char *mark = g_strdup_printf ("job-odd-%u", ++w->troubles.odd_requests);
  g_autofree char *what =
      g_strdup_printf ("a repeated submission with other content (%s)", names[r->content]);
  Odd *o = odd_new (mark, what, 200);
  o->job = r->job;
  o->question = question_new (w, r->job);
  post (w, o, r->node, "/v1/jobs", other_content (w, r->job, r->content, mark));
}

static void
plan_repeat (World *w, SJob *j, int node)
{
  Repeat *r = g_new (Repeat, 1);
  *r = (Repeat){j, node, g_rand_int_range (w->troubles.rand, 0, CONTENTS)};
  w_at (w, w->now + trouble_rand (w, 0, REPEAT_SPAN_S), repeat, r);
}

void
odd_repeat (World *w, SJob *j)
{
  for (int node = 0; node < w->n; node++)
    plan_repeat (w, j, node);
}

static void
unfinished_jobs (World *w)
{
  SJob *chosen = NULL;
  for (guint i = 0, seen = 0; i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    if (j->accepted && !j->told_done && !j->told_withdrawn &&
        g_rand_int_range (w->troubles.rand, 0, ++seen) == 0)
      chosen = j;
  }
  if (chosen)
    plan_repeat (w, chosen, any_node (w));
}

static void
odd_round (World *w, gpointer p)
{
  if (w->troubles.odd_until <= w->now)
    return;
  fields_missing (w);
  fields_of_wrong_type (w);
  can_never_run (w);
  no_object (w);
  unknown_jobs (w);
  final_jobs (w);
  unfinished_jobs (w);
  w_at (w, w->now + ROUND_S, odd_round, NULL);
}

void
odd_begin (World *w)
{
  odd_round (w, NULL);
}
