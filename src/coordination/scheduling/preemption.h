#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/* Takes the amounts off the room, if it has them. */
gboolean hr_free_capacity_take (HrFreeCapacity *capacity, double cpus, double gpus,
                                double memory_gb);
HrMachine *hr_preempt_for_cached_image (HrCore *core, HrJob *job);
/* What is lost when the task stops now, s. */
double hr_preemption_loss (HrCore *core, const HrJob *victim, const HrTask *task);
/* Stops a task, or the gang that it belongs to; it may save before. */
void hr_preempt_task (HrCore *core, HrJob *victim, guint32 task_index);
/* others: stop other teams' work only. */
gboolean hr_preempt (HrCore *core, HrJob *job, HrFreeCapacity *capacities, gboolean others);
