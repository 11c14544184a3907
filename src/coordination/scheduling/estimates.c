/* Estimates of run times. */
#include "coordination/scheduling/estimates.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/lookups.h"
#include <math.h>

/* Estimate for a job without one, s. */
#define DEFAULT_ESTIMATE_S 60
/* Minimum remaining time of an image fetch in progress, s. */
#define MIN_FETCH_LEFT_S 0.5
/* Minimum remaining time of a running task: in seconds, and as a share of the time that it has been
 * on the machine. */
#define MIN_RUN_LEFT_S 2
#define OVERRUN_SHARE 0.2

/* Returns the expected run time without the image fetch, s. */
static double
corrected_estimate (HrCore *core, const HrJob *job)
{
  double run = job->spec.estimate_s > 0 ? job->spec.estimate_s : DEFAULT_ESTIMATE_S;
  return run * hr_class_stats (core, job->spec.job_class)->run_time_correction;
}

/* Returns the remaining time of the image fetch of a task that is on the machine, s. */
static double
fetch_left (const HrCore *core, const HrMachine *machine, const HrMachineType *type,
            const HrJob *job, const HrTask *task)
{
  /* A booting machine has not begun to fetch. */
  double since = machine->state == HR_MACHINE_UP ? core->now - task->run->bound_since : 0;
  return MAX (MIN_FETCH_LEFT_S, job->spec.image_gb / type->fetch_rate - since);
}

/* Images that a machine fetches at the same time share its fetch rate; tasks with the same image
 * share one fetch. */
double
hr_estimate_fetch_time (const HrCore *core, const HrJob *job, const HrMachine *machine)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  if (!type || hr_machine_has_image (machine, job->spec.image))
    return 0;
  double own = job->spec.image_gb / type->fetch_rate, others = 0;
  guint32 last = HR_NONE;
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *other = hr_job_of_task (core, ref);
    if (other->spec.image == last || hr_machine_has_image (machine, other->spec.image))
      continue;
    last = other->spec.image;
    double left = fetch_left (core, machine, type, other, &other->tasks[ref.task]);
    if (other->spec.image == job->spec.image)
      own = MIN (own, left);
    else
      others += left;
  }
  return own + MIN (own, others);
}

double
hr_estimate_run_time (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  return corrected_estimate (core, job) + hr_estimate_fetch_time (core, job, machine);
}

double
hr_estimate_longest_run_time (HrCore *core, const HrJob *job)
{
  double fetch = 0;
  if (job->spec.shape == HR_SERVICE)
    return INFINITY;
  for (guint i = 0; i < core->scaling.machine_types->len; i++)
    fetch =
        MAX (fetch, job->spec.image_gb /
                        g_array_index (core->scaling.machine_types, HrMachineType, i).fetch_rate);
  return corrected_estimate (core, job) + fetch;
}

double
hr_estimate_running_end (HrCore *core, const HrJob *job, const HrTask *task,
                         const HrMachine *machine)
{
  if (job->spec.shape == HR_SERVICE)
    return INFINITY;
  const HrMachineType *type = hr_machine_type_of (core, machine);
  double run = corrected_estimate (core, job);
  if (!task->run->running_since && type && !hr_machine_has_image (machine, job->spec.image))
    run += job->spec.image_gb / type->fetch_rate;
  double end = (task->run->running_since ? task->run->running_since : task->run->bound_since) + run;
  /* The end is never in the past, and the longer the task has exceeded its estimate, the more
   * remaining time is assumed. */
  double left = MAX (MIN_RUN_LEFT_S, OVERRUN_SHARE * (core->now - task->run->bound_since));
  return MAX (end, core->now + left);
}
