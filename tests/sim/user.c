/* Simulated users: their requests, and the jobs of an ordinary day. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/answer_checks.h"
#include "sim/pipeline.h"
#include "sim/request.h"
#include "sim/user.h"
#include <string.h>

#define LARGE_ARRAY_EVERY_S 15

SimJob *
job_by_id (SimCluster *cluster, const char *id, guint32 *index)
{
  guint place = GPOINTER_TO_UINT (g_hash_table_lookup (cluster->job_index, id));
  if (!place)
    return NULL;
  *index = place - 1;
  return cluster->jobs->pdata[place - 1];
}

static void submit (SimCluster *cluster, gpointer data);
static void poll (SimCluster *cluster, gpointer data);
static void cancel (SimCluster *cluster, gpointer data);

static int
any_node (SimCluster *cluster)
{
  return g_rand_int_range (cluster->rand, 0, cluster->n);
}

/* ---- requests ---- */

static void
on_poll (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  SimUserRequest *request = data;
  if (status == 200)
    check_user_response (cluster, request, status, body);
  else if (status == 404)
    check_user_error (cluster, request, "a poll", status);
  g_free (request);
}

static void
on_regular_poll (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  SimJob *job = ((SimUserRequest *)data)->job;
  on_poll (cluster, status, body, data);
  if (!cluster->faults_ended && sim_rand_range (cluster, 0, 1) < 0.02)
    sim_schedule (cluster, cluster->now + sim_rand_range (cluster, 1, 20), submit,
                  job); /* a late retry of the submission */
  sim_schedule (cluster, cluster->now + (job->done_reply_at || job->cancelled_reply_at ? 15 : 5),
                poll, job);
}

static void
send_poll (SimCluster *cluster, SimJob *job, int node,
           void (*done) (SimCluster *, int, json_t *, gpointer))
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", job->id, NULL);
  sim_send_request (cluster, node, -1, HR_GET, path, NULL, 2, done,
                    sim_user_request_new (cluster, job));
}

void
user_poll_at (SimCluster *cluster, SimJob *job, int node)
{
  send_poll (cluster, job, node < 0 ? any_node (cluster) : node, on_poll);
}

static void
poll (SimCluster *cluster, gpointer data)
{
  send_poll (cluster, data, any_node (cluster), on_regular_poll);
}

static void
on_submit (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  SimUserRequest *request = data;
  SimJob *job = request->job;
  if (status == 201 || status == 200) {
    if (!job->accepted) {
      sim_schedule (cluster, cluster->now + 1, poll, job);
      if (job->cancel)
        sim_schedule (cluster, job->cancel_at, cancel, job);
      job->accepted_at = cluster->now;
    }
    job->accepted = TRUE;
    check_user_response (cluster, request, status, body);
  } else if (status == 400 || status == 422) {
    check_user_error (cluster, request, "its submission", status);
  } else if (!job->accepted)
    sim_schedule (cluster, cluster->now + 1, submit, job);
  g_free (request);
}

void
user_submit_at (SimCluster *cluster, SimJob *job, int node)
{
  job->submitted = TRUE;
  sim_send_request (cluster, node < 0 ? any_node (cluster) : node, -1, HR_POST, "/v1/jobs",
                    g_strdup (job->body), 5, on_submit, sim_user_request_new (cluster, job));
}

static void
submit (SimCluster *cluster, gpointer data)
{
  user_submit_at (cluster, data, -1);
}

static void
on_cancel (SimCluster *cluster, int status, json_t *body, gpointer data)
{
  SimUserRequest *request = data;
  if (status == 200)
    check_user_response (cluster, request, status, body);
  else if (status == 404)
    check_user_error (cluster, request, "its cancellation", status);
  else
    sim_schedule (cluster, cluster->now + 1, cancel, request->job);
  g_free (request);
}

void
user_cancel_at (SimCluster *cluster, SimJob *job, int node)
{
  if (!job->cancel_requested)
    job->cancel_requested_at = cluster->now;
  job->cancel_requested = TRUE;
  g_autofree char *path = g_strconcat ("/v1/jobs/", job->id, "/abort", NULL);
  sim_send_request (cluster, node < 0 ? any_node (cluster) : node, -1, HR_POST, path, NULL, 5,
                    on_cancel, sim_user_request_new (cluster, job));
}

static void
cancel (SimCluster *cluster, gpointer data)
{
  user_cancel_at (cluster, data, -1);
}

void
users_cancel_service_at (SimCluster *cluster, int node)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (job->shape != HR_SERVICE || !job->started || job->cancel)
      continue;
    job->cancel = TRUE;
    user_cancel_at (cluster, job, node);
    return;
  }
}

static void
on_poll_unknown (SimCluster *cluster, int status, json_t *body G_GNUC_UNUSED,
                 gpointer data G_GNUC_UNUSED)
{
  if (status == 200)
    sim_report_violation (cluster, "invented", "a poll of a job that was never submitted gets 200");
}

static void
poll_unknown (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/job-x%u", ++cluster->unknown_jobs_polled);
  sim_send_request (cluster, any_node (cluster), -1, HR_GET, path, NULL, 2, on_poll_unknown, NULL);
  sim_schedule (cluster, cluster->now + 7, poll_unknown, NULL);
}

static void
on_probe (SimCluster *cluster, int status, json_t *body G_GNUC_UNUSED, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  if (status == 200 && node_isolated (cluster, i))
    sim_report_violation (cluster, "alone", "c%d answers /ready with 200 though it is isolated", i);
}

static void
probe (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int i = 0; i < cluster->n; i++)
    sim_send_request (cluster, i, -1, HR_GET, "/ready", NULL, 1, on_probe, GINT_TO_POINTER (i));
  sim_schedule (cluster, cluster->now + 1, probe, NULL);
}

void
users_probe (SimCluster *cluster)
{
  sim_schedule (cluster, 1, probe, NULL);
}

/* ---- jobs ---- */

SimJob *
job_new (SimCluster *cluster)
{
  SimJob *job = g_new0 (SimJob, 1);
  job->id = g_strdup_printf ("job-%06u", 7919 * ++cluster->named_jobs % 1000000);
  return job;
}

void
job_submit (SimCluster *cluster, SimJob *job)
{
  job->done = g_new0 (guint, job->tasks);
  job->progress = g_new0 (double, job->tasks);
  static const char *const shapes[] = {"batch", "ensemble", "daemon"};
  static const char *const priority_names[] = {"normal", "urgent", "production"};
  static const char *const classes[] = {"array", "gang", "live"};
  g_autofree char *image = g_strdup_printf ("img-%u", job->image);
  json_t *object = json_pack (
      "{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsf}", "name_id", job->id, "jobclass",
      job->job_class ? job->job_class : classes[job->shape], "crew", job->team ? job->team : "crew",
      "shape", shapes[job->shape], "rank", job->rank ? job->rank : priority_names[job->shape],
      "pieces", (int)job->tasks, "vcpus", job->cpus, "accelerators", job->gpus, "memory_gb",
      job->mem, "bundle", image, "size_gb", job->image_gb, "hulls", "quarry", "together",
      job->one_zone, "apart", job->spread, "loaners", job->spot, "guess_s",
      job->shape == HR_SERVICE ? 0 : job->run * sim_rand_range (cluster, 0.5, 2), "cairn_s",
      job->checkpoint, "stash_s", job->save);
  for (guint i = 0; job->awaits && i < job->awaits->len; i++) {
    if (!i)
      json_object_set_new (object, "awaits", json_array ());
    json_array_append_new (json_object_get (object, "awaits"),
                           json_string (((SimJob *)job->awaits->pdata[i])->id));
  }
  if (job->shape == HR_BATCH && !job->no_deadline)
    json_object_set_new (object, "due_s", json_real (job->due > 0 ? job->due : job->run * 2 + 30));
  if (job->zone)
    json_object_set_new (object, "quarry", json_string (job->zone == 1 ? "z0" : "z1"));
  job->body = hr_json_take_text (object);
  g_ptr_array_add (cluster->jobs, job);
  g_hash_table_insert (cluster->job_index, job->id, GUINT_TO_POINTER (cluster->jobs->len));
  submit (cluster, job);
}

static void
new_job (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  SimJob *job = job_new (cluster);
  guint n = cluster->jobs->len;
  double dice = sim_rand_range (cluster, 0, 1);
  job->shape = dice < 0.2 ? HR_SERVICE : dice < 0.45 ? HR_GANG : HR_BATCH;
  if (n == 5)
    job->shape = HR_BATCH;
  job->tasks = job->shape == HR_SERVICE ? g_rand_int_range (cluster->rand, 1, 4)
               : job->shape == HR_GANG  ? g_rand_int_range (cluster->rand, 1, 4)
                                        : g_rand_int_range (cluster->rand, 1, 9);
  if (n == 5)
    job->tasks = 140; /* its record has its tasks in pages */
  job->cpus = job->shape == HR_GANG ? 10 : 4;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = cluster->cancels_most_jobs
                   ? 0
                   : g_rand_int_range (cluster->rand, 0,
                                       4); /* a single image, which is soon cached everywhere */
  job->image_gb = 1 + job->image;
  job->run = n == 5 ? 5 : sim_rand_range (cluster, 5, 60);
  job->checkpoint = sim_rand_range (cluster, 0, 1) < 0.5 ? 10 : 0;
  job->save = job->checkpoint > 0 ? 2 : 0;
  job->one_zone = job->shape == HR_GANG && sim_rand_range (cluster, 0, 1) < 0.6;
  job->spread = job->shape == HR_SERVICE && sim_rand_range (cluster, 0, 1) < 0.5;
  job->spot = job->shape == HR_BATCH;
  job->always_fails = job->shape == HR_BATCH && n != 5 && sim_rand_range (cluster, 0, 1) < 0.04;
  job->cancel = job->always_fails || sim_rand_range (cluster, 0, 1) < 0.2;
  if (cluster->quota_gpus > 0 && job->shape == HR_SERVICE)
    job->cancel = TRUE; /* services would use up the quota permanently */
  job->cancel_at = cluster->now + sim_rand_range (cluster, 1, 80);
  if (cluster->cancels_most_jobs && n != 5 && sim_rand_range (cluster, 0, 1) < 0.8) {
    job->cancel = TRUE;
    job->cancel_at = cluster->now + sim_rand_range (cluster, 0.5, 12);
  }
  job_submit (cluster, job);
}

SimJob *
job_new_gang (SimCluster *cluster, guint tasks, double image_gb, double run)
{
  SimJob *job = job_new (cluster);
  job->shape = HR_GANG;
  job->tasks = tasks;
  job->cpus = 10;
  job->gpus = 2;
  job->mem = 30;
  job->image_gb = image_gb;
  job->run = run;
  return job;
}

/* Returns an array of which two tasks fit on a machine. */
static SimJob *
job_new_array (SimCluster *cluster, guint tasks, double run)
{
  SimJob *job = job_new (cluster);
  job->shape = HR_BATCH;
  job->tasks = tasks;
  job->cpus = 4;
  job->gpus = 1;
  job->mem = 30;
  job->image_gb = 1;
  job->run = run;
  return job;
}

static void
paged_job (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  job_submit (cluster, job_new_array (cluster, 140, 40));
}

/* Submits an array of 60 or 140 tasks: the release in production writes 60 tasks inline and 140 in
 * pages. */
static void
large_array (SimCluster *cluster, gpointer data)
{
  guint n = GPOINTER_TO_UINT (data);
  SimJob *job = job_new_array (cluster, n % 2 ? 60 : 140, sim_rand_range (cluster, 15, 35));
  job->spot = n % 3 == 0;
  job->cancel = n % 4 == 3;
  job->cancel_at = cluster->now + sim_rand_range (cluster, 20, 50);
  job_submit (cluster, job);
}

/* Submits a service whose record is large as long as the service runs. */
static void
large_service (SimCluster *cluster, gpointer data)
{
  SimJob *job = job_new_array (cluster, 46, 0);
  job->shape = HR_SERVICE;
  job->cancel = TRUE;
  job->cancel_at = cluster->now +
                   (data ? sim_rand_range (cluster, 75, 140) : sim_rand_range (cluster, 180, 220));
  job_submit (cluster, job);
}

void
users_large_jobs (SimCluster *cluster, double from, double to)
{
  sim_schedule (cluster, from, large_service, NULL);
  sim_schedule (cluster, from + 1, large_service, GINT_TO_POINTER (TRUE));
  guint n = 0;
  double at = from;
  while (at < to) {
    sim_schedule (cluster, at, large_array, GUINT_TO_POINTER (n++));
    at += LARGE_ARRAY_EVERY_S;
  }
}

void
users_paged_array (SimCluster *cluster, double at)
{
  users_init (cluster, 0, 0);
  sim_schedule (cluster, at, paged_job, NULL);
}

typedef struct {
  guint tasks;
  double run, cancel_at;
} ArrayToSubmit;

static void
submit_array (SimCluster *cluster, gpointer data)
{
  g_autofree ArrayToSubmit *wanted = data;
  SimJob *job = job_new_array (cluster, wanted->tasks, wanted->run);
  job->cancel = wanted->cancel_at > 0;
  job->cancel_at = wanted->cancel_at;
  job_submit (cluster, job);
}

void
users_array (SimCluster *cluster, guint tasks, double run, double at, double cancel_at)
{
  ArrayToSubmit *wanted = g_new (ArrayToSubmit, 1);
  *wanted = (ArrayToSubmit){tasks, run, cancel_at};
  sim_schedule (cluster, at, submit_array, wanted);
}

static void
borrowing_array (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  job_submit (cluster, job_new_array (cluster, 60, 300));
}

static void
guaranteed_job (SimCluster *cluster, gpointer data)
{
  SimJob *job = data ? job_new_gang (cluster, 2, 1, 25) : job_new_array (cluster, 6, 25);
  job->team = "guests";
  job_submit (cluster, job);
}

void
users_two_teams (SimCluster *cluster, double later)
{
  users_init (cluster, 0, 0);
  for (guint i = 0; i < 3; i++)
    sim_schedule (cluster, 5 + i, borrowing_array, NULL);
  sim_schedule (cluster, later, guaranteed_job, NULL);
  sim_schedule (cluster, later + 60, guaranteed_job, GUINT_TO_POINTER (1));
}

static void
job_free (gpointer data)
{
  SimJob *job = data;
  g_free (job->id);
  g_free (job->body);
  if (job->awaits)
    g_ptr_array_unref (job->awaits);
  g_free (job->done);
  g_free (job->progress);
  g_free (job);
}

void
users_init (SimCluster *cluster, guint jobs, double span)
{
  cluster->jobs = g_ptr_array_new_with_free_func (job_free);
  cluster->job_index = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < jobs; i++)
    sim_schedule (cluster, sim_rand_range (cluster, 2, span), new_job, NULL);
  sim_schedule (cluster, 5, poll_unknown, NULL);
}

void
users_free (SimCluster *cluster)
{
  g_hash_table_unref (cluster->job_index);
  g_ptr_array_unref (cluster->jobs);
}
