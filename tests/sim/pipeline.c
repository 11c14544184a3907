#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/pipeline.h"
#include "sim/request.h"
#include "sim/user.h"
#include <string.h>

#define MOST_STEPS 6
#define LOOK_S 0.4

/* One user's pipeline: each step is submitted once those that it awaits are accepted. */
typedef struct {
  SimJob *steps[MOST_STEPS];
  guint nsteps, sent;
  gboolean late; /* the last step is submitted only when the others are over */
} Pipeline;

/* ---- the rules ---- */

/* When a user was first told that a job before this one is cancelled; 0: none was. */
static double
told_before (const SimJob *job)
{
  double first = 0;
  for (guint i = 0; job->awaits && i < job->awaits->len; i++) {
    const SimJob *before = job->awaits->pdata[i];
    double told = before->cancelled_reply_at ? before->cancelled_reply_at : told_before (before);
    if (told && (!first || told < first))
      first = told;
  }
  return first;
}

/* The same, counted from when the job itself was accepted where that is later. */
static double
orphan_since (const SimJob *job)
{
  double told = told_before (job);
  return told && job->accepted ? MAX (told, job->accepted_at) : 0;
}

gboolean
pipeline_cancel_asked (const SimJob *job)
{
  gboolean asked = job->cancel_requested;
  for (guint i = 0; job->awaits && i < job->awaits->len; i++)
    asked |= pipeline_cancel_asked (job->awaits->pdata[i]);
  return asked;
}

gboolean
pipeline_ready (const SimJob *job)
{
  for (guint i = 0; job->awaits && i < job->awaits->len; i++)
    if (!job_all_done (job->awaits->pdata[i]))
      return FALSE;
  return !told_before (job);
}

void
pipeline_start (SimCluster *cluster, const SimJob *job, guint32 task_index)
{
  for (guint i = 0; job->awaits && i < job->awaits->len; i++) {
    const SimJob *before = job->awaits->pdata[i];
    for (guint k = 0; k < before->tasks; k++)
      if (!before->done[k]) {
        sim_report_violation (cluster, "too_early", "%s/%u starts before %s/%u is done", job->id,
                              task_index, before->id, k);
        break;
      }
  }
  pipeline_on_machine (cluster, job, task_index);
}

void
pipeline_on_machine (SimCluster *cluster, const SimJob *job, guint32 task_index)
{
  double since = orphan_since (job);
  if (since && cluster->now > since + cluster->cancel_s)
    sim_report_violation (cluster, "orphaned", "%s/%u is on a machine", job->id, task_index);
}

/* Whatever was not in the state service by now is lost. */
static void
shock (SimCluster *cluster)
{
  if (sim_rand_range (cluster, 0, 1) < 0.5)
    cluster->store_outage_until =
        MAX (cluster->store_outage_until, cluster->now + sim_rand_range (cluster, 3, 15));
  for (int k = 0; k < cluster->n; k++) {
    node_kill (cluster, k);
    node_start_at (cluster, k, cluster->now + sim_rand_range (cluster, 0.1, 5));
  }
}

void
pipeline_told (SimCluster *cluster, SimJob *job, const char *state, double sent)
{
  gboolean over = strcmp (state, "withdrawn") == 0 || strcmp (state, "done") == 0;
  double since = orphan_since (job);
  /* Every answer rests on a reading sent after the question: what was told before it shows. The
   * first answer to a submission alone needs none. */
  if (since && since < sent && !over)
    sim_report_violation (cluster, "orphaned",
                          "%s is called %s %.1f s after one before it was called withdrawn",
                          job->id, state, sent - since);
  if (cluster->crash_after_cancel && !cluster->faults_ended && strcmp (state, "withdrawn") == 0 &&
      !job->cancelled_reply_at && cluster->now - cluster->crashed_after_cancel_at > 20) {
    cluster->crashed_after_cancel_at = cluster->now;
    shock (cluster);
  }
}

void
pipelines_verdict (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    if (!job->submitted)
      continue;
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (job->cancel_requested && !job->cancelled_reply_at && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
    else if (told_before (job) && !job->cancelled_reply_at)
      sim_report_violation (cluster, "orphaned", "%s was never called withdrawn", job->id);
    else if (!job->cancelled_reply_at &&
             (job->shape == HR_SERVICE ? !job->started : !job->done_reply_at))
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
  }
}

/* ---- users ---- */

static gboolean
over (const SimJob *job)
{
  return job->done_reply_at || job->cancelled_reply_at;
}

static void
go_on (SimCluster *cluster, gpointer data)
{
  Pipeline *line = data;
  SimJob *next = line->steps[line->sent];
  gboolean now = TRUE, last = line->sent + 1 == line->nsteps;
  for (guint i = 0; i < line->sent; i++) {
    const SimJob *before = line->steps[i];
    now &= before->accepted && (!last || !line->late || over (before));
  }
  if (now) {
    job_submit (cluster, next);
    line->sent++;
  }
  if (line->sent < line->nsteps)
    sim_schedule (cluster, cluster->now + sim_rand_range (cluster, 0.1, now ? 3 : LOOK_S), go_on,
                  line);
  else
    g_free (line);
}

static SimJob *
step_of (SimCluster *cluster, HrShape shape, guint tasks)
{
  SimJob *job = job_new (cluster);
  job->shape = shape;
  job->tasks = tasks;
  job->cpus = shape == HR_GANG ? 4 : 1;
  job->gpus = shape == HR_GANG ? 1 : 0;
  job->mem = 5;
  job->image = g_rand_int_range (cluster->rand, 0, 3);
  job->image_gb = 1;
  job->run = sim_rand_range (cluster, 4, 15);
  job->spot = shape == HR_BATCH;
  job->one_zone = shape == HR_GANG;
  job->no_deadline = TRUE;
  job->awaits = g_ptr_array_new ();
  return job;
}

static void
await_steps (SimJob *job, Pipeline *line, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    g_ptr_array_add (job->awaits, line->steps[i]);
}

/* One array, then a few that await it, a gang that awaits those, and a last job with the
 * deadline of all: mostly an array, now and then a service. */
static void
new_pipeline (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  double cancelled = cluster->pipelines_cancelled;
  Pipeline *line = g_new0 (Pipeline, 1);
  guint middle = g_rand_int_range (cluster->rand, 1, 4);
  line->steps[0] = step_of (cluster, HR_BATCH, g_rand_int_range (cluster->rand, 1, 5));
  for (guint i = 1; i <= middle; i++) { /* some stand in pages */
    guint tasks =
        sim_rand_range (cluster, 0, 1) < 0.1 ? 90 : g_rand_int_range (cluster->rand, 1, 12);
    line->steps[i] = step_of (cluster, HR_BATCH, tasks);
    await_steps (line->steps[i], line, 0, 1);
  }
  line->steps[middle + 1] = step_of (cluster, HR_GANG, g_rand_int_range (cluster->rand, 1, 3));
  await_steps (line->steps[middle + 1], line, 1, middle + 1);
  HrShape last = sim_rand_range (cluster, 0, 1) < 0.1 ? HR_SERVICE : HR_BATCH;
  line->steps[middle + 2] = step_of (cluster, last, g_rand_int_range (cluster->rand, 1, 4));
  line->steps[middle + 2]->no_deadline = last == HR_SERVICE;
  await_steps (line->steps[middle + 2], line, sim_rand_range (cluster, 0, 1) < 0.2 ? 0 : middle + 1,
               middle + 2);
  line->nsteps = middle + 3;
  line->late = sim_rand_range (cluster, 0, 1) < 0.25;
  if (sim_rand_range (cluster, 0, 1) < cancelled) {
    SimJob *root = line->steps[g_rand_int_range (cluster->rand, 0, line->nsteps - 1)];
    root->cancel = TRUE;
    root->cancel_at = cluster->now + sim_rand_range (cluster, 1, 40);
  }
  go_on (cluster, line);
}

/* A job that awaits what nobody submitted is never accepted. */
static void
on_stranger (SimCluster *cluster, int status, json_t *body G_GNUC_UNUSED,
             gpointer data G_GNUC_UNUSED)
{
  if (status == 200 || status == 201)
    sim_report_violation (cluster, "invented", "a job that awaits an unknown one is accepted");
  else if (status == 400)
    sim_report_violation (cluster, "status", "a job that awaits an unknown one gets 400");
}

static void
stranger (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  guint n = ++cluster->unknown_jobs_polled;
  int node = g_rand_int_range (cluster->rand, 0, cluster->n);
  char *body = g_strdup_printf (
      "{\"name_id\":\"job-y%u\",\"jobclass\":\"array\",\"crew\":\"crew\",\"shape\":\"batch\","
      "\"rank\":\"normal\",\"pieces\":1,\"vcpus\":1,\"accelerators\":0,\"memory_gb\":1,"
      "\"bundle\":\"i\",\"size_gb\":1,\"hulls\":null,\"quarry\":null,\"together\":false,"
      "\"apart\":false,\"loaners\":false,\"guess_s\":20,\"cairn_s\":0,\"stash_s\":0,"
      "\"due_s\":null,\"awaits\":[\"job-x%u\"]}",
      n, n);
  g_autofree char *path = g_strdup_printf ("/v1/jobs/job-y%u", n - 1);
  sim_send_request (cluster, node, -1, HR_POST, "/v1/jobs", body, 5, on_stranger, NULL);
  sim_send_request (cluster, node, -1, HR_GET, path, NULL, 2, on_stranger, NULL);
  sim_schedule (cluster, cluster->now + 6, stranger, NULL);
}

void
users_pipelines (SimCluster *cluster, const PipelineDay *day)
{
  users_init (cluster, 0, 0);
  users_pipelines_beside (cluster, day);
}

void
users_pipelines_beside (SimCluster *cluster, const PipelineDay *day)
{
  cluster->pipelines_cancelled = day->cancelled;
  cluster->crash_after_cancel = day->shock;
  for (guint i = 0; i < day->pipelines; i++)
    sim_schedule (cluster, sim_rand_range (cluster, day->from, day->to), new_pipeline, NULL);
  sim_schedule (cluster, MAX (6, day->from), stranger, NULL);
}
