/* Workloads for days on which troubles meet. */
#include "sim/user.h"
#include "sim/workloads_large.h"
#include "sim/world.h"

#define BOUND_CANCEL_SHARE 0.2
#define SINGLE_CANCEL_WITHIN_S 30.0

/* ---- one-task jobs, several a second ---- */

typedef struct {
  double to, gap, cancelled;
} Singles;

static void
single (World *world, gpointer data)
{
  Singles *singles = data;
  SimJob *job = job_new (world);
  job->shape = HR_BATCH;
  job->tasks = 1;
  job->cpus = 2;
  job->gpus = 0;
  job->mem = 4;
  job->image = world->jobs->len % 3;
  job->image_gb = 1;
  job->run = w_rand (world, 4, 20);
  job->cancel = w_rand (world, 0, 1) < singles->cancelled;
  job->due_cancel = world->now + w_rand (world, 0.1, SINGLE_CANCEL_WITHIN_S);
  job_submit (world, job);
  if (world->now + singles->gap < singles->to)
    w_at (world, world->now + singles->gap, single, singles);
  else
    g_free (singles);
}

void
users_singles (World *world, double from, double to, double per_s, double cancelled)
{
  Singles *singles = g_new (Singles, 1);
  *singles = (Singles){to, 1 / per_s, cancelled};
  w_at (world, from, single, singles);
}

/* ---- jobs bound to one zone ---- */

static void
bound_job (World *world, gpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  static const guint tasks[] = {3, 12, 2, 4};
  SimJob *job = job_new (world);
  job->shape = i % 4 == 0 ? HR_SERVICE : i % 4 == 2 ? HR_GANG : HR_BATCH;
  job->tasks = tasks[i % 4];
  job->cpus = job->shape == HR_GANG ? 10 : 4;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = i % 3;
  job->image_gb = 1 + job->image;
  job->run = w_rand (world, 15, 60);
  job->checkpoint = i % 2 ? 10 : 0;
  job->save = i % 2 ? 2 : 0;
  job->zone = 1 + i / 4 % 2;
  job->cancel = job->shape == HR_SERVICE || w_rand (world, 0, 1) < BOUND_CANCEL_SHARE;
  job->due_cancel = world->now + w_rand (world, 40, 150);
  job_submit (world, job);
}

void
users_bound (World *world, guint n, double span)
{
  for (guint i = 0; i < n; i++)
    w_at (world, w_rand (world, 2, span), bound_job, GUINT_TO_POINTER (i));
}

/* ---- more work than room ---- */

static void
overload_job (World *world, gpointer data)
{
  guint i = GPOINTER_TO_UINT (data);
  SimJob *job = job_new (world);
  job->shape = i % 3 == 0 ? HR_GANG : HR_BATCH;
  job->tasks = job->shape == HR_GANG ? 1 + i % 4 : 6 + i % 10;
  job->cpus = job->shape == HR_GANG ? 10 : 4;
  job->gpus = job->shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image = i % 2;
  job->image_gb = 1;
  job->run = w_rand (world, 20, 45);
  job->cancel = i % 7 == 0;
  job->due_cancel = world->now + w_rand (world, 5, 120);
  job_submit (world, job);
}

void
users_overload (World *world, double at)
{
  for (guint i = 0; i < world->capacity; i++)
    w_at (world, at + 0.3 * i, overload_job, GUINT_TO_POINTER (i));
}

/* ---- a team at its limit ---- */

#define LIMIT_SERVICES 4
#define LIMIT_ARRAYS 6

static void
limit_job (World *world, gpointer data)
{
  HrShape shape = GPOINTER_TO_INT (data);
  SimJob *job = job_new (world);
  job->shape = shape;
  job->tasks = shape == HR_GANG ? 3 : 2;
  job->cpus = shape == HR_GANG ? 10 : 4;
  job->gpus = shape == HR_GANG ? 2 : 1;
  job->mem = 30;
  job->image_gb = 1;
  job->run = 20;
  job->cancel = shape == HR_GANG; /* it never fits beside the services */
  job->due_cancel = world->now + 350;
  job_submit (world, job);
}

void
users_at_limit (World *world, double at)
{
  for (guint i = 0; i < LIMIT_SERVICES; i++)
    w_at (world, at + i, limit_job, GINT_TO_POINTER (HR_SERVICE));
  w_at (world, at + 40, limit_job, GINT_TO_POINTER (HR_GANG));
  for (guint i = 0; i < LIMIT_ARRAYS; i++)
    w_at (world, at + 45 + 4 * i, limit_job, GINT_TO_POINTER (HR_BATCH));
}
