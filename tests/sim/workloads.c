/* Workloads of single days: streams, gangs, services, a crowd. */
#include "sim/user.h"
#include "sim/workloads.h"
#include "sim/world.h"

/* One small gang of the stream, and the next one in a while. */
static void
stream_job (World *world, gpointer data)
{
  double *to = data;
  guint tasks = 1 + world->streamed++ % 2;
  job_submit (world, job_gang (world, tasks, 1, w_rand (world, 15, 30)));
  if (world->now < *to)
    w_at (world, world->now + w_rand (world, 4, 6.5), stream_job, data);
  else
    g_free (data);
}

static void
large_job (World *world, gpointer data)
{
  SimJob *job = job_new (world);
  job->shape = GPOINTER_TO_INT (data);
  job->large = TRUE;
  job->tasks = job->shape == HR_GANG ? 8 : 40;
  job->cpus = job->shape == HR_GANG ? 10 : 6;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image_gb = 1;
  job->run = 25;
  job_submit (world, job);
}

/* A gang of two, for which two machines are enough. */
static void
small_gang (World *world, gpointer data G_GNUC_UNUSED)
{
  SimJob *job = job_gang (world, 2, world->gang_image > 0 ? world->gang_image : 1, 40);
  job->image = world->jobs->len; /* its own, to be fetched */
  job_submit (world, job);
}

/* Of one image, which takes longer than the tasks of a gang wait for one another. */
static void
long_fetch (World *world, gpointer data)
{
  job_submit (world, job_gang (world, GPOINTER_TO_UINT (data), 40, 20));
}

static void
give_up (World *world, gpointer data G_GNUC_UNUSED)
{
  SimJob *job = world->jobs->pdata[world->jobs->len - 1];
  job->cancel = TRUE;
  user_cancel_at (world, job, -1);
}

void
users_long_fetches (World *world, gboolean fickle)
{
  users_init (world, 0, 0);
  w_at (world, 5, long_fetch, GUINT_TO_POINTER (1));
  if (fickle) {
    w_at (world, 70, long_fetch, GUINT_TO_POINTER (3));
    w_at (world, 115, give_up, NULL);
  }
  /* When it ends one machine has the image, and the others have not. */
  for (guint i = 0; i < 3; i++)
    w_at (world, (fickle ? 119 : 80) + 100 * i, long_fetch, GUINT_TO_POINTER (2 + i));
}

static void
service (World *world, gpointer data)
{
  SimJob *job = job_new (world);
  job->shape = HR_SERVICE;
  job->tasks = GPOINTER_TO_UINT (data);
  job->cpus = 4;
  job->gpus = 1;
  job->mem = 30;
  job->image = world->jobs->len % 4;
  job->image_gb = 1 + job->image;
  job_submit (world, job);
}

void
users_services (World *world, guint n, guint tasks, double at)
{
  users_init (world, 0, 0);
  for (guint i = 0; i < n; i++)
    w_at (world, at + 0.05 * i, service, GUINT_TO_POINTER (tasks));
}

/* Of all shapes, in about the proportions of a large deployment. */
static void
crowd_job (World *world, gpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  static const guint replicas[] = {2, 4, 6}, gangs[] = {1, 2, 4, 8};
  SimJob *job = job_new (world);
  job->shape = i % 5 < 2 ? HR_SERVICE : i % 5 < 4 ? HR_GANG : HR_BATCH;
  job->tasks = job->shape == HR_SERVICE ? replicas[i % 3]
               : job->shape == HR_GANG  ? gangs[i / 5 % 4]
                                        : 10 + i % 60;
  job->cpus = job->shape == HR_GANG ? 10 : 5;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = i % 8;
  job->image_gb = 1 + job->image;
  job->run = w_rand (world, 20, 90);
  job->checkpoint = 10;
  job->save = 2;
  job->one_zone = job->shape == HR_GANG;
  job->spread = job->shape == HR_SERVICE && i % 2;
  job->spot = job->shape == HR_BATCH;
  job->cancel = i % 9 == 0;
  job->due_cancel = world->now + w_rand (world, 20, 200);
  job_submit (world, job);
}

void
users_crowd (World *world, guint jobs, double span)
{
  users_init (world, 0, 0);
  /* Most are there at the start, the others come one by one. */
  for (guint i = 0; i < jobs; i++)
    w_at (world, i % 3 ? 2 + 0.01 * i : w_rand (world, 10, span), crowd_job, GUINT_TO_POINTER (i));
}

static void
oversized_gang (World *world, gpointer data G_GNUC_UNUSED)
{
  job_submit (world, job_gang (world, 500, 1, 20));
}

void
users_oversized (World *world, double at)
{
  w_at (world, at, oversized_gang, NULL);
}

void
users_gangs (World *world, guint n, double from, double gap)
{
  users_init (world, 0, 0);
  for (guint i = 0; i < n; i++)
    w_at (world, from + i * gap, small_gang, NULL);
}

void
users_stream (World *world, HrShape large, double from, double to)
{
  double *end = g_new (double, 1);
  *end = to;
  users_init (world, 0, 0);
  w_at (world, from, stream_job, end);
  for (int i = 1; i < 4; i++)
    w_at (world, from + i * (to - from) / 5, large_job, GINT_TO_POINTER (large));
}
