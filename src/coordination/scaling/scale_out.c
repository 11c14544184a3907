/* Scale out: demanding instances for what waits and has no capacity. */
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

/* Tasks of one job that instances are demanded for in a pass. */
#define MAX_SCALE_OUT_TASKS 200
/* For teams with a limit, this share of the wait that others tolerate. */
#define LIMITED_SLACK 0.25
/* No instance is demanded for a gang larger than any fleet for so long, doubling, s. */
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

/* Might the cloud give any instance for the job? */
static gboolean
cloud_may_have_instances (const HrCore *core, const HrJobSpec *spec)
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

/* Is the whole fleet too small for the gang, while the cloud gives no more? Instances granted for
 * it would stand idle, be returned, and be requested again, for ever: it pauses. */
static gboolean
exceeds_any_fleet (HrCore *core, HrJob *job)
{
  guint fleet = 0;
  if (core->now < job->plan.next_scale_out_at)
    return TRUE;
  if (job->spec.shape != HR_GANG || job->plan.n_listed ||
      cloud_may_have_instances (core, &job->spec))
    return FALSE;
  for (guint i = 0; i < core->scaling.fleet->len; i++)
    fleet += hr_job_allows_machine (core, job, core->scaling.fleet->pdata[i]);
  if (fleet >= job->n_tasks)
    return FALSE;
  job->plan.scale_out_pause_s =
      CLAMP (2 * job->plan.scale_out_pause_s, SCALE_OUT_PAUSE_S, MAX_SCALE_OUT_PAUSE_S);
  job->plan.next_scale_out_at = core->now + job->plan.scale_out_pause_s;
  g_message ("%s needs %u machines at once, the cloud gave %u; none is requested for it for %.0f s",
             job->id, job->n_tasks, fleet, job->plan.scale_out_pause_s);
  return TRUE;
}

/* Takes what fits on its machine, beside the tasks ahead of it in the list, off what is free: it is
 * not free for others. Counted twice, it would keep the fleet short, and not counted at all,
 * instances would be demanded again in each pass for a gang that waits for those on their way.
 * Returns how many of the list fit. */
static guint
take_listed (HrCore *core, HrFreeCapacity *capacity)
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

/* Would a machine that is requested now start the task sooner, and is the plan late? fits: it has
 * capacity where it stands. Of what a limit lets start, nothing waits for the team's own work to
 * end: that end is for the next job, and this share of the limit would stay unused. */
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

/* Takes the tasks of all lists off what is free where they stand. On machines that are up this
 * counts for this module alone. Returns by machine how many of its list fit. */
static guint *
take_all_listed (HrCore *core, HrFleetCapacity *fleet)
{
  guint *fitting = g_new0 (guint, fleet->n + 1);
  for (guint i = 0; i < fleet->n; i++) {
    HrMachine *machine = fleet->machines[i].machine;
    HrFreeCapacity copy = {machine, hr_machine_unreserved (machine), FALSE};
    fitting[i] = take_listed (core, i < fleet->n_booting ? &fleet->machines[i] : &copy);
  }
  return fitting;
}

/* Instances for what stands in lists and would start late there. */
static void
scale_out_for_late (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand)
{
  g_autofree guint *fitting = take_all_listed (core, fleet);
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

/* How many tasks of the job stand in no list and are to get instances. Nothing is demanded for what
 * the limit holds up; what stands in lists has its share of the grant. */
static gint
tasks_without_list (HrCore *core, HrJob *job)
{
  gint left = (gint)job->n_tasks - (gint)(job->run.n_live + job->n_done + job->plan.n_listed);
  if (left <= 0 || job->spec.shape == HR_SERVICE || !hr_job_is_waiting (core, job) ||
      !hr_team_allows_start (core, job, 1) || exceeds_any_fleet (core, job))
    return 0;
  guint granted = hr_quotas_granted (core, job);
  if (granted < G_MAXINT)
    left = MIN (left, (gint)granted - (gint)job->plan.n_listed);
  return MIN (left, MAX_SCALE_OUT_TASKS);
}

void
hr_scale_out_for_lists (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand)
{
  scale_out_for_late (core, fleet, demand);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    HrCapacityCursor cursor = {0};
    gint left = tasks_without_list (core, job);
    for (gint k = 0; k < left; k++)
      hr_scale_out_for_task (core, fleet, &cursor, demand, job);
  }
}
