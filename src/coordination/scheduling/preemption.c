/* Preemption: decides which running tasks may be stopped for a waiting task, and stops them. */
#include "coordination/scheduling/preemption.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/resources.h"
#include <math.h>

/* Loss of any preempted task, for its stop and its next start, s. */
#define RESTART_LOSS_S 1.0
/* Loss of a task with checkpoints, in addition to its time to save, s. */
#define SAVE_LOSS_S 5.0
/* Added for a gang, so that it is preempted last: all of its tasks stop, s. */
#define GANG_LOSS_S 1000.0
/* Grace period of a stop in addition to the task's time to save, s. */
#define SAVE_GRACE_S 1.0

gboolean
hr_may_preempt (HrCore *core, const HrJob *job, HrPreemptionScope scope, const HrJob *victim,
                guint32 task_index)
{
  gboolean same_team = victim->spec.team == job->spec.team;
  if (scope == HR_PREEMPT_OWN_TEAM &&
      (!same_team || victim->state != HR_JOB_QUEUED || victim->run.attempt_ending))
    return FALSE;
  if (scope == HR_PREEMPT_OTHER_TEAMS && same_team)
    return FALSE;
  const HrTask *task = &victim->tasks[task_index];
  if (task->state != HR_TASK_BOUND || task->stop_wanted)
    return FALSE;
  if (hr_job_priority (victim) > hr_job_priority (job))
    return TRUE;
  return !same_team && hr_team_exceeds_guarantee (core, victim, 0) &&
         !hr_team_exceeds_guarantee (core, job, 1);
}

double
hr_preemption_loss (HrCore *core, const HrJob *victim, const HrTask *task)
{
  double ran = task->run->running_since ? core->now - task->run->running_since : 0;
  if (victim->spec.checkpoint_s > 0)
    ran = MIN (ran, victim->spec.save_s + SAVE_LOSS_S);
  return ran + RESTART_LOSS_S + (victim->spec.shape == HR_GANG ? GANG_LOSS_S : 0);
}

void
hr_preempt_task (HrCore *core, HrJob *victim, guint32 task_index)
{
  const HrTask *task = &victim->tasks[task_index];
  double save = victim->spec.save_s + SAVE_GRACE_S;
  gboolean saves = victim->spec.checkpoint_s > 0 && task->reported_state == HR_REPORTED_RUNNING;
  if (victim->spec.shape == HR_GANG)
    hr_gang_end_attempt (core, victim, save);
  else
    hr_task_stop (core, victim, task_index, saves ? save : 0);
}

/* Chooses the batch tasks on the machine that have to stop for a replica of the job. Returns the
 * sum of their losses, or INFINITY if stopping all batch tasks does not free enough.
 * victims: (element-type HrTaskRef): set to the chosen tasks. */
static double
choose_batch_victims (HrCore *core, const HrJob *job, const HrMachine *machine, GArray *victims)
{
  HrResources need = hr_resources_of_task (&job->spec), free = hr_machine_unused (machine);
  double loss = 0;
  g_array_set_size (victims, 0);
  for (guint k = 0; k < machine->tasks->len && !hr_resources_cover (free, need); k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    const HrJob *victim = hr_job_of_task (core, ref);
    if (victim->spec.shape != HR_BATCH ||
        !hr_may_preempt (core, job, HR_PREEMPT_ANY_TEAM, victim, ref.task))
      continue;
    hr_resources_add (&free, hr_resources_of_task (&victim->spec));
    loss += hr_preemption_loss (core, victim, &victim->tasks[ref.task]);
    g_array_append_val (victims, ref);
  }
  return hr_resources_cover (free, need) ? loss : INFINITY;
}

/* Returns whether a replica of the job may be placed on the machine and has its image there. */
static gboolean
has_cached_image (HrCore *core, HrJob *job, HrMachine *machine)
{
  return hr_machine_has_image (machine, job->spec.image) &&
         hr_machine_is_reachable (core, machine) && core->now >= machine->full_until &&
         hr_job_allows_machine (core, job, machine) && hr_job_allows_zone (core, job, machine);
}

HrMachine *
hr_preempt_for_cached_image (HrCore *core, HrJob *job)
{
  g_autoptr (GArray) victims = g_array_new (FALSE, FALSE, sizeof (HrTaskRef));
  HrMachine *best = NULL;
  double least_loss = INFINITY;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (!has_cached_image (core, job, machine))
      continue;
    double loss = choose_batch_victims (core, job, machine, victims);
    if (loss < least_loss) {
      least_loss = loss;
      best = machine;
    }
  }
  if (!best)
    return NULL;
  choose_batch_victims (core, job, best, victims);
  for (guint i = 0; i < victims->len; i++) {
    HrTaskRef ref = g_array_index (victims, HrTaskRef, i);
    HrJob *victim = hr_job_of_task (core, ref);
    g_info ("preempting task %s/%u on machine %s for job %s, whose image is cached there",
            victim->id, ref.task, best->name, job->id);
    hr_task_stop (core, victim, ref.task, 0);
  }
  return best;
}

/* Returns the loss if the job preempts tasks on this machine; INFINITY if that does not free
 * enough. */
static double
preemption_cost (HrCore *core, HrJob *job, const HrFreeCapacity *capacity, HrPreemptionScope scope)
{
  const HrMachine *machine = capacity->machine;
  HrResources need = hr_resources_of_task (&job->spec), free = capacity->free;
  double loss = 0;
  for (guint k = 0; k < machine->tasks->len; k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    const HrJob *victim = hr_job_of_task (core, ref);
    if (hr_resources_at_least (free, need))
      break;
    if (!hr_may_preempt (core, job, scope, victim, ref.task))
      continue;
    hr_resources_add (&free, hr_resources_of_task (&victim->spec));
    loss += hr_preemption_loss (core, victim, &victim->tasks[ref.task]);
  }
  return hr_resources_cover (free, need) ? loss : INFINITY;
}

/* Returns the machine with the least loss; NULL: there is none. */
static HrFreeCapacity *
cheapest_preemption (HrCore *core, HrJob *job, HrFleetCapacity *fleet, HrPreemptionScope scope)
{
  HrFreeCapacity *best = NULL;
  double least_loss = INFINITY;
  for (guint i = 0; i < fleet->n; i++) {
    HrFreeCapacity *capacity = &fleet->machines[i];
    if (capacity->machine->state != HR_MACHINE_UP ||
        !hr_job_allows_machine (core, job, capacity->machine) ||
        !hr_job_allows_zone (core, job, capacity->machine))
      continue;
    double loss = preemption_cost (core, job, capacity, scope);
    if (loss < least_loss) {
      least_loss = loss;
      best = capacity;
    }
  }
  return best;
}

/* Stops tasks on the machine until a task of the job fits. The machine's list of tasks is read
 * again in each iteration, because ending a gang's attempt may remove other tasks of the gang from
 * it. */
static void
preempt_on_machine (HrCore *core, HrJob *job, HrFreeCapacity *capacity, HrPreemptionScope scope)
{
  const HrMachine *machine = capacity->machine;
  HrResources need = hr_resources_of_task (&job->spec);
  for (guint k = 0; k < machine->tasks->len && !hr_resources_cover (capacity->free, need); k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    HrJob *victim = hr_job_of_task (core, ref);
    if (!hr_may_preempt (core, job, scope, victim, ref.task))
      continue;
    g_info ("preempting task %s/%u on machine %s for job %s", victim->id, ref.task, machine->name,
            job->id);
    hr_resources_add (&capacity->free, hr_resources_of_task (&victim->spec));
    hr_preempt_task (core, victim, ref.task);
  }
}

gboolean
hr_preempt (HrCore *core, HrJob *job, HrFleetCapacity *fleet, HrPreemptionScope scope)
{
  HrFreeCapacity *best = cheapest_preemption (core, job, fleet, scope);
  if (!best)
    return FALSE;
  preempt_on_machine (core, job, best, scope);
  return hr_free_capacity_take (best, hr_resources_of_task (&job->spec));
}
