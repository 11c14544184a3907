/* Work for days on which a team is at its limit. */
#include "sim/limits.h"

static void
submit_planned (World *w, gpointer p)
{
  const HrLimitJob *plan = p;
  SJob *j = job_new (w);
  j->shape = plan->shape;
  j->tasks = plan->tasks;
  j->cpus = plan->shape == HR_GANG ? 10 : 4;
  j->gpus = plan->shape == HR_GANG ? 2 : 1;
  j->mem = 30;
  j->image_gb = 1;
  j->run = plan->run_s;
  j->rank = plan->rank;
  j->due = plan->due_s;
  j->large = plan->large;
  j->team = plan->team;
  job_submit (w, j);
}

void
limits_submit (World *w, const HrLimitJob *jobs, guint n)
{
  for (guint i = 0; i < n; i++)
    w_at (w, jobs[i].at_s, submit_planned, (gpointer)&jobs[i]);
}

typedef struct {
  double to, gap_s, run_s;
} Stream;

static void
stream_gang (World *w, gpointer p)
{
  Stream *s = p;
  HrLimitJob gang = {w->now, HR_GANG, 1, s->run_s * w_rand (w, 0.8, 1.2), NULL, 0, FALSE, NULL};
  submit_planned (w, &gang);
  if (w->now + s->gap_s < s->to)
    w_at (w, w->now + s->gap_s, stream_gang, s);
  else
    g_free (s);
}

void
limits_stream (World *w, double from, double to, double gap_s, double run_s)
{
  Stream *s = g_new (Stream, 1);
  *s = (Stream){to, gap_s, run_s};
  w_at (w, from, stream_gang, s);
}

SJob *
limits_job (World *w, guint n)
{
  g_assert (n < w->jobs->len);
  return w->jobs->pdata[n];
}
