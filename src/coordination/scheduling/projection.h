/* The projection of a machine's list: the expected start of each task, and the resulting score.
 *
 * It starts from the tasks that are on the machine now and lets the list's tasks start in order,
 * none before the task ahead of it. Capacity that is reserved for services is not used. Times are
 * monotonic time, in seconds.
 */
#pragma once
#include "coordination/state.h"

/* A task that never fits is projected to start this long after now, s. */
#define HR_INFEASIBLE_START_S 1e6
/* A task that is projected to start later than this after now counts as never starting, s. */
#define HR_INFEASIBLE_THRESHOLD_S 1e5

/**
 * hr_project_list:
 * @starts: (nullable): set to the projected starts; at least as long as the list
 *
 * Projects the machine's list and sets the late count, the tardiness and the ready time of its
 * plan. The machine's type must be known.
 */
void hr_project_list (HrCore *core, HrMachine *machine, double *starts);

/**
 * hr_projection_scratch:
 *
 * Returns: (transfer none): a static array for @n starts, valid until the next call. The core is
 * single-threaded.
 */
double *hr_projection_scratch (guint n);

/**
 * hr_start_is_infeasible:
 *
 * Returns: whether a projected start means that the task never fits.
 */
static inline gboolean
hr_start_is_infeasible (const HrCore *core, double start)
{
  return start > core->now + HR_INFEASIBLE_THRESHOLD_S;
}

/**
 * hr_task_lateness:
 * @start: projected; monotonic time, in seconds
 * @run_time: expected, including the image fetch, in seconds
 *
 * Converts the job's deadline, which is real time, to monotonic time.
 *
 * Returns: how long after the job's deadline the task is expected to end, in seconds; negative if
 * it ends before the deadline.
 */
static inline double
hr_task_lateness (const HrCore *core, const HrJob *job, double start, double run_time)
{
  return start + run_time - (job->plan.deadline - core->wall_time + core->now);
}
