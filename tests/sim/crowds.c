/* Workloads for days on which troubles meet. */
#include "sim/world.h"

#define BOUND_CANCEL_SHARE 0.2
#define SINGLE_CANCEL_WITHIN_S 30.0

/* ---- one-task jobs, several a second ---- */

typedef struct {
  double to, gap, cancelled;
} Singles;

static void
single (World *w, gpointer p)
{
  Singles *s = p;
  SJob *j = job_new (w);
  j->shape = HR_BATCH;
  j->tasks = 1;
  j->cpus = 2;
  j->gpus = 0;
  j->mem = 4;
  j->image = w->jobs->len % 3;
  j->image_gb = 1;
  j->run = w_rand (w, 4, 20);
  j->cancel = w_rand (w, 0, 1) < s->cancelled;
  j->due_cancel = w->now + w_rand (w, 0.1, SINGLE_CANCEL_WITHIN_S);
  job_submit (w, j);
  if (w->now + s->gap < s->to)
    w_at (w, w->now + s->gap, single, s);
  else
    g_free (s);
}

void
users_singles (World *w, double from, double to, double per_s, double cancelled)
{
  Singles *s = g_new (Singles, 1);
  *s = (Singles){to, 1 / per_s, cancelled};
  w_at (w, from, single, s);
}

/* ---- jobs bound to one zone ---- */

static void
bound_job (World *w, gpointer p)
{
  guint i = GPOINTER_TO_UINT (p);
  static const guint tasks[] = {3, 12, 2, 4};
  SJob *j = job_new (w);
  j->shape = i % 4 == 0 ? HR_SERVICE : i % 4 == 2 ? HR_GANG : HR_BATCH;
  j->tasks = tasks[i % 4];
  j->cpus = j->shape == HR_GANG ? 10 : 4;
  j->gpus = j->shape == HR_GANG ? 2 : 1;
  j->mem = 30;
  j->image = i % 3;
  j->image_gb = 1 + j->image;
  j->run = w_rand (w, 15, 60);
  j->checkpoint = i % 2 ? 10 : 0;
  j->save = i % 2 ? 2 : 0;
  j->zone = 1 + i / 4 % 2;
  j->cancel = j->shape == HR_SERVICE || w_rand (w, 0, 1) < BOUND_CANCEL_SHARE;
  j->due_cancel = w->now + w_rand (w, 40, 150);
  job_submit (w, j);
}

void
users_bound (World *w, guint n, double span)
{
  for (guint i = 0; i < n; i++)
    w_at (w, w_rand (w, 2, span), bound_job, GUINT_TO_POINTER (i));
}

/* ---- more work than room ---- */

static void
overload_job (World *w, gpointer p)
{
  guint i = GPOINTER_TO_UINT (p);
  SJob *j = job_new (w);
  j->shape = i % 3 == 0 ? HR_GANG : HR_BATCH;
  j->tasks = j->shape == HR_GANG ? 1 + i % 4 : 6 + i % 10;
  j->cpus = j->shape == HR_GANG ? 10 : 4;
  j->gpus = j->shape == HR_GANG ? 2 : 1;
  j->mem = 30;
  j->image = i % 2;
  j->image_gb = 1;
  j->run = w_rand (w, 20, 45);
  j->cancel = i % 7 == 0;
  j->due_cancel = w->now + w_rand (w, 5, 120);
  job_submit (w, j);
}

void
users_overload (World *w, double at)
{
  for (guint i = 0; i < w->capacity; i++)
    w_at (w, at + 0.3 * i, overload_job, GUINT_TO_POINTER (i));
}

/* ---- a team at its limit ---- */

#define LIMIT_SERVICES 4
#define LIMIT_ARRAYS 6

static void
limit_job (World *w, gpointer p)
{
  HrShape shape = GPOINTER_TO_INT (p);
  SJob *j = job_new (w);
  j->shape = shape;
  j->tasks = shape == HR_GANG ? 3 : 2;
  j->cpus = shape == HR_GANG ? 10 : 4;
  j->gpus = shape == HR_GANG ? 2 : 1;
  j->mem = 30;
  j->image_gb = 1;
  j->run = 20;
  j->cancel = shape == HR_GANG; /* it never fits beside the services */
  j->due_cancel = w->now + 350;
  job_submit (w, j);
}

void
users_at_limit (World *w, double at)
{
  for (guint i = 0; i < LIMIT_SERVICES; i++)
    w_at (w, at + i, limit_job, GINT_TO_POINTER (HR_SERVICE));
  w_at (w, at + 40, limit_job, GINT_TO_POINTER (HR_GANG));
  for (guint i = 0; i < LIMIT_ARRAYS; i++)
    w_at (w, at + 45 + 4 * i, limit_job, GINT_TO_POINTER (HR_BATCH));
}
