#include "sim/pipeline.h"
#include "protocol/json_util.h"
#include <string.h>

#define MOST_STEPS 6
#define LOOK_S 0.4

/* One user's pipeline: each step is submitted once those that it awaits are accepted. */
typedef struct {
  SJob *steps[MOST_STEPS];
  guint nsteps, sent;
  gboolean late; /* the last step is submitted only when the others are over */
} Pipeline;

/* ---- the rules ---- */

/* When a user was first told that a job before this one is withdrawn; 0: none was. */
static double
told_before (const SJob *j)
{
  double first = 0;
  for (guint i = 0; j->awaits && i < j->awaits->len; i++) {
    const SJob *before = j->awaits->pdata[i];
    double told = before->told_withdrawn ? before->told_withdrawn : told_before (before);
    if (told && (!first || told < first))
      first = told;
  }
  return first;
}

/* The same, counted from when the job itself was accepted where that is later. */
static double
orphan_since (const SJob *j)
{
  double told = told_before (j);
  return told && j->accepted ? MAX (told, j->accepted_at) : 0;
}

gboolean
pipeline_cancel_asked (const SJob *j)
{
  gboolean asked = j->asked_cancel;
  for (guint i = 0; j->awaits && i < j->awaits->len; i++)
    asked |= pipeline_cancel_asked (j->awaits->pdata[i]);
  return asked;
}

gboolean
pipeline_ready (const SJob *j)
{
  for (guint i = 0; j->awaits && i < j->awaits->len; i++)
    if (!job_all_done (j->awaits->pdata[i]))
      return FALSE;
  return !told_before (j);
}

void
pipeline_start (World *w, const SJob *j, guint32 task)
{
  for (guint i = 0; j->awaits && i < j->awaits->len; i++) {
    const SJob *before = j->awaits->pdata[i];
    for (guint k = 0; k < before->tasks; k++)
      if (!before->done[k]) {
        w_broken (w, "too_early", "%s/%u starts before %s/%u is done", j->id, task, before->id, k);
        break;
      }
  }
  pipeline_on_machine (w, j, task);
}

void
pipeline_on_machine (World *w, const SJob *j, guint32 task)
{
  double since = orphan_since (j);
  if (since && w->now > since + w->cancel_s)
    w_broken (w, "orphaned", "%s/%u is on a machine", j->id, task);
}

/* Whatever was not in the state service by now is lost. */
static void
shock (World *w)
{
  if (w_rand (w, 0, 1) < 0.5)
    w->outage = MAX (w->outage, w->now + w_rand (w, 3, 15));
  for (int k = 0; k < w->n; k++) {
    node_kill (w, k);
    node_start_at (w, k, w->now + w_rand (w, 0.1, 5));
  }
}

void
pipeline_told (World *w, SJob *j, const char *state, double sent)
{
  gboolean over = strcmp (state, "withdrawn") == 0 || strcmp (state, "done") == 0;
  double since = orphan_since (j);
  /* Every answer rests on a reading sent after the question: what was told before it shows. The
   * first answer to a submission alone needs none. */
  if (since && since < sent && !over)
    w_broken (w, "orphaned", "%s is called %s %.1f s after one before it was called withdrawn",
              j->id, state, sent - since);
  if (w->shock && !w->calm && strcmp (state, "withdrawn") == 0 && !j->told_withdrawn &&
      w->now - w->shocked_at > 20) {
    w->shocked_at = w->now;
    shock (w);
  }
}

void
pipelines_verdict (World *w)
{
  for (guint i = 0; i < w->jobs->len; i++) {
    const SJob *j = w->jobs->pdata[i];
    if (!j->submitted)
      continue;
    if (!j->accepted)
      w_broken (w, "liveness", "%s was never accepted", j->id);
    else if (j->asked_cancel && !j->told_withdrawn && !j->told_done)
      w_broken (w, "liveness", "%s was not withdrawn", j->id);
    else if (told_before (j) && !j->told_withdrawn)
      w_broken (w, "orphaned", "%s was never called withdrawn", j->id);
    else if (!j->told_withdrawn && (j->shape == HR_SERVICE ? !j->started : !j->told_done))
      w_broken (w, "liveness", "%s (%d, %u tasks) is not done", j->id, j->shape, j->tasks);
  }
}

/* ---- users ---- */

static gboolean
over (const SJob *j)
{
  return j->told_done || j->told_withdrawn;
}

static void
go_on (World *w, gpointer p)
{
  Pipeline *line = p;
  SJob *next = line->steps[line->sent];
  gboolean now = TRUE, last = line->sent + 1 == line->nsteps;
  for (guint i = 0; i < line->sent; i++) {
    const SJob *before = line->steps[i];
    now &= before->accepted && (!last || !line->late || over (before));
  }
  if (now) {
    job_submit (w, next);
    line->sent++;
  }
  if (line->sent < line->nsteps)
    w_at (w, w->now + w_rand (w, 0.1, now ? 3 : LOOK_S), go_on, line);
  else
    g_free (line);
}

static SJob *
step_of (World *w, HrShape shape, guint tasks)
{
  SJob *j = job_new (w);
  j->shape = shape;
  j->tasks = tasks;
  j->cpus = shape == HR_GANG ? 4 : 1;
  j->gpus = shape == HR_GANG ? 1 : 0;
  j->mem = 5;
  j->image = g_rand_int_range (w->rand, 0, 3);
  j->image_gb = 1;
  j->run = w_rand (w, 4, 15);
  j->spot = shape == HR_BATCH;
  j->one_zone = shape == HR_GANG;
  j->no_deadline = TRUE;
  j->awaits = g_ptr_array_new ();
  return j;
}

static void
await_steps (SJob *j, Pipeline *line, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    g_ptr_array_add (j->awaits, line->steps[i]);
}

/* One array, then a few that await it, a gang that awaits those, and a last job with the
 * deadline of all: mostly an array, now and then a service. */
static void
new_pipeline (World *w, gpointer p)
{
  double cancelled = w->pipelines_cancelled;
  Pipeline *line = g_new0 (Pipeline, 1);
  guint middle = g_rand_int_range (w->rand, 1, 4);
  line->steps[0] = step_of (w, HR_BATCH, g_rand_int_range (w->rand, 1, 5));
  for (guint i = 1; i <= middle; i++) { /* some stand in pages */
    guint tasks = w_rand (w, 0, 1) < 0.1 ? 90 : g_rand_int_range (w->rand, 1, 12);
    line->steps[i] = step_of (w, HR_BATCH, tasks);
    await_steps (line->steps[i], line, 0, 1);
  }
  line->steps[middle + 1] = step_of (w, HR_GANG, g_rand_int_range (w->rand, 1, 3));
  await_steps (line->steps[middle + 1], line, 1, middle + 1);
  HrShape last = w_rand (w, 0, 1) < 0.1 ? HR_SERVICE : HR_BATCH;
  line->steps[middle + 2] = step_of (w, last, g_rand_int_range (w->rand, 1, 4));
  line->steps[middle + 2]->no_deadline = last == HR_SERVICE;
  await_steps (line->steps[middle + 2], line, w_rand (w, 0, 1) < 0.2 ? 0 : middle + 1, middle + 2);
  line->nsteps = middle + 3;
  line->late = w_rand (w, 0, 1) < 0.25;
  if (w_rand (w, 0, 1) < cancelled) {
    SJob *root = line->steps[g_rand_int_range (w->rand, 0, line->nsteps - 1)];
    root->cancel = TRUE;
    root->due_cancel = w->now + w_rand (w, 1, 40);
  }
  go_on (w, line);
}

/* A job that awaits what nobody submitted is never accepted. */
static void
on_stranger (World *w, int status, json_t *body, gpointer p)
{
  if (status == 200 || status == 201)
    w_broken (w, "invented", "a job that awaits an unknown one is accepted");
  else if (status == 400)
    w_broken (w, "status", "a job that awaits an unknown one gets 400");
}

static void
stranger (World *w, gpointer p)
{
  guint n = ++w->invented_asked;
  int node = g_rand_int_range (w->rand, 0, w->n);
  char *body = g_strdup_printf (
      "{\"name_id\":\"job-y%u\",\"jobclass\":\"array\",\"crew\":\"crew\",\"shape\":\"batch\","
      "\"rank\":\"normal\",\"pieces\":1,\"vcpus\":1,\"accelerators\":0,\"memory_gb\":1,"
      "\"bundle\":\"i\",\"size_gb\":1,\"hulls\":null,\"quarry\":null,\"together\":false,"
      "\"apart\":false,\"loaners\":false,\"guess_s\":20,\"cairn_s\":0,\"stash_s\":0,"
      "\"due_s\":null,\"awaits\":[\"job-x%u\"]}",
      n, n);
  g_autofree char *path = g_strdup_printf ("/v1/jobs/job-y%u", n - 1);
  w_ask (w, node, -1, HR_POST, "/v1/jobs", body, 5, on_stranger, NULL);
  w_ask (w, node, -1, HR_GET, path, NULL, 2, on_stranger, NULL);
  w_at (w, w->now + 6, stranger, NULL);
}

void
users_pipelines (World *w, const PipelineDay *day)
{
  users_init (w, 0, 0);
  users_pipelines_beside (w, day);
}

void
users_pipelines_beside (World *w, const PipelineDay *day)
{
  w->pipelines_cancelled = day->cancelled;
  w->shock = day->shock;
  for (guint i = 0; i < day->pipelines; i++)
    w_at (w, w_rand (w, day->from, day->to), new_pipeline, NULL);
  w_at (w, MAX (6, day->from), stranger, NULL);
}
