/* Workloads for days on which a team is at its limit. */
#include "sim/limits.h"
#include "sim/user.h"

static void
submit_planned (World *world, gpointer data)
{
  const HrLimitJob *plan = data;
  SimJob *job = job_new (world);
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
  job_submit (world, job);
}

void
limits_submit (World *world, const HrLimitJob *jobs, guint n)
{
  for (guint i = 0; i < n; i++)
    w_at (world, jobs[i].at_s, submit_planned, (gpointer)&jobs[i]);
}

typedef struct {
  double to, gap_s, run_s;
} Stream;

static void
stream_gang (World *world, gpointer data)
{
  Stream *stream = data;
  HrLimitJob gang = {world->now, HR_GANG, 1,     stream->run_s * w_rand (world, 0.8, 1.2),
                     NULL,       0,       FALSE, NULL};
  submit_planned (world, &gang);
  if (world->now + stream->gap_s < stream->to)
    w_at (world, world->now + stream->gap_s, stream_gang, stream);
  else
    g_free (stream);
}

void
limits_stream (World *world, double from, double to, double gap_s, double run_s)
{
  Stream *stream = g_new (Stream, 1);
  *stream = (Stream){to, gap_s, run_s};
  w_at (world, from, stream_gang, stream);
}

SimJob *
limits_job (World *world, guint n)
{
  g_assert (n < world->jobs->len);
  return world->jobs->pdata[n];
}
