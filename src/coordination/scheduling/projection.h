/* The projection of a machine's list: when each of its tasks should start, and what that comes to.
 *
 * It starts from what runs on the machine now and lets the list's tasks start in order, none before
 * the one ahead of it. What is reserved for services is left out. Times are steady time, s.
 */
#pragma once
#include "coordination/state.h"

/* From now until the projected start of a task that never fits, s; and beyond which a start counts
 * as never. */
#define HR_NEVER_S 1e6
#define HR_NEVER_THRESHOLD_S 1e5

/**
 * hr_project_list:
 * @starts: (nullable): filled with the projected starts; as long as the list at least
 *
 * Projects the machine's list and sets the late count, the tardiness and the ready time of its
 * plan. The machine's type has to be known.
 */
void hr_project_list (HrCore *core, HrMachine *machine, double *starts);

/**
 * hr_projection_scratch:
 *
 * Returns: (transfer none): an array for @n starts, valid until the next call. The core runs on one
 * thread.
 */
double *hr_projection_scratch (guint n);

/**
 * hr_start_is_never:
 *
 * Returns: whether a projected start says that the task does not ever fit.
 */
static inline gboolean
hr_start_is_never (const HrCore *core, double start)
{
  return start > core->now + HR_NEVER_THRESHOLD_S;
}

/**
 * hr_task_lateness:
 * @start: projected, steady time
 * @run_time: expected, with the image fetch
 *
 * Returns: how long after the job's deadline its task should end, s; negative: before it.
 */
static inline double
hr_task_lateness (const HrCore *core, const HrJob *job, double start, double run_time)
{
  return start + run_time - (job->plan.deadline - core->wall_time + core->now);
}
