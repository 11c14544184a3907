/* From the plan to orders: what can start now starts, what cannot is made room
 * for, rented for, or waits; idle machines go back. */
#include "coordination/scheduling/dispatch.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quota_preemption.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/service_replicas.h"
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/state.h"
#include <math.h>

gboolean
hr_machine_is_reachable (const HrCore *core, const HrMachine *machine)
{
  return machine->state == HR_MACHINE_UP && machine->agent.heard_at > 0 &&
         core->now - machine->agent.heard_at < core->policy.silent_s;
}

gboolean
hr_dispatch_fits_now (HrCore *core, HrJob *job, HrMachine *machine)
{
  return hr_machine_fits (machine, &job->spec) && hr_machine_is_reachable (core, machine) &&
         core->now >= machine->full_until && hr_job_allows_machine (core, job, machine) &&
         hr_job_allows_zone (core, job, machine);
}

gboolean
hr_dispatch_startable (HrCore *core, HrJob *job, HrMachine *machine)
{
  return core->now >= job->run.retry_at && hr_dispatch_fits_now (core, job, machine) &&
         (job->spec.shape == HR_SERVICE || hr_machine_fits_unreserved (machine, &job->spec));
}

static void
start (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine, guint32 attempt)
{
  if (job->tasks[task_index].is_listed) {
    hr_task_unplan (job, task_index);
    hr_list_remove (core->store.tables.machines->pdata[job->tasks[task_index].listed_on],
                    (HrTaskRef){job->index, task_index});
  }
  hr_task_assign (core, job, task_index, machine, attempt);
  hr_quotas_task_started (core, job);
}

static guint32
next_attempt (const HrTask *task)
{
  return MAX (task->placement.attempt, task->recorded.attempt) + 1;
}

void
hr_dispatch_start (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine)
{
  start (core, job, task_index, machine, next_attempt (&job->tasks[task_index]));
}

GPtrArray *
hr_dispatch_open_machines (HrCore *core)
{
  GPtrArray *array = g_ptr_array_sized_new (core->scaling.fleet->len);
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state == HR_MACHINE_UP && !machine->is_draining &&
        machine->free.cpus - machine->unrecognized.cpus > 0)
      g_ptr_array_add (array, machine);
  }
  return array;
}

/* All slots of the gang, if each can start now. */
static gboolean
start_gang (HrCore *core, HrJob *job)
{
  g_autofree HrMachine **machines = g_new0 (HrMachine *, job->n_tasks);
  if (!hr_team_allows_start (core, job, job->n_tasks))
    return FALSE;
  for (guint32 i = 0; i < job->n_tasks; i++) {
    if (!job->tasks[i].is_listed || job->tasks[i].state != HR_TASK_IDLE)
      return FALSE;
    machines[i] = core->store.tables.machines->pdata[job->tasks[i].listed_on];
    if (!hr_dispatch_startable (core, job, machines[i]))
      return FALSE;
  }
  guint32 attempt = hr_job_next_attempt (job);
  for (guint32 i = 0; i < job->n_tasks; i++)
    start (core, job, i, machines[i], attempt);
  return TRUE;
}

/* A gang that lost a task before its start gets that task anew, with the same attempt
 * number, where the image is soonest. The others wait for gang_wait_s only, and occupy
 * their machines meanwhile: where no place is found in half of that, it begins anew. */
static void
complete_gang (HrCore *core, HrJob *job)
{
  guint32 attempt = 0;
  gboolean whole = TRUE;
  for (guint32 k = 0; k < job->n_tasks; k++)
    if (job->tasks[k].state != HR_TASK_IDLE)
      attempt = job->tasks[k].placement.attempt;
  for (guint32 k = 0; k < job->n_tasks; k++) {
    HrMachine *best = NULL;
    if (job->tasks[k].state != HR_TASK_IDLE)
      continue;
    gboolean allowed = hr_team_allows_start (core, job, 1);
    for (guint i = 0; i < core->scaling.fleet->len; i++) {
      HrMachine *machine = core->scaling.fleet->pdata[i];
      /* Where it was refused, the same attempt would be taken for the refused one. */
      if (allowed && machine->index != job->tasks[k].placement.machine &&
          hr_dispatch_startable (core, job, machine) &&
          (!best ||
           hr_estimate_fetch_time (core, job, machine) < hr_estimate_fetch_time (core, job, best)))
        best = machine;
    }
    if (best) {
      g_info ("%s/%u was lost before the gang's start; %s takes its place", job->id, k, best->name);
      start (core, job, k, best, attempt);
    } else
      whole = FALSE;
  }
  if (whole)
    job->run.gang_incomplete_since = 0;
  else if (core->now - job->run.gang_incomplete_since > core->settings->gang_wait_s / 2)
    hr_gang_end_attempt (core, job, 0);
}

/* May this task start on the machine now without holding up an earlier one of its list? */
static gboolean
may_pass (HrCore *core, HrJob *job, HrMachine *machine, double blocked_until)
{
  return core->now + hr_estimate_run_time (core, job, machine) <= blocked_until;
}

/* Starts what can start of the machine's own list. Returns when the first task
 * that cannot start is due to: others may only fill the time until then. */
static double
start_list (HrCore *core, HrMachine *machine)
{
  double blocked = INFINITY;
  for (guint i = 0; i < machine->plan.list->len;) {
    HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, i);
    HrJob *job = core->store.tables.jobs->pdata[ref.job];
    gboolean ok = hr_dispatch_startable (core, job, machine) &&
                  (!isfinite (blocked) || may_pass (core, job, machine, blocked));
    if (ok && job->spec.shape == HR_GANG)
      ok = start_gang (core, job);
    else if (ok && (ok = hr_team_allows_start (core, job, 1)))
      hr_dispatch_start (core, job, ref.task, machine);
    if (ok) {
      i = 0; /* lists changed */
      blocked = INFINITY;
      continue;
    }
    /* One that its team holds back holds nobody else up. */
    if (!isfinite (blocked) && core->now >= job->run.retry_at &&
        hr_team_allows_start (core, job, 1)) {
      g_autofree double *starts = g_new (double, machine->plan.list->len);
      hr_project_list (core, machine, starts);
      blocked = MAX (core->now, starts[i]);
    }
    i++;
  }
  return blocked;
}

static int
by_deadline (gconstpointer left, gconstpointer right, gpointer data)
{
  HrCore *core = data;
  const HrTaskRef *ref = &((const HrListedTask *)left)->task,
                  *second = &((const HrListedTask *)right)->task;
  const HrJob *first_job = core->store.tables.jobs->pdata[ref->job],
              *second_job = core->store.tables.jobs->pdata[second->job];
  if (first_job->plan.deadline != second_job->plan.deadline)
    return first_job->plan.deadline < second_job->plan.deadline ? -1 : 1;
  return ref->job != second->job ? (ref->job < second->job ? -1 : 1)
                                 : (ref->task > second->task) - (ref->task < second->task);
}

gboolean
hr_dispatch_batch_better (HrCore *core, HrJob *job, HrMachine *left, HrMachine *right)
{
  double first = hr_estimate_run_time (core, job, left),
         second = hr_estimate_run_time (core, job, right);
  if (fabs (first - second) > 1)
    return first < second;
  if (left->is_spot != right->is_spot)
    return left->is_spot;
  return left->tasks->len > right->tasks->len;
}

/* A machine with room takes the earliest-deadline task that fits from any list, unless its
 * own list has it done sooner: where its image is cached, mostly. On a large fleet most tasks
 * else fetch their image anew. blocked: by index of the machine. */
static void
start_from_any (HrCore *core, GHashTable *blocked)
{
  g_autoptr (GPtrArray) capacities = hr_dispatch_open_machines (core);
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < core->scaling.fleet->len && capacities->len; i++)
    hr_list_append (core, core->scaling.fleet->pdata[i], all);
  for (guint i = all->len; i > 0; i--)
    if (hr_listed_job (core, all, i - 1)->spec.shape != HR_BATCH)
      g_array_remove_index_fast (all, i - 1);
  g_array_sort_with_data (all, by_deadline, core);
  guint32 without = HR_NONE; /* the job whose last task found no room: nor will the next */
  for (guint i = 0; i < all->len; i++) {
    const HrListedTask *listed = &g_array_index (all, HrListedTask, i);
    HrTaskRef ref = listed->task;
    HrJob *job = hr_listed_job (core, all, i);
    HrMachine *best = NULL;
    if (ref.job == without || !hr_team_allows_start (core, job, 1))
      continue;
    for (guint k = 0; k < capacities->len; k++) {
      HrMachine *machine = capacities->pdata[k];
      double *until = g_hash_table_lookup (blocked, machine);
      if (!hr_dispatch_startable (core, job, machine) ||
          (until && !may_pass (core, job, machine, *until)))
        continue;
      if (!best || hr_dispatch_batch_better (core, job, machine, best))
        best = machine;
    }
    if (!best)
      without = ref.job;
    else if (core->now + hr_estimate_run_time (core, job, best) <
             listed->start + hr_estimate_run_time (core, job, listed->machine))
      hr_dispatch_start (core, job, ref.task, best);
  }
}

static int
by_priority (gconstpointer left, gconstpointer right)
{
  const HrJob *first = *(HrJob *const *)left, *second = *(HrJob *const *)right;
  if (hr_job_priority (first) != hr_job_priority (second))
    return hr_job_priority (first) < hr_job_priority (second) ? -1 : 1;
  return hr_by_submission (left, right);
}

/* The room of all machines, those that boot first. booting: how many do. */
static HrFreeCapacity *
free_capacities (HrCore *core, guint *booting)
{
  guint n = core->scaling.fleet->len;
  HrFreeCapacity *capacities = g_new0 (HrFreeCapacity, n + 1);
  *booting = 0;
  for (guint i = 0, up = n; i < n; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    HrFreeCapacity *capacity =
        &capacities[machine->state == HR_MACHINE_BOOTING ? (*booting)++ : --up];
    *capacity = (HrFreeCapacity){machine, machine->free.cpus, machine->free.gpus,
                                 machine->free.memory_gb, FALSE};
    for (guint k = 0; k < machine->tasks->len; k++) {
      HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
      HrJob *job = core->store.tables.jobs->pdata[ref.job];
      if (job->tasks[ref.task].stop_wanted) {
        capacity->cpus += job->spec.cpus;
        capacity->gpus += job->spec.gpus;
        capacity->memory_gb += job->spec.memory_gb;
      }
    }
  }
  return capacities;
}

void
hr_dispatch (HrCore *core)
{
  /* While nothing can be recorded nothing can start, so nothing is stopped to make room
   * and no machine is idle for want of work. */
  if (!core->scaling.machine_types || !hr_leadership_may_answer (core) ||
      !hr_replica_is_served (&core->store))
    return;
  g_autoptr (GPtrArray) services = g_ptr_array_new ();
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    if (job->state != HR_JOB_QUEUED || !job->tasks)
      continue;
    if (job->spec.shape == HR_SERVICE && job->run.n_live < job->n_tasks)
      g_ptr_array_add (services, job);
    else if (job->run.gang_incomplete_since)
      complete_gang (core, job);
  }
  g_ptr_array_sort (services, by_priority);
  hr_replicas_start (core, services);
  guint n = core->scaling.fleet->len;
  g_autoptr (GHashTable) blocked =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < n; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    double until = machine->state == HR_MACHINE_UP && machine->plan.list->len
                       ? start_list (core, machine)
                       : INFINITY;
    if (isfinite (until))
      g_hash_table_insert (blocked, machine, g_memdup2 (&until, sizeof until));
  }
  start_from_any (core, blocked);
  hr_starvation_guard_tick (core);
  hr_quotas_preempt (core);

  guint booting;
  g_autofree HrFreeCapacity *capacities = free_capacities (core, &booting);
  core->scheduling.booting_machines = booting;
  g_autoptr (GArray) needs = hr_scale_out_begin ();
  for (guint i = 0; i < services->len; i++) {
    HrJob *job = services->pdata[i];
    HrCapacityCursor cursor = {0};
    gboolean capacity = TRUE;
    guint left = hr_team_allows_start (core, job, 1) ? hr_quotas_granted (core, job) : 0;
    for (guint32 k = 0; k < job->n_tasks && left; k++) {
      if (job->tasks[k].state != HR_TASK_IDLE || job->run.retry_at > core->now)
        continue;
      left--;
      capacity = capacity && hr_preempt (core, job, capacities, FALSE);
      if (!capacity)
        hr_scale_out_for_task (core, capacities, booting, &cursor, needs, job);
    }
  }
  hr_guarantees_preempt (core, capacities);
  hr_scale_out_headroom (core, capacities, n, needs);
  hr_scale_out_for_lists (core, capacities, booting, needs);
  hr_scale_out_for_next_steps (core, capacities, n, needs);
  hr_scale_out_end (core, needs);
  hr_scale_in_idle (core, capacities, n);
}
