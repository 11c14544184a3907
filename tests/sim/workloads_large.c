/* Workloads for days with two faults at the same time. */
#include "sim/user.h"
#include "sim/workloads_large.h"
#include "sim/cluster.h"

#define BOUND_CANCEL_SHARE 0.2
#define SINGLE_CANCEL_WITHIN_S 30.0

/* ---- one-task jobs, several a second ---- */

typedef struct {
  double to, gap, cancelled;
} SingleTaskJobs;

static void
single_task_job (SimCluster *cluster, gpointer data)
{
  SingleTaskJobs *settings = data;
  SimJob *job = job_new (cluster);
  job->shape = HR_BATCH;
  job->tasks = 1;
  job->cpus = 2;
  job->gpus = 0;
  job->mem = 4;
  job->image = cluster->jobs->len % 3;
  job->image_gb = 1;
  job->run = sim_rand_range (cluster, 4, 20);
  job->cancel = sim_rand_range (cluster, 0, 1) < settings->cancelled;
  job->cancel_at = cluster->now + sim_rand_range (cluster, 0.1, SINGLE_CANCEL_WITHIN_S);
  job_submit (cluster, job);
  if (cluster->now + settings->gap < settings->to)
    sim_schedule (cluster, cluster->now + settings->gap, single_task_job, settings);
  else
    g_free (settings);
}

void
users_single_task_jobs (SimCluster *cluster, double from, double to, double per_s, double cancelled)
{
  SingleTaskJobs *settings = g_new (SingleTaskJobs, 1);
  *settings = (SingleTaskJobs){to, 1 / per_s, cancelled};
  sim_schedule (cluster, from, single_task_job, settings);
}

/* ---- jobs restricted to one zone ---- */

static void
bound_job (SimCluster *cluster, gpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  static const guint tasks[] = {3, 12, 2, 4};
  SimJob *job = job_new (cluster);
  job->shape = i % 4 == 0 ? HR_SERVICE : i % 4 == 2 ? HR_GANG : HR_BATCH;
  job->tasks = tasks[i % 4];
  job->cpus = job->shape == HR_GANG ? 10 : 4;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = i % 3;
  job->image_gb = 1 + job->image;
  job->run = sim_rand_range (cluster, 15, 60);
  job->checkpoint = i % 2 ? 10 : 0;
  job->save = i % 2 ? 2 : 0;
  job->zone = 1 + i / 4 % 2;
  job->cancel = job->shape == HR_SERVICE || sim_rand_range (cluster, 0, 1) < BOUND_CANCEL_SHARE;
  job->cancel_at = cluster->now + sim_rand_range (cluster, 40, 150);
  job_submit (cluster, job);
}

void
users_zone_bound_jobs (SimCluster *cluster, guint n, double span)
{
  for (guint i = 0; i < n; i++)
    sim_schedule (cluster, sim_rand_range (cluster, 2, span), bound_job, GUINT_TO_POINTER (i));
}

/* ---- more work than the fleet can run ---- */

static void
overload_job (SimCluster *cluster, gpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  SimJob *job = job_new (cluster);
  job->shape = i % 3 == 0 ? HR_GANG : HR_BATCH;
  job->tasks = job->shape == HR_GANG ? 1 + i % 4 : 6 + i % 10;
  job->cpus = job->shape == HR_GANG ? 10 : 4;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = i % 2;
  job->image_gb = 1;
  job->run = sim_rand_range (cluster, 20, 45);
  job->cancel = i % 7 == 0;
  job->cancel_at = cluster->now + sim_rand_range (cluster, 5, 120);
  job_submit (cluster, job);
}

void
users_overload (SimCluster *cluster, double at)
{
  for (guint i = 0; i < cluster->capacity; i++)
    sim_schedule (cluster, at + 0.3 * i, overload_job, GUINT_TO_POINTER (i));
}

/* ---- a team at its quota ---- */

#define LIMIT_SERVICES 4
#define LIMIT_ARRAYS 6

static void
limit_job (SimCluster *cluster, gpointer data)
{
  HrShape shape = GPOINTER_TO_INT (data);
  SimJob *job = job_new (cluster);
  job->shape = shape;
  job->tasks = shape == HR_GANG ? 3 : 2;
  job->cpus = shape == HR_GANG ? 10 : 4;
  job->gpus = shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image_gb = 1;
  job->run = 20;
  job->cancel = shape == HR_GANG; /* the services leave too little of the quota for it */
  job->cancel_at = cluster->now + 350;
  job_submit (cluster, job);
}

void
users_at_limit (SimCluster *cluster, double at)
{
  for (guint i = 0; i < LIMIT_SERVICES; i++)
    sim_schedule (cluster, at + i, limit_job, GINT_TO_POINTER (HR_SERVICE));
  sim_schedule (cluster, at + 40, limit_job, GINT_TO_POINTER (HR_GANG));
  for (guint i = 0; i < LIMIT_ARRAYS; i++)
    sim_schedule (cluster, at + 45 + 4 * i, limit_job, GINT_TO_POINTER (HR_BATCH));
}
