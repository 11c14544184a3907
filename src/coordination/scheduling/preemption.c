/* Making room for a task by stopping others. */
#include "coordination/scheduling/free_capacity.h"
#include <math.h>

gboolean
hr_free_capacity_take (HrFreeCapacity *r, double cpus, double gpus, double mem)
{
  if (cpus > r->cpus + 1e-6 || gpus > r->gpus + 1e-6 || mem > r->memory_gb + 1e-6)
    return FALSE;
  r->cpus -= cpus;
  r->gpus -= gpus;
  r->memory_gb -= mem;
  return TRUE;
}

static gboolean
may_stop (HrCore *c, const HrJob *victim, const HrJob *j)
{
  if (hr_job_priority (victim) > hr_job_priority (j))
    return TRUE;
  return victim->spec.team != j->spec.team && hr_team_exceeds_guarantee (c, victim, 0) &&
         !hr_team_exceeds_guarantee (c, j, 1);
}

double
hr_preemption_loss (HrCore *c, const HrJob *v, const HrTask *t)
{
  double ran = t->running_since ? c->now - t->running_since : 0;
  if (v->spec.checkpoint_s > 0)
    ran = MIN (ran, v->spec.save_s + 5);
  return ran + 1 + (v->spec.shape == HR_GANG ? 1000 : 0);
}

void
hr_preempt_task (HrCore *c, HrJob *v, guint32 task)
{
  const HrTask *t = &v->tasks[task];
  double grace =
      v->spec.checkpoint_s > 0 && t->reported_state == HR_REPORTED_RUNNING ? v->spec.save_s + 1 : 0;
  if (v->spec.shape == HR_GANG)
    hr_gang_end_attempt (c, v, v->spec.save_s + 1);
  else
    hr_task_stop (c, v, task, grace);
}

/* Batch tasks of the machine that would have to stop for the job, the sum of what is
 * lost with them; INFINITY when that makes no room. stop: stop them. */
static double
preemption_cost (HrCore *c, HrJob *j, HrMachine *m, gboolean stop)
{
  double cpus = m->free.cpus - m->unrecognized.cpus, gpus = m->free.gpus - m->unrecognized.gpus,
         mem = m->free.memory_gb - m->unrecognized.memory_gb, cost = 0;
  for (guint k = 0; k < m->tasks->len; k++) {
    if (cpus + 1e-6 >= j->spec.cpus && gpus + 1e-6 >= j->spec.gpus &&
        mem + 1e-6 >= j->spec.memory_gb)
      break;
    HrTaskRef x = g_array_index (m->tasks, HrTaskRef, k);
    HrJob *v = c->store.tables.jobs->pdata[x.job];
    HrTask *t = &v->tasks[x.task];
    if (t->state != HR_TASK_BOUND || t->stop_wanted || v->spec.shape != HR_BATCH ||
        !may_stop (c, v, j))
      continue;
    cpus += v->spec.cpus;
    gpus += v->spec.gpus;
    mem += v->spec.memory_gb;
    cost += hr_preemption_loss (c, v, t);
    if (stop) {
      g_info ("%s/%u on %s makes room for %s, whose image is there", v->id, x.task, m->name, j->id);
      hr_task_stop (c, v, x.task, 0);
    }
  }
  return cpus + 1e-6 >= j->spec.cpus && gpus + 1e-6 >= j->spec.gpus &&
                 mem + 1e-6 >= j->spec.memory_gb
             ? cost
             : INFINITY;
}

/* A machine that has the image, where stopping the batch tasks that lose least makes
 * room. Their stop goes out before the launch, so the launch finds the room. */
HrMachine *
hr_preempt_for_cached_image (HrCore *c, HrJob *j)
{
  HrMachine *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (!hr_machine_has_image (m, j->spec.image) || !hr_machine_is_reachable (c, m) ||
        c->now < m->full_until || !hr_job_allows_machine (c, j, m) || !hr_job_allows_zone (c, j, m))
      continue;
    double cost = preemption_cost (c, j, m, FALSE);
    if (cost < least) {
      least = cost;
      best = m;
    }
  }
  if (best)
    preemption_cost (c, j, best, TRUE);
  return best;
}

/* Stops the tasks of one machine whose loss is least, so that the job fits there. */
gboolean
hr_preempt (HrCore *c, HrJob *j, HrFreeCapacity *capacities, gboolean others)
{
  HrFreeCapacity *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrFreeCapacity *r = &capacities[i];
    HrMachine *m = r->machine;
    if (m->state != HR_MACHINE_UP || !hr_job_allows_machine (c, j, m) ||
        !hr_job_allows_zone (c, j, m))
      continue;
    double cpus = r->cpus, gpus = r->gpus, mem = r->memory_gb, cost = 0;
    for (guint k = 0; k < m->tasks->len; k++) {
      HrTaskRef x = g_array_index (m->tasks, HrTaskRef, k);
      HrJob *v = c->store.tables.jobs->pdata[x.job];
      HrTask *t = &v->tasks[x.task];
      if (cpus >= j->spec.cpus && gpus >= j->spec.gpus && mem >= j->spec.memory_gb)
        break;
      if (t->state != HR_TASK_BOUND || t->stop_wanted || (others && v->spec.team == j->spec.team) ||
          !may_stop (c, v, j))
        continue;
      cpus += v->spec.cpus;
      gpus += v->spec.gpus;
      mem += v->spec.memory_gb;
      cost += hr_preemption_loss (c, v, t);
    }
    if (cpus + 1e-6 >= j->spec.cpus && gpus + 1e-6 >= j->spec.gpus &&
        mem + 1e-6 >= j->spec.memory_gb && cost < least) {
      least = cost;
      best = r;
    }
  }
  if (!best)
    return FALSE;
  for (guint k = 0; k < best->machine->tasks->len; k++) {
    HrTaskRef x = g_array_index (best->machine->tasks, HrTaskRef, k);
    HrJob *v = c->store.tables.jobs->pdata[x.job];
    HrTask *t = &v->tasks[x.task];
    if (best->cpus + 1e-6 >= j->spec.cpus && best->gpus + 1e-6 >= j->spec.gpus &&
        best->memory_gb + 1e-6 >= j->spec.memory_gb)
      break;
    if (t->state != HR_TASK_BOUND || t->stop_wanted || (others && v->spec.team == j->spec.team) ||
        !may_stop (c, v, j))
      continue;
    g_info ("%s/%u on %s makes room for %s", v->id, x.task, best->machine->name, j->id);
    best->cpus += v->spec.cpus;
    best->gpus += v->spec.gpus;
    best->memory_gb += v->spec.memory_gb;
    hr_preempt_task (c, v, x.task);
  }
  return hr_free_capacity_take (best, j->spec.cpus, j->spec.gpus, j->spec.memory_gb);
}
