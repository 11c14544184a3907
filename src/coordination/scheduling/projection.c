/* Where a task may go, how long it takes there, and what a list comes to. */
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/free_capacity.h"
#include <math.h>

HrJob *
hr_job_of_task (HrCore *c, HrTaskRef r)
{
  return c->store.tables.jobs->pdata[r.job];
}

gboolean
hr_machine_is_plannable (const HrCore *c, const HrMachine *m)
{
  if (m->is_draining || m->type == HR_NONE)
    return FALSE;
  return m->state == HR_MACHINE_BOOTING ||
         (m->state == HR_MACHINE_UP &&
          c->now - MAX (m->agent.heard_at, c->leadership.term_began_at) < 2 * c->policy.silent_s);
}

/* Type, zone and kind, apart from where the job's other tasks are. */
gboolean
hr_job_allows_machine (const HrCore *c, const HrJob *j, const HrMachine *m)
{
  const HrJobSpec *s = &j->spec;
  const HrMachineType *t = hr_machine_is_plannable (c, m) ? hr_machine_type_of (c, m) : NULL;
  /* Where it failed last it is not tried again at once, if there is any other place. */
  if (m->index == j->run.failed_machine && c->now < j->run.failed_machine_avoided_until)
    return FALSE;
  if (j->plan.shard != HR_NONE && j->plan.shard < c->scheduling.n_shards &&
      m->plan.shard != j->plan.shard)
    return FALSE;
  return t && (!s->types || (s->types >> m->type & 1)) &&
         (s->zone == HR_NONE || s->zone == m->zone) && (s->allows_spot || !m->is_spot) &&
         s->cpus <= t->cpus + 1e-6 && s->gpus <= t->gpus + 1e-6 &&
         s->memory_gb <= t->memory_gb + 1e-6;
}

/* Images that a machine fetches at the same time share its rate; tasks of one image
 * share the fetch. */
double
hr_estimate_fetch_time (const HrCore *c, const HrJob *j, const HrMachine *m)
{
  const HrMachineType *t = hr_machine_type_of (c, m);
  if (!t || hr_machine_has_image (m, j->spec.image))
    return 0;
  double own = j->spec.image_gb / t->fetch_rate, others = 0;
  guint32 last = HR_NONE;
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef r = g_array_index (m->tasks, HrTaskRef, i);
    const HrJob *o = hr_job_of_task ((HrCore *)c, r);
    if (o->spec.image == last || hr_machine_has_image (m, o->spec.image))
      continue;
    last = o->spec.image;
    /* A machine that boots has fetched nothing yet. */
    double since = m->state == HR_MACHINE_UP ? c->now - o->tasks[r.task].bound_since : 0;
    double left = MAX (0.5, o->spec.image_gb / t->fetch_rate - since);
    if (o->spec.image == j->spec.image)
      own = MIN (own, left);
    else
      others += left;
  }
  return own + MIN (own, others);
}

/* Expected run time with the image fetch. */
double
hr_estimate_run_time (HrCore *c, const HrJob *j, const HrMachine *m)
{
  double run = j->spec.estimate_s > 0 ? j->spec.estimate_s : 60;
  run *= hr_class_stats (c, j->spec.job_class)->run_time_correction;
  return run + hr_estimate_fetch_time (c, j, m);
}

typedef struct {
  double end, cpus, gpus, memory_gb;
} Busy;

static void
add_busy (GArray *busy, double end, const HrJobSpec *s)
{
  Busy b = {end, s->cpus, s->gpus, s->memory_gb};
  guint i = busy->len;
  g_array_append_val (busy, b);
  for (; i > 0 && g_array_index (busy, Busy, i - 1).end > end; i--)
    g_array_index (busy, Busy, i) = g_array_index (busy, Busy, i - 1);
  g_array_index (busy, Busy, i) = b;
}

double
hr_estimate_running_end (HrCore *c, const HrJob *j, const HrTask *t, const HrMachine *m)
{
  if (j->spec.shape == HR_SERVICE)
    return INFINITY;
  const HrMachineType *ty = hr_machine_type_of (c, m);
  double est = j->spec.estimate_s > 0 ? j->spec.estimate_s : 60;
  est *= hr_class_stats (c, j->spec.job_class)->run_time_correction;
  if (!t->running_since && ty && !hr_machine_has_image (m, j->spec.image))
    est += j->spec.image_gb / ty->fetch_rate;
  double end = (t->running_since ? t->running_since : t->bound_since) + est;
  /* Past its estimate: never in the past, and the longer over the longer to go. */
  return MAX (end, c->now + MAX (2, 0.2 * (c->now - t->bound_since)));
}

/* When a task of `s` can start on an idle-from-then machine; fills starts when given. */
void
hr_project_list (HrCore *c, HrMachine *m, double *starts)
{
  static GArray *busy;
  if (!busy)
    busy = g_array_new (FALSE, FALSE, sizeof (Busy));
  g_array_set_size (busy, 0);
  const HrMachineType *ty = hr_machine_type_of (c, m);
  double cpus = m->free.cpus - m->unrecognized.cpus - m->reserved.cpus,
         gpus = m->free.gpus - m->unrecognized.gpus - m->reserved.gpus,
         mem = m->free.memory_gb - m->unrecognized.memory_gb - m->reserved.memory_gb;
  double at = c->now;
  if (m->state == HR_MACHINE_BOOTING)
    at = MAX (c->now + 2, m->instance.requested_at + ty->boot_s);
  for (guint i = 0; i < m->tasks->len; i++) {
    HrTaskRef r = g_array_index (m->tasks, HrTaskRef, i);
    HrJob *j = hr_job_of_task (c, r);
    add_busy (busy, hr_estimate_running_end (c, j, &j->tasks[r.task], m), &j->spec);
  }
  m->plan.late_count = 0;
  m->plan.tardiness = 0;
  m->plan.ready_at = at;
  double from = at;
  for (guint i = 0; i < m->plan.list->len; i++) {
    HrTaskRef r = g_array_index (m->plan.list, HrTaskRef, i);
    HrJob *j = hr_job_of_task (c, r);
    const HrJobSpec *s = &j->spec;
    double start = from;
    if (s->shape == HR_GANG)
      start = MAX (start, j->plan.gang_start);
    start = MAX (start, j->run.retry_at);
    while (busy->len) {
      Busy b = g_array_index (busy, Busy, 0);
      gboolean fits =
          s->cpus <= cpus + 1e-6 && s->gpus <= gpus + 1e-6 && s->memory_gb <= mem + 1e-6;
      if (b.end > start && (fits || !isfinite (b.end)))
        break;
      cpus += b.cpus;
      gpus += b.gpus;
      mem += b.memory_gb;
      start = MAX (start, b.end);
      g_array_remove_index (busy, 0);
    }
    if (!(s->cpus <= cpus + 1e-6 && s->gpus <= gpus + 1e-6 && s->memory_gb <= mem + 1e-6))
      start = c->now + 1e6; /* behind services for good: as good as never */
    else {
      cpus -= s->cpus;
      gpus -= s->gpus;
      mem -= s->memory_gb;
      add_busy (busy, start + hr_estimate_run_time (c, j, m), s);
      from = start; /* deadline order: nobody starts before the one ahead of him */
    }
    if (starts)
      starts[i] = start;
    if (i == 0)
      m->plan.ready_at = start;
    double over =
        start + hr_estimate_run_time (c, j, m) - (j->plan.deadline - c->wall_time + c->now);
    if (over > 0) {
      m->plan.late_count++;
      m->plan.tardiness += over;
    }
  }
  if (!m->plan.list->len && busy->len && m->free.cpus < 1)
    m->plan.ready_at =
        MAX (m->plan.ready_at, MIN (g_array_index (busy, Busy, 0).end, c->now + 1e6));
}

guint
hr_list_position (HrCore *c, HrMachine *m, const HrJob *j)
{
  guint i = 0;
  while (i < m->plan.list->len &&
         hr_job_of_task (c, g_array_index (m->plan.list, HrTaskRef, i))->plan.deadline <=
             j->plan.deadline)
    i++;
  return i;
}

void
hr_list_insert (HrCore *c, HrMachine *m, HrTaskRef r)
{
  HrJob *j = hr_job_of_task (c, r);
  guint at = hr_list_position (c, m, j);
  g_array_insert_val (m->plan.list, at, r);
  j->plan.n_listed += !j->tasks[r.task].is_listed;
  j->tasks[r.task].is_listed = 1;
  j->tasks[r.task].listed_on = m->index;
}

void
hr_task_unplan (HrJob *j, guint32 task)
{
  if (!j->tasks || !j->tasks[task].is_listed)
    return;
  j->tasks[task].is_listed = 0;
  j->plan.n_listed--;
}

/* For the projected starts of a list; the owner of all state is a single thread. */
double *
hr_projection_scratch (guint n)
{
  static GArray *a;
  if (!a)
    a = g_array_new (FALSE, FALSE, sizeof (double));
  if (a->len < n)
    g_array_set_size (a, n);
  return (double *)a->data;
}

void
hr_list_remove (HrMachine *m, HrTaskRef r)
{
  for (guint i = 0; i < m->plan.list->len; i++) {
    HrTaskRef *x = &g_array_index (m->plan.list, HrTaskRef, i);
    if (x->job == r.job && x->task == r.task) {
      g_array_remove_index (m->plan.list, i);
      return;
    }
  }
}

void
hr_job_unplan (HrCore *c, HrJob *j)
{
  for (guint32 i = 0; j->tasks && j->plan.n_listed && i < j->n_tasks; i++) {
    if (!j->tasks[i].is_listed)
      continue;
    hr_list_remove (c->store.tables.machines->pdata[j->tasks[i].listed_on],
                    (HrTaskRef){j->index, i});
    hr_task_unplan (j, i);
  }
}

/* Is the machine ruled out by where the job's other tasks are, or stand? */
gboolean
hr_job_allows_zone (HrCore *c, HrJob *j, HrMachine *m)
{
  if (!j->spec.one_zone && !j->spec.spread)
    return TRUE;
  guint here = 0;
  for (guint32 i = 0; i < j->n_tasks; i++) {
    HrTask *t = &j->tasks[i];
    if (t->state != HR_TASK_ASSIGNING && t->state != HR_TASK_BOUND)
      continue;
    guint32 zone = ((HrMachine *)c->store.tables.machines->pdata[t->placement.machine])->zone;
    if (zone == HR_NONE)
      return FALSE; /* known from a record alone: nothing is placed beside it blindly */
    gboolean same = zone == m->zone;
    if (j->spec.one_zone && !same)
      return FALSE;
    here += same;
  }
  return !j->spec.spread || here < (j->n_tasks + 1) / 2;
}

void
hr_list_append (HrCore *c, HrMachine *m, GArray *listed)
{
  if (!m->plan.list->len)
    return;
  double *starts = hr_projection_scratch (m->plan.list->len);
  hr_project_list (c, m, starts);
  for (guint k = 0; k < m->plan.list->len; k++) {
    HrListedTask t = {g_array_index (m->plan.list, HrTaskRef, k), m, starts[k]};
    g_array_append_val (listed, t);
  }
}

HrJob *
hr_listed_job (HrCore *c, GArray *listed, guint i)
{
  return hr_job_of_task (c, g_array_index (listed, HrListedTask, i).task);
}
