/* Preemption: decides which running tasks may be stopped for a waiting task, and stops them.
 *
 * Tasks are stopped only if that frees enough capacity. A stop is an order to the worker, so the
 * capacity becomes free some seconds later (%HR_PREEMPTION_S). The stop order is sent before any
 * launch order to the same machine.
 */
#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/* Time from the decision to preempt until the waiting task runs, s: a write to the state store, an
 * order to the worker and a heartbeat. */
#define HR_PREEMPTION_S 2.0

/* Which tasks may be preempted for a job. */
typedef enum {
  /* Tasks of lower priority; also, for a team within its guarantee, tasks of teams that exceed
   * theirs. */
  HR_PREEMPT_ANY_TEAM,
  /* The same, but of other teams only. */
  HR_PREEMPT_OTHER_TEAMS,
  /* Tasks of lower priority of the job's own team, so that the team stays within its limit. */
  HR_PREEMPT_OWN_TEAM,
} HrPreemptionScope;

/**
 * hr_may_preempt:
 * @victim: a job with a task on a machine
 *
 * Decides which tasks a job may preempt; no other module decides this.
 *
 * Returns: whether this task of @victim may be stopped for @job. A task that is already being
 * stopped may not, because its capacity already counts as free.
 */
gboolean hr_may_preempt (HrCore *core, const HrJob *job, HrPreemptionScope scope,
                         const HrJob *victim, guint32 task_index);

/**
 * hr_preemption_loss:
 *
 * Returns: the loss of run time if the task is stopped now, in seconds, with a penalty for a gang.
 */
double hr_preemption_loss (HrCore *core, const HrJob *victim, const HrTask *task);

/**
 * hr_preempt_task:
 *
 * Stops a task, or the whole gang that it belongs to. A task with checkpoints gets time to save
 * before it is stopped.
 */
void hr_preempt_task (HrCore *core, HrJob *victim, guint32 task_index);

/**
 * hr_preempt_for_cached_image:
 * @job: a service
 *
 * Stops batch tasks on a machine that has the job's image cached, so that a replica can start there
 * without an image fetch. Chooses the machine with the least loss.
 *
 * Returns: (transfer none) (nullable): that machine; %NULL if there is none, in which case no task
 * is stopped.
 */
HrMachine *hr_preempt_for_cached_image (HrCore *core, HrJob *job);

/**
 * hr_preempt:
 * @fleet: the free capacity; the resources of the job's task are subtracted from it
 *
 * Stops tasks on the machine with the least loss, so that a task of the job fits there.
 *
 * Returns: whether there is such a machine; otherwise no task is stopped.
 */
gboolean hr_preempt (HrCore *core, HrJob *job, HrFleetCapacity *fleet, HrPreemptionScope scope);
