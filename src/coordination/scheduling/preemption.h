/* Preemption: which running tasks may be stopped for a waiting one, and stopping them.
 *
 * Nothing is stopped unless what is stopped makes enough capacity free. A stop is an order to the
 * agent, so the capacity is free some seconds later (%HR_PREEMPTION_S); the order goes out before a
 * launch to the same machine does.
 */
#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/* From the decision to preempt to a running task, s: a write, an order and a heartbeat. */
#define HR_PREEMPTION_S 2.0

/* Whose tasks are considered. */
typedef enum {
  /* Work of lower priority, and of other teams beyond their guarantee for a job within its own. */
  HR_PREEMPT_ANY_TEAM,
  /* The same, but of other teams only. */
  HR_PREEMPT_OTHER_TEAMS,
  /* Work of lower priority of the job's own team, to stay within the team's limit. */
  HR_PREEMPT_OWN_TEAM,
} HrPreemptionScope;

/**
 * hr_may_preempt:
 * @victim: a job with a task on a machine
 *
 * Decides whom a job may preempt; no other module does.
 *
 * Returns: whether this task of @victim may be stopped for @job. One that is being stopped already
 * may not: its capacity is counted as free.
 */
gboolean hr_may_preempt (HrCore *core, const HrJob *job, HrPreemptionScope scope,
                         const HrJob *victim, guint32 task_index);

/**
 * hr_preemption_loss:
 *
 * Returns: the run time that is lost when the task stops now, in seconds.
 */
double hr_preemption_loss (HrCore *core, const HrJob *victim, const HrTask *task);

/**
 * hr_preempt_task:
 *
 * Stops a task, or the whole gang that it belongs to. One with checkpoints may save before.
 */
void hr_preempt_task (HrCore *core, HrJob *victim, guint32 task_index);

/**
 * hr_preempt_for_cached_image:
 * @job: a service
 *
 * Stops the batch tasks that lose least on a machine that has the image of the job cached, so that
 * a replica starts there without a fetch.
 *
 * Returns: (transfer none) (nullable): that machine; %NULL if there is none, and nothing is
 * stopped.
 */
HrMachine *hr_preempt_for_cached_image (HrCore *core, HrJob *job);

/**
 * hr_preempt:
 * @fleet: what is free; the task's share is subtracted
 *
 * Stops the tasks of one machine whose loss is least, so that a task of the job fits there.
 *
 * Returns: whether there is such a machine; else nothing is stopped.
 */
gboolean hr_preempt (HrCore *core, HrJob *job, HrFleetCapacity *fleet, HrPreemptionScope scope);
