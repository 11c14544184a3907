/* Workloads of simulated days. */
#include "sim/user.h"
#include "sim/workloads.h"
#include "sim/cluster.h"

/* Submits one small gang of the stream and schedules the next one. */
static void
stream_job (SimCluster *cluster, gpointer data)
{
  double *to = data;
  guint tasks = 1 + cluster->streamed_gangs++ % 2;
  job_submit (cluster, job_new_gang (cluster, tasks, 1, sim_rand_range (cluster, 15, 30)));
  if (cluster->now < *to)
    sim_schedule (cluster, cluster->now + sim_rand_range (cluster, 4, 6.5), stream_job, data);
  else
    g_free (data);
}

static void
large_job (SimCluster *cluster, gpointer data)
{
  SimJob *job = job_new (cluster);
  job->shape = GPOINTER_TO_INT (data);
  job->large = TRUE;
  job->tasks = job->shape == HR_GANG ? 8 : 40;
  job->cpus = job->shape == HR_GANG ? 10 : 6;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image_gb = 1;
  job->run = 25;
  job_submit (cluster, job);
}

/* Submits a gang of two tasks, for which two machines are enough. */
static void
small_gang (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  SimJob *job =
      job_new_gang (cluster, 2, cluster->gang_image_gb > 0 ? cluster->gang_image_gb : 1, 40);
  job->image = cluster->jobs->len; /* its own image, which no machine has cached */
  job_submit (cluster, job);
}

/* Submits a gang; all of these gangs use one image, whose fetch takes longer than gang_wait_s. */
static void
long_fetch (SimCluster *cluster, gpointer data)
{
  job_submit (cluster, job_new_gang (cluster, GPOINTER_TO_UINT (data), 40, 20));
}

static void
cancel_newest (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  SimJob *job = cluster->jobs->pdata[cluster->jobs->len - 1];
  job->cancel = TRUE;
  user_cancel_at (cluster, job, -1);
}

void
users_long_fetches (SimCluster *cluster, gboolean with_cancelled)
{
  users_init (cluster, 0, 0);
  sim_schedule (cluster, 5, long_fetch, GUINT_TO_POINTER (1));
  if (with_cancelled) {
    sim_schedule (cluster, 70, long_fetch, GUINT_TO_POINTER (3));
    sim_schedule (cluster, 115, cancel_newest, NULL);
  }
  /* When the first gang ends, one machine has the image cached and the others do not. */
  for (guint i = 0; i < 3; i++)
    sim_schedule (cluster, (with_cancelled ? 119 : 80) + 100 * i, long_fetch,
                  GUINT_TO_POINTER (2 + i));
}

static void
service (SimCluster *cluster, gpointer data)
{
  SimJob *job = job_new (cluster);
  job->shape = HR_SERVICE;
  job->tasks = GPOINTER_TO_UINT (data);
  job->cpus = 4;
  job->gpus = 1;
  job->mem = 30;
  job->image = cluster->jobs->len % 4;
  job->image_gb = 1 + job->image;
  job_submit (cluster, job);
}

void
users_services (SimCluster *cluster, guint n, guint tasks, double at)
{
  users_init (cluster, 0, 0);
  for (guint i = 0; i < n; i++)
    sim_schedule (cluster, at + 0.05 * i, service, GUINT_TO_POINTER (tasks));
}

/* Submits a job; the shapes are in about the proportions of a large deployment. */
static void
mixed_job (SimCluster *cluster, gpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  static const guint replicas[] = {2, 4, 6}, gangs[] = {1, 2, 4, 8};
  SimJob *job = job_new (cluster);
  job->shape = i % 5 < 2 ? HR_SERVICE : i % 5 < 4 ? HR_GANG : HR_BATCH;
  job->tasks = job->shape == HR_SERVICE ? replicas[i % 3]
               : job->shape == HR_GANG  ? gangs[i / 5 % 4]
                                        : 10 + i % 60;
  job->cpus = job->shape == HR_GANG ? 10 : 5;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = i % 8;
  job->image_gb = 1 + job->image;
  job->run = sim_rand_range (cluster, 20, 90);
  job->checkpoint = 10;
  job->save = 2;
  job->one_zone = job->shape == HR_GANG;
  job->spread = job->shape == HR_SERVICE && i % 2;
  job->spot = job->shape == HR_BATCH;
  job->cancel = i % 9 == 0;
  job->cancel_at = cluster->now + sim_rand_range (cluster, 20, 200);
  job_submit (cluster, job);
}

void
users_mixed_workload (SimCluster *cluster, guint jobs, double span)
{
  users_init (cluster, 0, 0);
  /* Two thirds are submitted at the start, the others at random times. */
  for (guint i = 0; i < jobs; i++)
    sim_schedule (cluster, i % 3 ? 2 + 0.01 * i : sim_rand_range (cluster, 10, span), mixed_job,
                  GUINT_TO_POINTER (i));
}

static void
oversized_gang (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  job_submit (cluster, job_new_gang (cluster, 500, 1, 20));
}

void
users_oversized_gang (SimCluster *cluster, double at)
{
  sim_schedule (cluster, at, oversized_gang, NULL);
}

void
users_gangs (SimCluster *cluster, guint n, double from, double gap)
{
  users_init (cluster, 0, 0);
  for (guint i = 0; i < n; i++)
    sim_schedule (cluster, from + i * gap, small_gang, NULL);
}

void
users_gang_stream (SimCluster *cluster, HrShape large, double from, double to)
{
  double *end = g_new (double, 1);
  *end = to;
  users_init (cluster, 0, 0);
  sim_schedule (cluster, from, stream_job, end);
  for (int i = 1; i < 4; i++)
    sim_schedule (cluster, from + i * (to - from) / 5, large_job, GINT_TO_POINTER (large));
}
