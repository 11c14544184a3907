/* Scales out: demands instances for waiting tasks without capacity. */
#include "coordination/scaling/scale_out.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/capacity_refusals.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/task_lists.h"

/* Limit per job and pass on the tasks for which capacity is sought. */
#define MAX_SCALE_OUT_TASKS 200
/* Jobs of teams with a limit tolerate this share of the wait that other jobs tolerate. */
#define LIMITED_SLACK 0.25
/* First and longest pause of the demand for a gang that exceeds all available capacity; the pause
 * doubles each time. */
#define SCALE_OUT_PAUSE_S 15
#define MAX_SCALE_OUT_PAUSE_S 240

void
hr_scale_out_for_task (HrCore *core, HrFleetCapacity *fleet, HrCapacityCursor *cursor,
                       HrDemandPlan *demand, HrJob *job)
{
  HrTaskNeed need = hr_task_need_of_job (&job->spec);
  if (!hr_capacity_find (core, fleet, fleet->n_booting, cursor, job, &need))
    hr_demand_plan_add (core, demand, &need);
}

/* Returns whether the cloud may grant an instance for the job: it has not refused all suitable
 * kinds recently. */
static gboolean
cloud_may_grant_instances (const HrCore *core, const HrJobSpec *spec)
{
  gboolean tries_spot = spec->allows_spot && core->policy.spot_use > 0;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    guint32 type = g_array_index (core->scaling.machine_types, HrMachineType, i).type;
    if (spec->types && !(spec->types >> type & 1))
      continue;
    if (!hr_capacity_is_refused (core, type, spec->zone, FALSE) ||
        (tries_spot && !hr_capacity_is_refused (core, type, spec->zone, TRUE)))
      return TRUE;
  }
  return FALSE;
}

/* Returns whether the gang needs more machines than the fleet has while the cloud grants no more.
 * Instances granted for it would stay idle, be returned and be requested again endlessly, so the
 * demand for it pauses. */
static gboolean
exceeds_available_machines (HrCore *core, HrJob *job)
{
  guint fleet = 0;
  if (core->now < job->plan.next_scale_out_at)
    return TRUE;
  if (job->spec.shape != HR_GANG || job->plan.n_listed ||
      cloud_may_grant_instances (core, &job->spec))
    return FALSE;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    fleet += hr_job_allows_machine (core, job, machine) &&
             hr_machine_fits_alongside_services (core, machine, &job->spec);
  }
  if (fleet >= job->n_tasks)
    return FALSE;
  job->plan.scale_out_pause_s =
      CLAMP (2 * job->plan.scale_out_pause_s, SCALE_OUT_PAUSE_S, MAX_SCALE_OUT_PAUSE_S);
  job->plan.next_scale_out_at = core->now + job->plan.scale_out_pause_s;
  g_message ("job %s needs %u machines at once, but only %u are available; no requests for %.0f s",
             job->id, job->n_tasks, fleet, job->plan.scale_out_pause_s);
  return TRUE;
}

/* Reserves free capacity of the machine for the tasks at the head of its list, as many as fit at
 * the same time, and returns their number. That capacity is not free for other tasks: if it were
 * counted twice, too few instances would be demanded; if these tasks were not counted, each pass
 * would again demand instances for a gang that waits for instances already requested. */
static guint
reserve_list (HrCore *core, HrFreeCapacity *capacity)
{
  const GArray *list = capacity->machine->plan.list;
  guint n = 0;
  for (; n < list->len; n++) {
    const HrJob *job = hr_job_of_task (core, g_array_index (list, HrTaskRef, n));
    if (!hr_free_capacity_take (capacity, hr_resources_of_task (&job->spec)))
      break;
  }
  return n;
}

/* Returns whether an instance requested now would start the listed task sooner than its list does,
 * and the plan is late: the task ends after its job's deadline, or belongs to a gang. @fits: the
 * machine has free capacity for the task in addition to the tasks ahead of it in the list. A task
 * that its team's limit lets start tolerates less wait: it must not wait for other tasks of the
 * team to end, because the quota that these free is granted to the next job, and the task's own
 * grant would stay unused. */
static gboolean
is_late (HrCore *core, const HrListedTask *listed, gboolean fits)
{
  const HrJob *job = hr_job_of_task (core, listed->task);
  gboolean is_limited = hr_team_usage (core, job->spec.team)->is_limited;
  double slack = hr_longest_boot_s (core) * core->policy.rent_slack;
  double wait = listed->start - core->now;
  if (wait <= (is_limited ? slack * LIMITED_SLACK : slack) || (is_limited && fits))
    return FALSE;
  return job->spec.shape == HR_GANG ||
         core->wall_time + wait + hr_estimate_run_time (core, job, listed->machine) >
             job->plan.deadline;
}

/* Reserves free capacity for the tasks at the head of every list, on the list's machine. For
 * machines that are up the reservation is made on a copy and does not reduce @fleet. Returns the
 * number of listed tasks that fit, by index in @fleet. */
static guint *
reserve_all_lists (HrCore *core, HrFleetCapacity *fleet)
{
  guint *fitting = g_new0 (guint, fleet->n + 1);
  for (guint i = 0; i < fleet->n; i++) {
    HrMachine *machine = fleet->machines[i].machine;
    HrFreeCapacity copy = {machine, hr_machine_unreserved (machine), FALSE};
    fitting[i] = reserve_list (core, i < fleet->n_booting ? &fleet->machines[i] : &copy);
  }
  return fitting;
}

/* Demands instances for listed tasks that would start late. */
static void
scale_out_for_late_tasks (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand)
{
  g_autofree guint *fitting = reserve_all_lists (core, fleet);
  g_autoptr (GArray) listed = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < fleet->n; i++) {
    g_array_set_size (listed, 0);
    hr_append_listed_tasks (core, fleet->machines[i].machine, listed);
    for (guint k = 0; k < listed->len; k++) {
      HrCapacityCursor cursor = {0};
      if (is_late (core, &g_array_index (listed, HrListedTask, k), k < fitting[i]))
        hr_scale_out_for_task (core, fleet, &cursor, demand, hr_listed_job (core, listed, k));
    }
  }
}

/* Returns how many tasks of the job are in no list and need instances. Tasks that the team's limit
 * holds back need none; tasks in lists use up part of the limit's grant. */
static gint
count_unlisted_tasks (HrCore *core, HrJob *job)
{
  gint left = (gint)job->n_tasks - (gint)(job->run.n_live + job->n_done + job->plan.n_listed);
  if (left <= 0 || job->spec.shape == HR_SERVICE || !hr_job_is_waiting (core, job) ||
      !hr_team_allows_start (core, job, 1) || exceeds_available_machines (core, job))
    return 0;
  guint granted = hr_quotas_granted (core, job);
  if (granted < G_MAXINT)
    left = MIN (left, (gint)granted - (gint)job->plan.n_listed);
  return MIN (left, MAX_SCALE_OUT_TASKS);
}

/* Marks as many idle machines as the job has tasks, if these fit there, so that the machines are
 * not returned. A job that no list takes yet, such as a gang that needs more machines, would only
 * request them again. */
static void
keep_idle_machines (HrCore *core, HrFleetCapacity *fleet, const HrJob *job, guint n)
{
  for (guint i = fleet->n_booting; i < fleet->n && n; i++) {
    HrFreeCapacity *capacity = &fleet->machines[i];
    HrMachine *machine = capacity->machine;
    if (machine->tasks->len || !hr_job_allows_machine (core, job, machine) ||
        !hr_resources_cover (hr_machine_unused (machine), hr_resources_of_task (&job->spec)))
      continue;
    capacity->is_reserved = TRUE;
    n--;
  }
}

void
hr_scale_out_for_lists (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand)
{
  scale_out_for_late_tasks (core, fleet, demand);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    HrCapacityCursor cursor = {0};
    gint left = count_unlisted_tasks (core, job);
    if (left > 0 && !job->plan.n_listed)
      keep_idle_machines (core, fleet, job, left);
    for (gint k = 0; k < left; k++)
      hr_scale_out_for_task (core, fleet, &cursor, demand, job);
  }
}
