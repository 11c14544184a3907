/* Making room for a task by stopping others. */
#include "coordination/scheduling/preemption.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"
#include <math.h>

gboolean
hr_free_capacity_take (HrFreeCapacity *capacity, double cpus, double gpus, double memory_gb)
{
  if (cpus > capacity->cpus + 1e-6 || gpus > capacity->gpus + 1e-6 ||
      memory_gb > capacity->memory_gb + 1e-6)
    return FALSE;
  capacity->cpus -= cpus;
  capacity->gpus -= gpus;
  capacity->memory_gb -= memory_gb;
  return TRUE;
}

static gboolean
may_stop (HrCore *core, const HrJob *victim, const HrJob *job)
{
  if (hr_job_priority (victim) > hr_job_priority (job))
    return TRUE;
  return victim->spec.team != job->spec.team && hr_team_exceeds_guarantee (core, victim, 0) &&
         !hr_team_exceeds_guarantee (core, job, 1);
}

double
hr_preemption_loss (HrCore *core, const HrJob *victim, const HrTask *task)
{
  double ran = task->running_since ? core->now - task->running_since : 0;
  if (victim->spec.checkpoint_s > 0)
    ran = MIN (ran, victim->spec.save_s + 5);
  return ran + 1 + (victim->spec.shape == HR_GANG ? 1000 : 0);
}

void
hr_preempt_task (HrCore *core, HrJob *victim, guint32 task_index)
{
  const HrTask *task = &victim->tasks[task_index];
  double grace = victim->spec.checkpoint_s > 0 && task->reported_state == HR_REPORTED_RUNNING
                     ? victim->spec.save_s + 1
                     : 0;
  if (victim->spec.shape == HR_GANG)
    hr_gang_end_attempt (core, victim, victim->spec.save_s + 1);
  else
    hr_task_stop (core, victim, task_index, grace);
}

/* Batch tasks of the machine that would have to stop for the job, the sum of what is
 * lost with them; INFINITY when that makes no room. stop: stop them. */
static double
preemption_cost (HrCore *core, HrJob *job, HrMachine *machine, gboolean stop)
{
  double cpus = machine->free.cpus - machine->unrecognized.cpus,
         gpus = machine->free.gpus - machine->unrecognized.gpus,
         memory_gb = machine->free.memory_gb - machine->unrecognized.memory_gb, cost = 0;
  for (guint k = 0; k < machine->tasks->len; k++) {
    if (cpus + 1e-6 >= job->spec.cpus && gpus + 1e-6 >= job->spec.gpus &&
        memory_gb + 1e-6 >= job->spec.memory_gb)
      break;
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    HrJob *victim = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = &victim->tasks[ref.task];
    if (task->state != HR_TASK_BOUND || task->stop_wanted || victim->spec.shape != HR_BATCH ||
        !may_stop (core, victim, job))
      continue;
    cpus += victim->spec.cpus;
    gpus += victim->spec.gpus;
    memory_gb += victim->spec.memory_gb;
    cost += hr_preemption_loss (core, victim, task);
    if (stop) {
      g_info ("%s/%u on %s makes room for %s, whose image is there", victim->id, ref.task,
              machine->name, job->id);
      hr_task_stop (core, victim, ref.task, 0);
    }
  }
  return cpus + 1e-6 >= job->spec.cpus && gpus + 1e-6 >= job->spec.gpus &&
                 memory_gb + 1e-6 >= job->spec.memory_gb
             ? cost
             : INFINITY;
}

/* A machine that has the image, where stopping the batch tasks that lose least makes
 * room. Their stop goes out before the launch, so the launch finds the room. */
HrMachine *
hr_preempt_for_cached_image (HrCore *core, HrJob *job)
{
  HrMachine *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (!hr_machine_has_image (machine, job->spec.image) ||
        !hr_machine_is_reachable (core, machine) || core->now < machine->full_until ||
        !hr_job_allows_machine (core, job, machine) || !hr_job_allows_zone (core, job, machine))
      continue;
    double cost = preemption_cost (core, job, machine, FALSE);
    if (cost < least) {
      least = cost;
      best = machine;
    }
  }
  if (best)
    preemption_cost (core, job, best, TRUE);
  return best;
}

/* Stops the tasks of one machine whose loss is least, so that the job fits there. */
gboolean
hr_preempt (HrCore *core, HrJob *job, HrFreeCapacity *capacities, gboolean others)
{
  HrFreeCapacity *best = NULL;
  double least = INFINITY;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrFreeCapacity *capacity = &capacities[i];
    HrMachine *machine = capacity->machine;
    if (machine->state != HR_MACHINE_UP || !hr_job_allows_machine (core, job, machine) ||
        !hr_job_allows_zone (core, job, machine))
      continue;
    double cpus = capacity->cpus, gpus = capacity->gpus, memory_gb = capacity->memory_gb, cost = 0;
    for (guint k = 0; k < machine->tasks->len; k++) {
      HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
      HrJob *victim = core->store.tables.jobs->pdata[ref.job];
      HrTask *task = &victim->tasks[ref.task];
      if (cpus >= job->spec.cpus && gpus >= job->spec.gpus && memory_gb >= job->spec.memory_gb)
        break;
      if (task->state != HR_TASK_BOUND || task->stop_wanted ||
          (others && victim->spec.team == job->spec.team) || !may_stop (core, victim, job))
        continue;
      cpus += victim->spec.cpus;
      gpus += victim->spec.gpus;
      memory_gb += victim->spec.memory_gb;
      cost += hr_preemption_loss (core, victim, task);
    }
    if (cpus + 1e-6 >= job->spec.cpus && gpus + 1e-6 >= job->spec.gpus &&
        memory_gb + 1e-6 >= job->spec.memory_gb && cost < least) {
      least = cost;
      best = capacity;
    }
  }
  if (!best)
    return FALSE;
  for (guint k = 0; k < best->machine->tasks->len; k++) {
    HrTaskRef ref = g_array_index (best->machine->tasks, HrTaskRef, k);
    HrJob *victim = core->store.tables.jobs->pdata[ref.job];
    HrTask *task = &victim->tasks[ref.task];
    if (best->cpus + 1e-6 >= job->spec.cpus && best->gpus + 1e-6 >= job->spec.gpus &&
        best->memory_gb + 1e-6 >= job->spec.memory_gb)
      break;
    if (task->state != HR_TASK_BOUND || task->stop_wanted ||
        (others && victim->spec.team == job->spec.team) || !may_stop (core, victim, job))
      continue;
    g_info ("%s/%u on %s makes room for %s", victim->id, ref.task, best->machine->name, job->id);
    best->cpus += victim->spec.cpus;
    best->gpus += victim->spec.gpus;
    best->memory_gb += victim->spec.memory_gb;
    hr_preempt_task (core, victim, ref.task);
  }
  return hr_free_capacity_take (best, job->spec.cpus, job->spec.gpus, job->spec.memory_gb);
}
