/* Users of pipelines, and the rules for jobs that await other jobs (pipeline.h).
 * src/protocol/wire_names.h explains the fields and states in requests and answers. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/pipeline.h"
#include "sim/request.h"
#include "sim/user.h"
#include <string.h>

#define MAX_STEPS 6
#define POLL_S 0.4

/* One user's pipeline: each step is submitted once those that it awaits are accepted. */
typedef struct {
  SimJob *steps[MAX_STEPS];
  guint nsteps, sent;
  gboolean late; /* the last step is submitted only when all others have ended */
} Pipeline;

/* ---- the rules ---- */

/* Returns when a user first learned that a job that this one awaits, directly or indirectly, is
 * cancelled; 0: never. */
static double
ancestor_cancelled_at (const SimJob *job)
{
  double first = 0;
  for (guint i = 0; job->awaits && i < job->awaits->len; i++) {
    const SimJob *awaited = job->awaits->pdata[i];
    double cancelled_at =
        awaited->cancelled_reply_at ? awaited->cancelled_reply_at : ancestor_cancelled_at (awaited);
    if (cancelled_at && (!first || cancelled_at < first))
      first = cancelled_at;
  }
  return first;
}

/* Returns ancestor_cancelled_at(), or the time when the job itself was accepted if that is later.
 */
static double
orphaned_since (const SimJob *job)
{
  double cancelled_at = ancestor_cancelled_at (job);
  return cancelled_at && job->accepted ? MAX (cancelled_at, job->accepted_at) : 0;
}

gboolean
pipeline_cancel_requested (const SimJob *job)
{
  gboolean requested = job->cancel_requested;
  for (guint i = 0; job->awaits && i < job->awaits->len; i++)
    requested |= pipeline_cancel_requested (job->awaits->pdata[i]);
  return requested;
}

gboolean
pipeline_ready (const SimJob *job)
{
  for (guint i = 0; job->awaits && i < job->awaits->len; i++)
    if (!job_all_done (job->awaits->pdata[i]))
      return FALSE;
  return !ancestor_cancelled_at (job);
}

void
pipeline_on_task_start (SimCluster *cluster, const SimJob *job, guint32 task_index)
{
  for (guint i = 0; job->awaits && i < job->awaits->len; i++) {
    const SimJob *awaited = job->awaits->pdata[i];
    for (guint k = 0; k < awaited->tasks; k++)
      if (!awaited->done[k]) {
        sim_report_violation (cluster, "too_early", "%s/%u starts before %s/%u is done", job->id,
                              task_index, awaited->id, k);
        break;
      }
  }
  pipeline_on_machine (cluster, job, task_index);
}

void
pipeline_on_machine (SimCluster *cluster, const SimJob *job, guint32 task_index)
{
  double since = orphaned_since (job);
  if (since && cluster->now > since + cluster->cancel_s)
    sim_report_violation (cluster, "orphaned", "%s/%u is still on a machine", job->id, task_index);
}

/* Crashes all controllers, half of the time along with an outage of the state store; anything that
 * is not in the store yet is lost. */
static void
crash_all_nodes (SimCluster *cluster)
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
pipeline_state_reported (SimCluster *cluster, SimJob *job, const char *state, double sent)
{
  gboolean ended = strcmp (state, "withdrawn") == 0 || strcmp (state, "done") == 0;
  double since = orphaned_since (job);
  /* Every answer relies on a snapshot read that was sent after the request, so it reflects
   * everything that users learned before. Only the first answer to a submission needs no such read.
   */
  if (since && since < sent && !ended)
    sim_report_violation (
        cluster, "orphaned",
        "%s is reported as %s %.1f s after a job before it was reported as withdrawn", job->id,
        state, sent - since);
  if (cluster->crash_after_cancel && !cluster->faults_ended && strcmp (state, "withdrawn") == 0 &&
      !job->cancelled_reply_at && cluster->now - cluster->crashed_after_cancel_at > 20) {
    cluster->crashed_after_cancel_at = cluster->now;
    crash_all_nodes (cluster);
  }
}

void
pipelines_check_end (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    if (!job->submitted)
      continue;
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (job->cancel_requested && !job->cancelled_reply_at && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
    else if (ancestor_cancelled_at (job) && !job->cancelled_reply_at)
      sim_report_violation (cluster, "orphaned", "%s was never reported as withdrawn", job->id);
    else if (!job->cancelled_reply_at &&
             (job->shape == HR_SERVICE ? !job->started : !job->done_reply_at))
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
  }
}

/* ---- users ---- */

static gboolean
has_ended (const SimJob *job)
{
  return job->done_reply_at || job->cancelled_reply_at;
}

static void
submit_next_step (SimCluster *cluster, gpointer data)
{
  Pipeline *pipeline = data;
  SimJob *next = pipeline->steps[pipeline->sent];
  gboolean now = TRUE, last = pipeline->sent + 1 == pipeline->nsteps;
  for (guint i = 0; i < pipeline->sent; i++) {
    const SimJob *before = pipeline->steps[i];
    now &= before->accepted && (!last || !pipeline->late || has_ended (before));
  }
  if (now) {
    job_submit (cluster, next);
    pipeline->sent++;
  }
  if (pipeline->sent < pipeline->nsteps)
    sim_schedule (cluster, cluster->now + sim_rand_range (cluster, 0.1, now ? 3 : POLL_S),
                  submit_next_step, pipeline);
  else
    g_free (pipeline);
}

static SimJob *
new_step (SimCluster *cluster, HrShape shape, guint tasks)
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
await_steps (SimJob *job, Pipeline *pipeline, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    g_ptr_array_add (job->awaits, pipeline->steps[i]);
}

/* Creates a pipeline: one array, a few arrays that await it, a gang that awaits those, and a last
 * job with the deadline of the pipeline, mostly an array and sometimes a service. */
static void
new_pipeline (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  double cancelled = cluster->pipelines_cancelled;
  Pipeline *pipeline = g_new0 (Pipeline, 1);
  guint middle = g_rand_int_range (cluster->rand, 1, 4);
  pipeline->steps[0] = new_step (cluster, HR_BATCH, g_rand_int_range (cluster->rand, 1, 5));
  for (guint i = 1; i <= middle; i++) { /* some are stored in pages */
    guint tasks =
        sim_rand_range (cluster, 0, 1) < 0.1 ? 90 : g_rand_int_range (cluster->rand, 1, 12);
    pipeline->steps[i] = new_step (cluster, HR_BATCH, tasks);
    await_steps (pipeline->steps[i], pipeline, 0, 1);
  }
  pipeline->steps[middle + 1] = new_step (cluster, HR_GANG, g_rand_int_range (cluster->rand, 1, 3));
  await_steps (pipeline->steps[middle + 1], pipeline, 1, middle + 1);
  HrShape last = sim_rand_range (cluster, 0, 1) < 0.1 ? HR_SERVICE : HR_BATCH;
  pipeline->steps[middle + 2] = new_step (cluster, last, g_rand_int_range (cluster->rand, 1, 4));
  pipeline->steps[middle + 2]->no_deadline = last == HR_SERVICE;
  await_steps (pipeline->steps[middle + 2], pipeline,
               sim_rand_range (cluster, 0, 1) < 0.2 ? 0 : middle + 1, middle + 2);
  pipeline->nsteps = middle + 3;
  pipeline->late = sim_rand_range (cluster, 0, 1) < 0.25;
  if (sim_rand_range (cluster, 0, 1) < cancelled) {
    SimJob *root = pipeline->steps[g_rand_int_range (cluster->rand, 0, pipeline->nsteps - 1)];
    root->cancel = TRUE;
    root->cancel_at = cluster->now + sim_rand_range (cluster, 1, 40);
  }
  submit_next_step (cluster, pipeline);
}

/* A job that awaits a job that nobody submitted must never be accepted. */
static void
on_unknown_dependency (SimCluster *cluster, int status, json_t *body G_GNUC_UNUSED,
                       gpointer data G_GNUC_UNUSED)
{
  if (status == 200 || status == 201)
    sim_report_violation (cluster, "invented", "a job that awaits an unknown job is accepted");
  else if (status == 400)
    sim_report_violation (cluster, "status", "a job that awaits an unknown job gets 400");
}

static void
submit_with_unknown_dependency (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
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
  sim_send_request (cluster, node, -1, HR_POST, "/v1/jobs", body, 5, on_unknown_dependency, NULL);
  sim_send_request (cluster, node, -1, HR_GET, path, NULL, 2, on_unknown_dependency, NULL);
  sim_schedule (cluster, cluster->now + 6, submit_with_unknown_dependency, NULL);
}

void
users_pipelines (SimCluster *cluster, const PipelineDay *day)
{
  users_init (cluster, 0, 0);
  users_add_pipelines (cluster, day);
}

void
users_add_pipelines (SimCluster *cluster, const PipelineDay *day)
{
  cluster->pipelines_cancelled = day->cancelled;
  cluster->crash_after_cancel = day->crash_after_cancellation;
  for (guint i = 0; i < day->pipelines; i++)
    sim_schedule (cluster, sim_rand_range (cluster, day->from, day->to), new_pipeline, NULL);
  sim_schedule (cluster, MAX (6, day->from), submit_with_unknown_dependency, NULL);
}
