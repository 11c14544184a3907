/* Where a task may go, how long it takes there, and what a list comes to. */
#include "coordination/scheduling/projection.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/plan.h"
#include "coordination/state.h"
#include <math.h>

HrJob *
hr_job_of_task (HrCore *core, HrTaskRef ref)
{
  return core->store.tables.jobs->pdata[ref.job];
}

gboolean
hr_machine_is_plannable (const HrCore *core, const HrMachine *machine)
{
  if (machine->is_draining || machine->type == HR_NONE)
    return FALSE;
  return machine->state == HR_MACHINE_BOOTING ||
         (machine->state == HR_MACHINE_UP &&
          core->now - MAX (machine->agent.heard_at, core->leadership.term_began_at) <
              2 * core->policy.silent_s);
}

/* Type, zone and kind, apart from where the job's other tasks are. */
gboolean
hr_job_allows_machine (const HrCore *core, const HrJob *job, const HrMachine *machine)
{
  const HrJobSpec *spec = &job->spec;
  const HrMachineType *type =
      hr_machine_is_plannable (core, machine) ? hr_machine_type_of (core, machine) : NULL;
  /* Where it failed last it is not tried again at once, if there is any other place. */
  if (machine->index == job->run.failed_machine &&
      core->now < job->run.failed_machine_avoided_until)
    return FALSE;
  if (job->plan.shard != HR_NONE && job->plan.shard < core->scheduling.n_shards &&
      machine->plan.shard != job->plan.shard)
    return FALSE;
  return type && (!spec->types || (spec->types >> machine->type & 1)) &&
         (spec->zone == HR_NONE || spec->zone == machine->zone) &&
         (spec->allows_spot || !machine->is_spot) && spec->cpus <= type->cpus + 1e-6 &&
         spec->gpus <= type->gpus + 1e-6 && spec->memory_gb <= type->memory_gb + 1e-6;
}

/* Images that a machine fetches at the same time share its rate; tasks of one image
 * share the fetch. */
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
    const HrJob *other = hr_job_of_task ((HrCore *)core, ref);
    if (other->spec.image == last || hr_machine_has_image (machine, other->spec.image))
      continue;
    last = other->spec.image;
    /* A machine that boots has fetched nothing yet. */
    double since =
        machine->state == HR_MACHINE_UP ? core->now - other->tasks[ref.task].bound_since : 0;
    double left = MAX (0.5, other->spec.image_gb / type->fetch_rate - since);
    if (other->spec.image == job->spec.image)
      own = MIN (own, left);
    else
      others += left;
  }
  return own + MIN (own, others);
}

/* Expected run time with the image fetch. */
double
hr_estimate_run_time (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  double run = job->spec.estimate_s > 0 ? job->spec.estimate_s : 60;
  run *= hr_class_stats (core, job->spec.job_class)->run_time_correction;
  return run + hr_estimate_fetch_time (core, job, machine);
}

typedef struct {
  double end, cpus, gpus, memory_gb;
} Busy;

static void
add_busy (GArray *busy, double end, const HrJobSpec *spec)
{
  Busy busy_task = {end, spec->cpus, spec->gpus, spec->memory_gb};
  guint i = busy->len;
  g_array_append_val (busy, busy_task);
  for (; i > 0 && g_array_index (busy, Busy, i - 1).end > end; i--)
    g_array_index (busy, Busy, i) = g_array_index (busy, Busy, i - 1);
  g_array_index (busy, Busy, i) = busy_task;
}

double
hr_estimate_running_end (HrCore *core, const HrJob *job, const HrTask *task,
                         const HrMachine *machine)
{
  if (job->spec.shape == HR_SERVICE)
    return INFINITY;
  const HrMachineType *type = hr_machine_type_of (core, machine);
  double est = job->spec.estimate_s > 0 ? job->spec.estimate_s : 60;
  est *= hr_class_stats (core, job->spec.job_class)->run_time_correction;
  if (!task->running_since && type && !hr_machine_has_image (machine, job->spec.image))
    est += job->spec.image_gb / type->fetch_rate;
  double end = (task->running_since ? task->running_since : task->bound_since) + est;
  /* Past its estimate: never in the past, and the longer over the longer to go. */
  return MAX (end, core->now + MAX (2, 0.2 * (core->now - task->bound_since)));
}

/* When a task of `s` can start on an idle-from-then machine; fills starts when given. */
void
hr_project_list (HrCore *core, HrMachine *machine, double *starts)
{
  static GArray *busy;
  if (!busy)
    busy = g_array_new (FALSE, FALSE, sizeof (Busy));
  g_array_set_size (busy, 0);
  const HrMachineType *type = hr_machine_type_of (core, machine);
  double cpus = machine->free.cpus - machine->unrecognized.cpus - machine->reserved.cpus,
         gpus = machine->free.gpus - machine->unrecognized.gpus - machine->reserved.gpus,
         memory_gb = machine->free.memory_gb - machine->unrecognized.memory_gb -
                     machine->reserved.memory_gb;
  double at = core->now;
  if (machine->state == HR_MACHINE_BOOTING)
    at = MAX (core->now + 2, machine->instance.requested_at + type->boot_s);
  for (guint i = 0; i < machine->tasks->len; i++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, i);
    HrJob *job = hr_job_of_task (core, ref);
    add_busy (busy, hr_estimate_running_end (core, job, &job->tasks[ref.task], machine),
              &job->spec);
  }
  machine->plan.late_count = 0;
  machine->plan.tardiness = 0;
  machine->plan.ready_at = at;
  double from = at;
  for (guint i = 0; i < machine->plan.list->len; i++) {
    HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, i);
    HrJob *job = hr_job_of_task (core, ref);
    const HrJobSpec *spec = &job->spec;
    double start = from;
    if (spec->shape == HR_GANG)
      start = MAX (start, job->plan.gang_start);
    start = MAX (start, job->run.retry_at);
    while (busy->len) {
      Busy busy_task = g_array_index (busy, Busy, 0);
      gboolean fits = spec->cpus <= cpus + 1e-6 && spec->gpus <= gpus + 1e-6 &&
                      spec->memory_gb <= memory_gb + 1e-6;
      if (busy_task.end > start && (fits || !isfinite (busy_task.end)))
        break;
      cpus += busy_task.cpus;
      gpus += busy_task.gpus;
      memory_gb += busy_task.memory_gb;
      start = MAX (start, busy_task.end);
      g_array_remove_index (busy, 0);
    }
    if (!(spec->cpus <= cpus + 1e-6 && spec->gpus <= gpus + 1e-6 &&
          spec->memory_gb <= memory_gb + 1e-6))
      start = core->now + 1e6; /* behind services for good: as good as never */
    else {
      cpus -= spec->cpus;
      gpus -= spec->gpus;
      memory_gb -= spec->memory_gb;
      add_busy (busy, start + hr_estimate_run_time (core, job, machine), spec);
      from = start; /* deadline order: nobody starts before the one ahead of him */
    }
    if (starts)
      starts[i] = start;
    if (i == 0)
      machine->plan.ready_at = start;
    double over = start + hr_estimate_run_time (core, job, machine) -
                  (job->plan.deadline - core->wall_time + core->now);
    if (over > 0) {
      machine->plan.late_count++;
      machine->plan.tardiness += over;
    }
  }
  if (!machine->plan.list->len && busy->len && machine->free.cpus < 1)
    machine->plan.ready_at =
        MAX (machine->plan.ready_at, MIN (g_array_index (busy, Busy, 0).end, core->now + 1e6));
}

guint
hr_list_position (HrCore *core, HrMachine *machine, const HrJob *job)
{
  guint i = 0;
  while (i < machine->plan.list->len &&
         hr_job_of_task (core, g_array_index (machine->plan.list, HrTaskRef, i))->plan.deadline <=
             job->plan.deadline)
    i++;
  return i;
}

void
hr_list_insert (HrCore *core, HrMachine *machine, HrTaskRef ref)
{
  HrJob *job = hr_job_of_task (core, ref);
  guint at = hr_list_position (core, machine, job);
  g_array_insert_val (machine->plan.list, at, ref);
  job->plan.n_listed += !job->tasks[ref.task].is_listed;
  job->tasks[ref.task].is_listed = 1;
  job->tasks[ref.task].listed_on = machine->index;
}

void
hr_task_unplan (HrJob *job, guint32 task_index)
{
  if (!job->tasks || !job->tasks[task_index].is_listed)
    return;
  job->tasks[task_index].is_listed = 0;
  job->plan.n_listed--;
}

/* For the projected starts of a list; the single owner of all state is a single thread. */
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

void
hr_list_remove (HrMachine *machine, HrTaskRef ref)
{
  for (guint i = 0; i < machine->plan.list->len; i++) {
    HrTaskRef *first = &g_array_index (machine->plan.list, HrTaskRef, i);
    if (first->job == ref.job && first->task == ref.task) {
      g_array_remove_index (machine->plan.list, i);
      return;
    }
  }
}

void
hr_job_unplan (HrCore *core, HrJob *job)
{
  for (guint32 i = 0; job->tasks && job->plan.n_listed && i < job->n_tasks; i++) {
    if (!job->tasks[i].is_listed)
      continue;
    hr_list_remove (core->store.tables.machines->pdata[job->tasks[i].listed_on],
                    (HrTaskRef){job->index, i});
    hr_task_unplan (job, i);
  }
}

/* Is the machine ruled out by where the job's other tasks are, or stand? */
gboolean
hr_job_allows_zone (HrCore *core, HrJob *job, HrMachine *machine)
{
  if (!job->spec.one_zone && !job->spec.spread)
    return TRUE;
  guint here = 0;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    HrTask *task = &job->tasks[i];
    if (task->state != HR_TASK_ASSIGNING && task->state != HR_TASK_BOUND)
      continue;
    guint32 zone = ((HrMachine *)core->store.tables.machines->pdata[task->placement.machine])->zone;
    if (zone == HR_NONE)
      return FALSE; /* known from a record alone: nothing is placed beside it blindly */
    gboolean same = zone == machine->zone;
    if (job->spec.one_zone && !same)
      return FALSE;
    here += same;
  }
  return !job->spec.spread || here < (job->n_tasks + 1) / 2;
}

void
hr_list_append (HrCore *core, HrMachine *machine, GArray *listed)
{
  if (!machine->plan.list->len)
    return;
  double *starts = hr_projection_scratch (machine->plan.list->len);
  hr_project_list (core, machine, starts);
  for (guint k = 0; k < machine->plan.list->len; k++) {
    HrListedTask listed_task = {g_array_index (machine->plan.list, HrTaskRef, k), machine,
                                starts[k]};
    g_array_append_val (listed, listed_task);
  }
}

HrJob *
hr_listed_job (HrCore *core, GArray *listed, guint i)
{
  return hr_job_of_task (core, g_array_index (listed, HrListedTask, i).task);
}
