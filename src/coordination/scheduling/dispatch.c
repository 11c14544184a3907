/* The dispatch pass: from the plan to orders. */
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

/* Would the task be done on the machine before the first blocked task of its list is due to start?
 */
static gboolean
ends_before (HrCore *core, const HrJob *job, const HrMachine *machine, double blocked_until)
{
  return core->now + hr_estimate_run_time (core, job, machine) <= blocked_until;
}

/* Starts the task from the machine's list, and the whole gang with it, if it can start now without
 * holding up the blocked task ahead of it. job_verdict: of hr_start_check_job(). */
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

/* When the i-th task of the machine's list is due to start; not in the past. */
static double
projected_start (HrCore *core, HrMachine *machine, guint i)
{
  double *starts = hr_projection_scratch (machine->plan.list->len);
  hr_project_list (core, machine, starts);
  return MAX (core->now, starts[i]);
}

/* Starts what can start of the machine's own list. Returns when the first task that cannot start is
 * due to; INFINITY: there is none. Others may only fill the time until then. */
static double
start_list (HrCore *core, HrMachine *machine)
{
  double blocked_until = INFINITY;
  for (guint i = 0; i < machine->plan.list->len;) {
    HrTaskRef ref = g_array_index (machine->plan.list, HrTaskRef, i);
    HrStartVerdict job_verdict = hr_start_check_job (core, hr_job_of_task (core, ref), 1);
    if (start_listed (core, machine, ref, job_verdict, blocked_until)) {
      i = 0; /* lists changed */
      blocked_until = INFINITY;
      continue;
    }
    /* A task that waits for its own job or team holds up nothing behind it. */
    if (!isfinite (blocked_until) && job_verdict == HR_START_OK)
      blocked_until = projected_start (core, machine, i);
    i++;
  }
  return blocked_until;
}

/* Starts what can start of all lists. Returns for the machines with a blocked task when it is due:
 * (element-type HrMachine double). */
static GHashTable *
start_lists (HrCore *core)
{
  GHashTable *blocked = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state != HR_MACHINE_UP || !machine->plan.list->len)
      continue;
    double until = start_list (core, machine);
    if (isfinite (until))
      g_hash_table_insert (blocked, machine, g_memdup2 (&until, sizeof until));
  }
  return blocked;
}

/* The batch tasks of all lists, by deadline. */
static GArray *
listed_batch_tasks (HrCore *core)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < core->scaling.fleet->len; i++)
    hr_list_append (core, core->scaling.fleet->pdata[i], listed);
  for (guint i = listed->len; i > 0; i--)
    if (hr_listed_job (core, listed, i - 1)->spec.shape != HR_BATCH)
      g_array_remove_index_fast (listed, i - 1);
  g_array_sort_with_data (listed, hr_listed_by_deadline, core);
  return listed;
}

/* The machine where a task of the job can start now and is done soonest; NULL: there is none. */
static HrMachine *
best_start (HrCore *core, const HrJob *job, const GPtrArray *machines, GHashTable *blocked)
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

/* Is the task done sooner when it starts on the machine now than where it is listed? */
static gboolean
is_sooner_than_listed (HrCore *core, const HrJob *job, const HrMachine *machine,
                       const HrListedTask *listed)
{
  return core->now + hr_estimate_run_time (core, job, machine) <
         listed->start + hr_estimate_run_time (core, job, listed->machine);
}

/* A machine with free capacity takes the earliest-deadline task that fits from any list, unless
 * its own list has it done sooner: where its image is cached, mostly. On a large fleet most tasks
 * else fetch their image anew. */
static void
start_from_any_list (HrCore *core, GHashTable *blocked)
{
  g_autoptr (GPtrArray) machines = hr_machines_with_capacity (core);
  if (!machines->len)
    return;
  g_autoptr (GArray) all = listed_batch_tasks (core);
  guint32 without = HR_NONE; /* the job whose last task found no machine: nor will the next */
  for (guint i = 0; i < all->len; i++) {
    const HrListedTask *listed = &g_array_index (all, HrListedTask, i);
    HrJob *job = hr_listed_job (core, all, i);
    if (job->index == without || hr_start_check_job (core, job, 1) != HR_START_OK)
      continue;
    HrMachine *best = best_start (core, job, machines, blocked);
    if (!best)
      without = job->index;
    else if (is_sooner_than_listed (core, job, best, listed))
      hr_start_task (core, job, listed->task.task, best);
  }
}

static gboolean
is_active (const HrJob *job)
{
  return job->state == HR_JOB_QUEUED && job->tasks;
}

/* Services with replicas that wait, in the order in which they are served. */
static GPtrArray *
waiting_services (HrCore *core)
{
  GPtrArray *services = g_ptr_array_new ();
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (is_active (job) && job->spec.shape == HR_SERVICE && job->run.n_live < job->n_tasks)
      g_ptr_array_add (services, job);
  }
  g_ptr_array_sort (services, hr_by_priority);
  return services;
}

static void
complete_gangs (HrCore *core)
{
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (is_active (job) && job->run.gang_incomplete_since)
      hr_start_lost_gang_tasks (core, job);
  }
}

/* For the replicas of the service that still wait, others are preempted, or instances are
 * requested. */
static void
find_capacity_for_service (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand, HrJob *job)
{
  HrCapacityCursor cursor = {0};
  gboolean may_preempt = TRUE;
  guint left = hr_team_allows_start (core, job, 1) ? hr_quotas_granted (core, job) : 0;
  for (guint32 k = 0; k < job->n_tasks && left; k++) {
    if (job->tasks[k].state != HR_TASK_IDLE || job->run.retry_at > core->now)
      continue;
    left--;
    may_preempt = may_preempt && hr_preempt (core, job, fleet, HR_PREEMPT_ANY_TEAM);
    if (!may_preempt)
      hr_scale_out_for_task (core, fleet, &cursor, demand, job);
  }
}

/* What could not start: preempts for it, or requests instances; returns what is not needed. */
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
  hr_scale_out_headroom (core, &fleet, &demand);
  hr_scale_out_for_lists (core, &fleet, &demand);
  hr_scale_out_for_next_steps (core, &fleet, &demand);
  hr_demand_plan_submit (core, &demand);
  hr_scale_in_idle (core, &fleet);
}

/* While nothing can be recorded nothing can start, so nothing is preempted and no machine is idle
 * because there is no work. */
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
  complete_gangs (core);
  hr_replicas_start (core, services);
  g_autoptr (GHashTable) blocked = start_lists (core);
  start_from_any_list (core, blocked);
  hr_starvation_guard_tick (core);
  hr_quotas_preempt (core);
  find_capacity (core, services);
}
