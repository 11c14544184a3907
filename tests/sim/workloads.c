/* Workloads of single days: streams, gangs, services, a crowd. */
#include "sim/world.h"

/* One small gang of the stream, and the next one in a while. */
static void
stream_job (World *w, gpointer p)
{
  double *to = p;
  guint tasks = 1 + w->streamed++ % 2;
  job_submit (w, job_gang (w, tasks, 1, w_rand (w, 15, 30)));
  if (w->now < *to)
    w_at (w, w->now + w_rand (w, 4, 6.5), stream_job, p);
  else
    g_free (p);
}

static void
large_job (World *w, gpointer p)
{
  SJob *j = job_new (w);
  j->shape = GPOINTER_TO_INT (p);
  j->large = TRUE;
  j->tasks = j->shape == HR_GANG ? 8 : 40;
  j->cpus = j->shape == HR_GANG ? 10 : 6;
  j->gpus = j->shape == HR_GANG ? 2 : 1;
  j->mem = 30;
  j->image_gb = 1;
  j->run = 25;
  job_submit (w, j);
}

/* A gang of two, for which two machines are enough. */
static void
small_gang (World *w, gpointer p)
{
  SJob *j = job_gang (w, 2, w->gang_image > 0 ? w->gang_image : 1, 40);
  j->image = w->jobs->len; /* its own, to be fetched */
  job_submit (w, j);
}

/* Of one image, which takes longer than the tasks of a gang wait for one another. */
static void
long_fetch (World *w, gpointer p)
{
  job_submit (w, job_gang (w, GPOINTER_TO_UINT (p), 40, 20));
}

static void
give_up (World *w, gpointer p)
{
  SJob *j = w->jobs->pdata[w->jobs->len - 1];
  j->cancel = TRUE;
  user_cancel_at (w, j, -1);
}

void
users_long_fetches (World *w, gboolean fickle)
{
  users_init (w, 0, 0);
  w_at (w, 5, long_fetch, GUINT_TO_POINTER (1));
  if (fickle) {
    w_at (w, 70, long_fetch, GUINT_TO_POINTER (3));
    w_at (w, 115, give_up, NULL);
  }
  /* When it ends one machine has the image, and the others have not. */
  for (guint i = 0; i < 3; i++)
    w_at (w, (fickle ? 119 : 80) + 100 * i, long_fetch, GUINT_TO_POINTER (2 + i));
}

static void
service (World *w, gpointer p)
{
  SJob *j = job_new (w);
  j->shape = HR_SERVICE;
  j->tasks = GPOINTER_TO_UINT (p);
  j->cpus = 4;
  j->gpus = 1;
  j->mem = 30;
  j->image = w->jobs->len % 4;
  j->image_gb = 1 + j->image;
  job_submit (w, j);
}

void
users_services (World *w, guint n, guint tasks, double at)
{
  users_init (w, 0, 0);
  for (guint i = 0; i < n; i++)
    w_at (w, at + 0.05 * i, service, GUINT_TO_POINTER (tasks));
}

/* Of all shapes, in about the proportions of a large deployment. */
static void
crowd_job (World *w, gpointer p)
{
  guint i = GPOINTER_TO_UINT (p);
  static const guint replicas[] = {2, 4, 6}, gangs[] = {1, 2, 4, 8};
  SJob *j = job_new (w);
  j->shape = i % 5 < 2 ? HR_SERVICE : i % 5 < 4 ? HR_GANG : HR_BATCH;
  j->tasks = j->shape == HR_SERVICE ? replicas[i % 3]
             : j->shape == HR_GANG  ? gangs[i / 5 % 4]
                                    : 10 + i % 60;
  j->cpus = j->shape == HR_GANG ? 10 : 5;
  j->gpus = j->shape == HR_GANG ? 2 : 1;
  j->mem = 30;
  j->image = i % 8;
  j->image_gb = 1 + j->image;
  j->run = w_rand (w, 20, 90);
  j->checkpoint = 10;
  j->save = 2;
  j->one_zone = j->shape == HR_GANG;
  j->spread = j->shape == HR_SERVICE && i % 2;
  j->spot = j->shape == HR_BATCH;
  j->cancel = i % 9 == 0;
  j->due_cancel = w->now + w_rand (w, 20, 200);
  job_submit (w, j);
}

void
users_crowd (World *w, guint jobs, double span)
{
  users_init (w, 0, 0);
  /* Most are there at the start, the others come one by one. */
  for (guint i = 0; i < jobs; i++)
    w_at (w, i % 3 ? 2 + 0.01 * i : w_rand (w, 10, span), crowd_job, GUINT_TO_POINTER (i));
}

static void
oversized_gang (World *w, gpointer p)
{
  job_submit (w, job_gang (w, 500, 1, 20));
}

void
users_oversized (World *w, double at)
{
  w_at (w, at, oversized_gang, NULL);
}

void
users_gangs (World *w, guint n, double from, double gap)
{
  users_init (w, 0, 0);
  for (guint i = 0; i < n; i++)
    w_at (w, from + i * gap, small_gang, NULL);
}

void
users_stream (World *w, HrShape large, double from, double to)
{
  double *end = g_new (double, 1);
  *end = to;
  users_init (w, 0, 0);
  w_at (w, from, stream_job, end);
  for (int i = 1; i < 4; i++)
    w_at (w, from + i * (to - from) / 5, large_job, GINT_TO_POINTER (large));
}
