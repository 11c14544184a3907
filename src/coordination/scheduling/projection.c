/* The projection of a machine's list. */
#include "coordination/scheduling/projection.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/resources.h"
#include "coordination/state.h"
#include <math.h>

/* Minimum time that a booting machine is expected to need until it is up, s. */
#define MIN_BOOT_LEFT_S 2
/* A machine with an empty list and fewer free processors than this is ready only once its first
 * task ends. */
#define FULL_BELOW_FREE_CPUS 1

/* A running or projected task, which holds resources until its end. */
typedef struct {
  double end; /* INFINITY: a service */
  HrResources held;
} BusyTask;

/* The state of the machine at the point in time that the projection has reached. */
typedef struct {
  HrResources free;
  GArray *busy; /* BusyTask, by end */
} Projection;

/* Returns an empty array, the same at each call, so that a projection does not allocate memory. */
static GArray *
empty_busy_array (void)
{
  static GArray *busy;
  if (!busy)
    busy = g_array_new (FALSE, FALSE, sizeof (BusyTask));
  g_array_set_size (busy, 0);
  return busy;
}

static void
add_busy (GArray *busy, double end, const HrJobSpec *spec)
{
  BusyTask busy_task = {end, hr_resources_of_task (spec)};
  guint i = busy->len;
  g_array_append_val (busy, busy_task);
  for (; i > 0 && g_array_index (busy, BusyTask, i - 1).end > end; i--)
    g_array_index (busy, BusyTask, i) = g_array_index (busy, BusyTask, i - 1);
  g_array_index (busy, BusyTask, i) = busy_task;
}

static void
add_running_tasks (HrCore *core, const HrMachine *machine, GArray *busy)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    const HrJob *job = hr_job_of_task (core, ref);
    add_busy (busy, hr_estimate_running_end (core, job, &job->tasks[ref.task], machine),
              &job->spec);
  }
}

/* Returns when the machine can start tasks: now, or once it has booted. */
static double
machine_ready_at (const HrCore *core, const HrMachine *machine)
{
  if (machine->state != HR_MACHINE_BOOTING)
    return core->now;
  double up_at = machine->instance.requested_at + hr_machine_type_of (core, machine)->boot_s;
  return MAX (core->now + MIN_BOOT_LEFT_S, up_at);
}

/* Removes the busy tasks that end by *start, and then as many more as it takes to free the need;
 * advances *start to the end of the last one. Returns FALSE if the need never becomes free, because
 * services do not end. */
static gboolean
advance_until_free (Projection *projection, HrResources need, double *start)
{
  GArray *busy = projection->busy;
  while (busy->len) {
    BusyTask first = g_array_index (busy, BusyTask, 0);
    if (first.end > *start &&
        (hr_resources_cover (projection->free, need) || !isfinite (first.end)))
      break;
    hr_resources_add (&projection->free, first.held);
    *start = MAX (*start, first.end);
    g_array_remove_index (busy, 0);
  }
  return hr_resources_cover (projection->free, need);
}

/* Starts the task as soon as it fits, but not before *from, and sets *from to its start: tasks
 * start in deadline order, none before the task ahead of it. Returns the start. */
static double
project_task (HrCore *core, Projection *projection, const HrJob *job, double run_time, double *from)
{
  const HrJobSpec *spec = &job->spec;
  HrResources need = hr_resources_of_task (spec);
  double start = *from;
  if (spec->shape == HR_GANG)
    start = MAX (start, job->plan.gang_start);
  start = MAX (start, job->run.retry_at);
  if (!advance_until_free (projection, need, &start))
    return core->now + HR_INFEASIBLE_START_S; /* services hold the capacity */
  hr_resources_subtract (&projection->free, need);
  add_busy (projection->busy, start + run_time, spec);
  *from = start;
  return start;
}

void
hr_project_list (HrCore *core, HrMachine *machine, double *starts)
{
  HrMachinePlan *plan = &machine->plan;
  Projection projection = {hr_machine_unreserved (machine), empty_busy_array ()};
  double from = machine_ready_at (core, machine);
  add_running_tasks (core, machine, projection.busy);
  plan->late_count = 0;
  plan->tardiness = 0;
  plan->ready_at = from;
  for (guint i = 0; i < plan->list->len; i++) {
    const HrJob *job = hr_job_of_task (core, g_array_index (plan->list, HrTaskRef, i));
    double run_time = hr_estimate_run_time (core, job, machine);
    double start = project_task (core, &projection, job, run_time, &from);
    double lateness = hr_task_lateness (core, job, start, run_time);
    if (starts)
      starts[i] = start;
    if (i == 0)
      plan->ready_at = start;
    if (lateness > 0) {
      plan->late_count++;
      plan->tardiness += lateness;
    }
  }
  if (!plan->list->len && projection.busy->len && machine->free.cpus < FULL_BELOW_FREE_CPUS) {
    double first_end = g_array_index (projection.busy, BusyTask, 0).end;
    plan->ready_at = MAX (plan->ready_at, MIN (first_end, core->now + HR_INFEASIBLE_START_S));
  }
}

double *
hr_projection_scratch (guint n)
{
  static GArray *array;
  if (!array)
    array = g_array_new (FALSE, FALSE, sizeof (double));
  if (array->len < n)
    g_array_set_size (array, n);
  return (double *)array->data;
}
