/* Workloads for days on which a team is at its limit (limits.h). */
#include "sim/limits.h"
#include "sim/user.h"

static void
submit_planned (SimCluster *cluster, gpointer data)
{
  const HrLimitJob *plan = data;
  SimJob *job = job_new (cluster);
  job->shape = plan->shape;
  job->tasks = plan->tasks;
  job->cpus = plan->shape == HR_GANG ? 10 : 4;
  job->gpus = plan->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image_gb = 1;
  job->run = plan->run_s;
  job->rank = plan->rank;
  job->due = plan->due_s;
  job->large = plan->large;
  job->team = plan->team;
  job_submit (cluster, job);
}

void
limits_submit (SimCluster *cluster, const HrLimitJob *jobs, guint n)
{
  for (guint i = 0; i < n; i++)
    sim_schedule (cluster, jobs[i].at_s, submit_planned, (gpointer)&jobs[i]);
}

typedef struct {
  double to, gap_s, run_s;
} Stream;

static void
stream_gang (SimCluster *cluster, gpointer data)
{
  Stream *stream = data;
  HrLimitJob gang = {
      cluster->now, HR_GANG, 1,     stream->run_s * sim_rand_range (cluster, 0.8, 1.2),
      NULL,         0,       FALSE, NULL};
  submit_planned (cluster, &gang);
  if (cluster->now + stream->gap_s < stream->to)
    sim_schedule (cluster, cluster->now + stream->gap_s, stream_gang, stream);
  else
    g_free (stream);
}

void
limits_stream (SimCluster *cluster, double from, double to, double gap_s, double run_s)
{
  Stream *stream = g_new (Stream, 1);
  *stream = (Stream){to, gap_s, run_s};
  sim_schedule (cluster, from, stream_gang, stream);
}

SimJob *
limits_job (SimCluster *cluster, guint n)
{
  g_assert (n < cluster->jobs->len);
  return cluster->jobs->pdata[n];
}
