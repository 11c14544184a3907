/* Users: what they ask, and the jobs of a usual day. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "sim/answer_checks.h"
#include "sim/pipeline.h"
#include "sim/request.h"
#include "sim/user.h"
#include <string.h>

#define LARGE_ARRAY_EVERY_S 15

SimJob *
job_by_id (World *world, const char *id, guint32 *index)
{
  guint place = GPOINTER_TO_UINT (g_hash_table_lookup (world->job_index, id));
  if (!place)
    return NULL;
  *index = place - 1;
  return world->jobs->pdata[place - 1];
}

static void submit (World *world, gpointer data);
static void poll (World *world, gpointer data);
static void cancel (World *world, gpointer data);

static int
any_node (World *world)
{
  return g_rand_int_range (world->rand, 0, world->n);
}

/* ---- one question each ---- */

static void
on_poll (World *world, int status, json_t *body, gpointer data)
{
  Question *question = data;
  if (status == 200)
    answer_check (world, question, status, body);
  else if (status == 404)
    answer_unknown (world, question, "a question", status);
  g_free (question);
}

static void
on_regular_poll (World *world, int status, json_t *body, gpointer data)
{
  SimJob *job = ((Question *)data)->job;
  on_poll (world, status, body, data);
  if (!world->calm && w_rand (world, 0, 1) < 0.02)
    w_at (world, world->now + w_rand (world, 1, 20), submit,
          job); /* a late retry of the submission */
  w_at (world, world->now + (job->told_done || job->told_cancelled ? 15 : 5), poll, job);
}

static void
ask_at (World *world, SimJob *job, int node, void (*done) (World *, int, json_t *, gpointer))
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", job->id, NULL);
  w_ask (world, node, -1, HR_GET, path, NULL, 2, done, question_new (world, job));
}

void
user_poll_at (World *world, SimJob *job, int node)
{
  ask_at (world, job, node < 0 ? any_node (world) : node, on_poll);
}

static void
poll (World *world, gpointer data)
{
  ask_at (world, data, any_node (world), on_regular_poll);
}

static void
on_submit (World *world, int status, json_t *body, gpointer data)
{
  Question *question = data;
  SimJob *job = question->job;
  if (status == 201 || status == 200) {
    if (!job->accepted) {
      w_at (world, world->now + 1, poll, job);
      if (job->cancel)
        w_at (world, job->due_cancel, cancel, job);
      job->accepted_at = world->now;
    }
    job->accepted = TRUE;
    answer_check (world, question, status, body);
  } else if (status == 400 || status == 422) {
    answer_unknown (world, question, "its submission", status);
  } else if (!job->accepted)
    w_at (world, world->now + 1, submit, job);
  g_free (question);
}

void
user_submit_at (World *world, SimJob *job, int node)
{
  job->submitted = TRUE;
  w_ask (world, node < 0 ? any_node (world) : node, -1, HR_POST, "/v1/jobs", g_strdup (job->body),
         5, on_submit, question_new (world, job));
}

static void
submit (World *world, gpointer data)
{
  user_submit_at (world, data, -1);
}

static void
on_cancel (World *world, int status, json_t *body, gpointer data)
{
  Question *question = data;
  if (status == 200)
    answer_check (world, question, status, body);
  else if (status == 404)
    answer_unknown (world, question, "its cancellation", status);
  else
    w_at (world, world->now + 1, cancel, question->job);
  g_free (question);
}

void
user_cancel_at (World *world, SimJob *job, int node)
{
  if (!job->asked_cancel)
    job->asked_cancel_at = world->now;
  job->asked_cancel = TRUE;
  g_autofree char *path = g_strconcat ("/v1/jobs/", job->id, "/abort", NULL);
  w_ask (world, node < 0 ? any_node (world) : node, -1, HR_POST, path, NULL, 5, on_cancel,
         question_new (world, job));
}

static void
cancel (World *world, gpointer data)
{
  user_cancel_at (world, data, -1);
}

void
users_cancel_service_at (World *world, int node)
{
  for (guint i = 0; i < world->jobs->len; i++) {
    SimJob *job = world->jobs->pdata[i];
    if (job->shape != HR_SERVICE || !job->started || job->cancel)
      continue;
    job->cancel = TRUE;
    user_cancel_at (world, job, node);
    return;
  }
}

static void
on_stranger (World *world, int status, json_t *body G_GNUC_UNUSED, gpointer data G_GNUC_UNUSED)
{
  if (status == 200)
    w_broken (world, "invented", "a job that nobody submitted gets 200");
}

static void
stranger (World *world, gpointer data G_GNUC_UNUSED)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/job-x%u", ++world->invented_asked);
  w_ask (world, any_node (world), -1, HR_GET, path, NULL, 2, on_stranger, NULL);
  w_at (world, world->now + 7, stranger, NULL);
}

static void
on_probe (World *world, int status, json_t *body G_GNUC_UNUSED, gpointer data)
{
  int i = GPOINTER_TO_INT (data);
  if (status == 200 && node_alone (world, i))
    w_broken (world, "alone", "c%d, cut off, calls itself ready", i);
}

static void
probe (World *world, gpointer data G_GNUC_UNUSED)
{
  for (int i = 0; i < world->n; i++)
    w_ask (world, i, -1, HR_GET, "/ready", NULL, 1, on_probe, GINT_TO_POINTER (i));
  w_at (world, world->now + 1, probe, NULL);
}

void
users_probe (World *world)
{
  w_at (world, 1, probe, NULL);
}

/* ---- what is submitted ---- */

SimJob *
job_new (World *world)
{
  SimJob *job = g_new0 (SimJob, 1);
  job->id = g_strdup_printf ("job-%06u", 7919 * ++world->named % 1000000);
  return job;
}

/* The job is complete: its user submits it. */
void
job_submit (World *world, SimJob *job)
{
  job->done = g_new0 (guint, job->tasks);
  job->progress = g_new0 (double, job->tasks);
  static const char *const shapes[] = {"batch", "ensemble", "daemon"};
  static const char *const priority_names[] = {"normal", "urgent", "production"};
  static const char *const classes[] = {"array", "gang", "live"};
  g_autofree char *image = g_strdup_printf ("img-%u", job->image);
  json_t *object =
      json_pack ("{sssssssssssisfsfsfsssfsnsnsbsbsbsfsfsf}", "name_id", job->id, "jobclass",
                 classes[job->shape], "crew", job->team ? job->team : "crew", "shape",
                 shapes[job->shape], "rank", job->rank ? job->rank : priority_names[job->shape],
                 "pieces", (int)job->tasks, "vcpus", job->cpus, "accelerators", job->gpus,
                 "memory_gb", job->mem, "bundle", image, "size_gb", job->image_gb, "hulls",
                 "quarry", "together", job->one_zone, "apart", job->spread, "loaners", job->spot,
                 "guess_s", job->shape == HR_SERVICE ? 0 : job->run * w_rand (world, 0.5, 2),
                 "cairn_s", job->checkpoint, "stash_s", job->save);
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
  g_ptr_array_add (world->jobs, job);
  g_hash_table_insert (world->job_index, job->id, GUINT_TO_POINTER (world->jobs->len));
  submit (world, job);
}

static void
new_job (World *world, gpointer data G_GNUC_UNUSED)
{
  SimJob *job = job_new (world);
  guint n = world->jobs->len;
  double dice = w_rand (world, 0, 1);
  job->shape = dice < 0.2 ? HR_SERVICE : dice < 0.45 ? HR_GANG : HR_BATCH;
  if (n == 5)
    job->shape = HR_BATCH;
  job->tasks = job->shape == HR_SERVICE ? g_rand_int_range (world->rand, 1, 4)
               : job->shape == HR_GANG  ? g_rand_int_range (world->rand, 1, 4)
                                        : g_rand_int_range (world->rand, 1, 9);
  if (n == 5)
    job->tasks = 140; /* stands in pages */
  job->cpus = job->shape == HR_GANG ? 10 : 4;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = world->fickle ? 0 : g_rand_int_range (world->rand, 0, 4); /* one: it is there */
  job->image_gb = 1 + job->image;
  job->run = n == 5 ? 5 : w_rand (world, 5, 60);
  job->checkpoint = w_rand (world, 0, 1) < 0.5 ? 10 : 0;
  job->save = job->checkpoint > 0 ? 2 : 0;
  job->one_zone = job->shape == HR_GANG && w_rand (world, 0, 1) < 0.6;
  job->spread = job->shape == HR_SERVICE && w_rand (world, 0, 1) < 0.5;
  job->spot = job->shape == HR_BATCH;
  job->broken = job->shape == HR_BATCH && n != 5 && w_rand (world, 0, 1) < 0.04;
  job->cancel = job->broken || w_rand (world, 0, 1) < 0.2;
  if (world->quota_gpus > 0 && job->shape == HR_SERVICE)
    job->cancel = TRUE; /* or the limit would be used up for good */
  job->due_cancel = world->now + w_rand (world, 1, 80);
  if (world->fickle && n != 5 && w_rand (world, 0, 1) < 0.8) {
    job->cancel = TRUE;
    job->due_cancel = world->now + w_rand (world, 0.5, 12);
  }
  job_submit (world, job);
}

/* A gang whose tasks each want a whole machine. */
SimJob *
job_gang (World *world, guint tasks, double image_gb, double run)
{
  SimJob *job = job_new (world);
  job->shape = HR_GANG;
  job->tasks = tasks;
  job->cpus = 10;
  job->gpus = 2;
  job->mem = 30;
  job->image_gb = image_gb;
  job->run = run;
  return job;
}

/* An array, of which two tasks fit on a machine. */
static SimJob *
batch_of (World *world, guint tasks, double run)
{
  SimJob *job = job_new (world);
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
paged_job (World *world, gpointer data G_GNUC_UNUSED)
{
  job_submit (world, batch_of (world, 140, 40));
}

/* Of the sizes that production writes inline and in pages. */
static void
large_array (World *world, gpointer data)
{
  guint n = GPOINTER_TO_UINT (data);
  SimJob *job = batch_of (world, n % 2 ? 60 : 140, w_rand (world, 15, 35));
  job->spot = n % 3 == 0;
  job->cancel = n % 4 == 3;
  job->due_cancel = world->now + w_rand (world, 20, 50);
  job_submit (world, job);
}

/* Its record is large as long as it runs. */
static void
large_service (World *world, gpointer data)
{
  SimJob *job = batch_of (world, 46, 0);
  job->shape = HR_SERVICE;
  job->cancel = TRUE;
  job->due_cancel = world->now + (data ? w_rand (world, 75, 140) : w_rand (world, 180, 220));
  job_submit (world, job);
}

void
users_arrays (World *world, double from, double to)
{
  w_at (world, from, large_service, NULL);
  w_at (world, from + 1, large_service, GINT_TO_POINTER (TRUE));
  guint n = 0;
  double at = from;
  while (at < to) {
    w_at (world, at, large_array, GUINT_TO_POINTER (n++));
    at += LARGE_ARRAY_EVERY_S;
  }
}

void
users_paged (World *world, double at)
{
  users_init (world, 0, 0);
  w_at (world, at, paged_job, NULL);
}

typedef struct {
  guint tasks;
  double run, cancel_at;
} ArrayWanted;

static void
array_wanted (World *world, gpointer data)
{
  g_autofree ArrayWanted *wanted = data;
  SimJob *job = batch_of (world, wanted->tasks, wanted->run);
  job->cancel = wanted->cancel_at > 0;
  job->due_cancel = wanted->cancel_at;
  job_submit (world, job);
}

void
users_array (World *world, guint tasks, double run, double at, double cancel_at)
{
  ArrayWanted *wanted = g_new (ArrayWanted, 1);
  *wanted = (ArrayWanted){tasks, run, cancel_at};
  w_at (world, at, array_wanted, wanted);
}

static void
borrower (World *world, gpointer data G_GNUC_UNUSED)
{
  job_submit (world, batch_of (world, 60, 300));
}

static void
guaranteed (World *world, gpointer data)
{
  SimJob *job = data ? job_gang (world, 2, 1, 25) : batch_of (world, 6, 25);
  job->team = "guests";
  job_submit (world, job);
}

void
users_two_teams (World *world, double later)
{
  users_init (world, 0, 0);
  for (guint i = 0; i < 3; i++)
    w_at (world, 5 + i, borrower, NULL);
  w_at (world, later, guaranteed, NULL);
  w_at (world, later + 60, guaranteed, GUINT_TO_POINTER (1));
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
users_init (World *world, guint jobs, double span)
{
  world->jobs = g_ptr_array_new_with_free_func (job_free);
  world->job_index = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < jobs; i++)
    w_at (world, w_rand (world, 2, span), new_job, NULL);
  w_at (world, 5, stranger, NULL);
}

void
users_free (World *world)
{
  g_hash_table_unref (world->job_index);
  g_ptr_array_unref (world->jobs);
}
