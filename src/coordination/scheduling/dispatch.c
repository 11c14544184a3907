/* The dispatch pass: starts the tasks that the plan lists for each machine (task_lists.h). A listed
 * task that waits for capacity of its machine is called blocked. */
#include "coordination/scheduling/dispatch.h"
#include "bookkeeping/replica.h"
#include "coordination/jobs/gang_scheduling.h"
#include "coordination/jobs/task_lifecycle.h"
#include "coordination/leadership/leadership.h"
#include "coordination/scaling/headroom.h"
#include "coordination/scaling/next_steps.h"
#include "coordination/scaling/scale_in.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/job_order.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quota_preemption.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/service_replicas.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/starts.h"
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/task_lists.h"
#include <math.h>

/* Returns whether a task of the job would end on the machine before the machine's first blocked
 * task is due to start. */
static gboolean
ends_before (HrCore *core, const HrJob *job, const HrMachine *machine, double blocked_until)
{
  return core->now + hr_estimate_run_time (core, job, machine) <= blocked_until;
}

/* Starts the listed task, or the whole gang that it belongs to, if it can start now without
 * delaying the blocked task ahead of it. job_verdict: the result of hr_start_check_job(). */
static gboolean
start_listed (HrCore *core, HrMachine *machine, HrTaskRef ref, HrStartVerdict job_verdict,
              double blocked_until)
{
  HrJob *job = hr_job_of_task (core, ref);
  if (job_verdict != HR_START_OK || hr_start_check_machine (core, job, machine) != HR_START_OK)
    return FALSE;
  if (isfinite (blocked_until) && !ends_before (core, job, machine, blocked_until))
    return FALSE;
  if (job->spec.shape == HR_GANG)
    return hr_start_gang (core, job);
  hr_start_task (core, job, ref.task, machine);
  return TRUE;
}

/* Returns the projected start of the i-th task of the machine's list, not earlier than now. */
static double
projected_start (HrCore *core, HrMachine *machine, guint i)
{
  double *starts = hr_projection_scratch (machine->plan.list->len);
  hr_project_list (core, machine, starts);
  return MAX (core->now, starts[i]);
}

/* Starts the tasks of the machine's list that can start now. Returns the projected start of the
 * first blocked task, or INFINITY if there is none; other tasks may only use the machine until
 * then (backfill). */
static double
start_tasks_of_list (HrCore *core, HrMachine *machine)
{
  double blocked_until = INFINITY;
  for (guint i = 0; i < machine->plan.list->len;) {
    HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, i);
    HrStartVerdict job_verdict = hr_start_check_job (core, hr_job_of_task (core, ref), 1);
    if (start_listed (core, machine, ref, job_verdict, blocked_until)) {
      i = 0; /* the list has changed */
      blocked_until = INFINITY;
      continue;
    }
    /* A task that waits because of its job's retry pause or its team's quota blocks no other
     * task. */
    if (!isfinite (blocked_until) && job_verdict == HR_START_OK)
      blocked_until = projected_start (core, machine, i);
    i++;
  }
  return blocked_until;
}

/* Starts the tasks of all lists that can start now. Returns the projected start of the first
 * blocked task by machine: (element-type HrMachine double). */
static GHashTable *
start_tasks_of_all_lists (HrCore *core)
{
  GHashTable *blocked = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_UP || !machine->plan.list->len)
      continue;
    double until = start_tasks_of_list (core, machine);
    if (isfinite (until))
      g_hash_table_insert (blocked, machine, g_memdup2 (&until, sizeof until));
  }
  return blocked;
}

/* Returns the batch tasks of all lists, by deadline: (element-type HrListedTask). */
static GArray *
listed_batch_tasks (HrCore *core)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < core->scaling.fleet->len; i++)
    hr_append_listed_tasks (core, core->scaling.fleet->pdata[i], listed);
  for (guint i = listed->len; i > 0; i--)
    if (hr_listed_job (core, listed, i - 1)->spec.shape != HR_BATCH)
      g_array_remove_index_fast (listed, i - 1);
  g_array_sort_with_data (listed, hr_compare_listed_by_deadline, core);
  return listed;
}

/* Returns the best machine on which a task of the job can start now (hr_batch_machine_better());
 * NULL: there is none. */
static HrMachine *
best_startable_machine (HrCore *core, const HrJob *job, const GPtrArray *machines,
                        GHashTable *blocked)
{
  HrMachine *best = NULL;
  for (guint k = 0; k < machines->len; k++) {
    HrMachine *machine = machines->pdata[k];
    if (hr_start_check_machine (core, job, machine) != HR_START_OK)
      continue;
    const double *until = g_hash_table_lookup (blocked, machine);
    if (until && !ends_before (core, job, machine, *until))
      continue;
    if (!best || hr_batch_machine_better (core, job, machine, best))
      best = machine;
  }
  return best;
}

/* Returns whether the task would end sooner if it started on the machine now than where it is
 * listed. */
static gboolean
is_sooner_than_listed (HrCore *core, const HrJob *job, const HrMachine *machine,
                       const HrListedTask *listed)
{
  return core->now + hr_estimate_run_time (core, job, machine) <
         listed->start + hr_estimate_run_time (core, job, listed->machine);
}

/* Starts listed tasks of any machine on machines with free capacity, earliest deadline first. A
 * task that would end sooner where it is listed, usually because its image is cached there, stays
 * listed; on a large fleet most tasks would otherwise fetch their image again. */
static void
start_from_any_list (HrCore *core, GHashTable *blocked)
{
  g_autoptr (GPtrArray) machines = hr_machines_with_capacity (core);
  if (!machines->len)
    return;
  g_autoptr (GArray) all = listed_batch_tasks (core);
  /* The job whose latest task found no machine; its next tasks are skipped. */
  guint32 unplaceable_job = HR_NONE;
  for (guint i = 0; i < all->len; i++) {
    const HrListedTask *listed = &g_array_index (all, HrListedTask, i);
    HrJob *job = hr_listed_job (core, all, i);
    if (job->index == unplaceable_job || hr_start_check_job (core, job, 1) != HR_START_OK)
      continue;
    HrMachine *best = best_startable_machine (core, job, machines, blocked);
    if (!best)
      unplaceable_job = job->index;
    else if (is_sooner_than_listed (core, job, best, listed))
      hr_start_task (core, job, listed->task.task, best);
  }
}

static gboolean
is_active (const HrJob *job)
{
  return job->state == HR_JOB_QUEUED && job->tasks;
}

/* Returns the services with waiting replicas, by priority. */
static GPtrArray *
waiting_services (HrCore *core)
{
  GPtrArray *services = g_ptr_array_new ();
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (is_active (job) && job->spec.shape == HR_SERVICE && job->run.n_live < job->n_tasks)
      g_ptr_array_add (services, job);
  }
  g_ptr_array_sort (services, hr_compare_by_priority);
  return services;
}

/* Starts the tasks again that gangs lost before the common start of their tasks. */
static void
replace_lost_gang_tasks (HrCore *core)
{
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (is_active (job) && job->run.gang_incomplete_since)
      hr_start_lost_gang_tasks (core, job);
  }
}

/* Preempts other tasks, or requests instances, for the service's replicas that still wait. All
 * replicas have the same needs, so once no preemption is possible for one of them, instances are
 * requested for the rest. */
static void
find_capacity_for_service (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand, HrJob *job)
{
  HrCapacityCursor cursor = {0};
  gboolean may_preempt = TRUE;
  guint remaining = hr_team_allows_start (core, job, 1) ? hr_quotas_granted (core, job) : 0;
  for (guint32 k = 0; k < job->n_tasks && remaining; k++) {
    if (job->tasks[k].state != HR_TASK_IDLE || job->run.retry_at > core->now)
      continue;
    remaining--;
    may_preempt = may_preempt && hr_preempt (core, job, fleet, HR_PREEMPT_ANY_TEAM);
    if (!may_preempt)
      hr_scale_out_for_task (core, fleet, &cursor, demand, job);
  }
}

/* Preempts other tasks, or requests instances, for the tasks that could not start, and returns idle
 * machines to the cloud. Instances are also requested for headroom, and for jobs whose awaited jobs
 * are about to end (the next steps of pipelines). */
static void
find_capacity (HrCore *core, const GPtrArray *services)
{
  g_auto (HrFleetCapacity) fleet = {0};
  g_auto (HrDemandPlan) demand = {0};
  hr_fleet_capacity_init (&fleet, core);
  hr_demand_plan_init (&demand);
  core->scheduling.booting_machines = fleet.n_booting;
  for (guint i = 0; i < services->len; i++)
    find_capacity_for_service (core, &fleet, &demand, services->pdata[i]);
  hr_guarantees_preempt (core, &fleet);
  hr_fleet_capacity_take_reservations (&fleet, core);
  hr_scale_out_headroom (core, &fleet, &demand);
  hr_scale_out_for_lists (core, &fleet, &demand);
  hr_scale_out_for_next_steps (core, &fleet, &demand);
  hr_demand_plan_submit (core, &demand);
  hr_scale_in_idle (core, &fleet);
}

/* Returns whether the leader can record assignments. Otherwise no task can start, so nothing may be
 * preempted, and no idle machine may be returned: it is idle only because no task can start. */
static gboolean
may_dispatch (HrCore *core)
{
  return core->scaling.machine_types && hr_leadership_may_answer (core) &&
         hr_replica_is_current (&core->store);
}

void
hr_dispatch (HrCore *core)
{
  if (!may_dispatch (core))
    return;
  g_autoptr (GPtrArray) services = waiting_services (core);
  replace_lost_gang_tasks (core);
  hr_replicas_start (core, services);
  g_autoptr (GHashTable) blocked = start_tasks_of_all_lists (core);
  start_from_any_list (core, blocked);
  hr_starvation_guard_tick (core);
  hr_quotas_preempt (core);
  find_capacity (core, services);
}
