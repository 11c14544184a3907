/* What is to be rented for what waits and for what is expected, and what can go back. */
#include "coordination/scaling/scale_out.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/instance_requests.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"
#include <math.h>

#define MAX_SCALE_OUT_TASKS 200 /* tasks of one job that machines are rented for in a pass */

/* For teams with a limit, this share of the wait that others tolerate. */
#define LIMITED_SLACK 0.25

/* Tasks of one kind that machines must be rented for. */
typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  double cpus, gpus, memory_gb; /* left on the last machine counted */
  guint machines;
} Need;

static void
add_demand (HrCore *core, GArray *needs, guint64 types, guint32 zone, gboolean spot_ok, double cpus,
            double gpus, double memory_gb)
{
  /* The cheapest type that fits and that the cloud has not just refused. */
  const HrMachineType *best = NULL;
  gboolean best_spot = FALSE;
  double least = INFINITY;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    const HrMachineType *type = &g_array_index (core->scaling.machine_types, HrMachineType, i);
    if ((types && !(types >> type->type & 1)) || cpus > type->cpus || gpus > type->gpus ||
        memory_gb > type->memory_gb)
      continue;
    for (int spot = 0; spot <= (spot_ok && core->policy.spot_use > 0); spot++) {
      double share = MAX (MAX (cpus / type->cpus, gpus > 0 ? gpus / type->gpus : 0),
                          memory_gb / type->memory_gb);
      double price = (spot ? type->spot_price : type->price) * share;
      if (price < least && !hr_capacity_is_refused (core, type->type, zone, spot)) {
        least = price;
        best = type;
        best_spot = spot;
      }
    }
  }
  if (!best)
    return;
  Need *need = NULL;
  for (guint i = 0; i < needs->len && !need; i++) {
    Need *other = &g_array_index (needs, Need, i);
    if (other->type == best->type && other->zone == zone && other->is_spot == best_spot)
      need = other;
  }
  if (!need) {
    g_array_set_size (needs, needs->len + 1);
    need = &g_array_index (needs, Need, needs->len - 1);
    *need = (Need){best->type, zone, best_spot, 0, 0, 0, 0};
  }
  if (cpus > need->cpus + 1e-6 || gpus > need->gpus + 1e-6 || memory_gb > need->memory_gb + 1e-6) {
    need->machines++;
    need->cpus = best->cpus;
    need->gpus = best->gpus;
    need->memory_gb = best->memory_gb;
  }
  need->cpus -= cpus;
  need->gpus -= gpus;
  need->memory_gb -= memory_gb;
}

/* Room that is free, or will be once a boot or a stop has ended. Busy machines
 * first, so that idle ones stay free to go; cheap ones before others. */
static gboolean
find_free_capacity (HrCore *core, HrFreeCapacity *capacities, guint n_capacities,
                    HrCapacityCursor *cursor, HrJob *job, double cpus, double gpus,
                    double memory_gb, gboolean spot, guint64 types)
{
  if (cursor->last && (!job || hr_job_allows_zone (core, job, cursor->last->machine)) &&
      hr_free_capacity_take (cursor->last, cpus, gpus, memory_gb))
    return TRUE;
  for (; cursor->pass < 4; cursor->pass++, cursor->index = 0)
    for (; cursor->index < n_capacities; cursor->index++) {
      HrFreeCapacity *capacity = &capacities[cursor->index];
      HrMachine *machine = capacity->machine;
      gboolean idle = machine->tasks->len == 0 && !capacity->is_reserved;
      if (idle != cursor->pass / 2 || machine->is_spot != !(cursor->pass % 2) ||
          (machine->is_spot && !spot) ||
          (machine->state != HR_MACHINE_UP && machine->state != HR_MACHINE_BOOTING) ||
          machine->is_draining || (types && !(types >> machine->type & 1)) ||
          (job && (!hr_job_allows_machine (core, job, machine) ||
                   !hr_job_allows_zone (core, job, machine))))
        continue;
      if (!hr_free_capacity_take (capacity, cpus, gpus, memory_gb))
        continue;
      capacity->is_reserved = TRUE;
      cursor->last = capacity;
      return TRUE;
    }
  return FALSE;
}

static double
boot_time (HrCore *core)
{
  double longest_s = 0;
  for (guint i = 0; i < core->scaling.machine_types->len; i++)
    longest_s =
        MAX (longest_s, g_array_index (core->scaling.machine_types, HrMachineType, i).boot_s);
  return longest_s;
}

/* How many tasks of a class cannot wait for a boot: replicas of services, and
 * classes for whose start or end there is an aim. */
guint
hr_headroom_wanted (HrCore *core, guint32 job_class)
{
  HrClassStats *stats =
      hr_class_stats (core, job_class); /* a class known from old records alone has no row yet */
  double boots = 0;
  if (!stats->is_seen)
    return 0;
  if (stats->shape == HR_SERVICE)
    boots = core->policy.headroom_boots;
  for (guint i = 0; i < core->settings->objectives->len && stats->shape != HR_SERVICE; i++) {
    HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job_class && objective->kind == HR_OBJECTIVE_WAIT)
      boots = MAX (boots, core->policy.headroom_waits);
    else if (objective->job_class == job_class && objective->kind == HR_OBJECTIVE_DEADLINE)
      boots = MAX (boots, core->policy.headroom_deadlines);
  }
  double base = stats->shape == HR_SERVICE ? core->policy.headroom_base : 0;
  return lround (base + hr_class_arrivals (core, stats, 0) * boot_time (core) * boots);
}

guint
hr_headroom (HrCore *core, guint32 job_class)
{
  return hr_class_stats (core, job_class)->headroom;
}

void
hr_scale_out_headroom (HrCore *core, HrFreeCapacity *capacities, guint n_capacities, GArray *needs)
{
  for (guint k = 0; k < core->scheduling.class_stats->len; k++) {
    HrClassStats *stats = &g_array_index (core->scheduling.class_stats, HrClassStats, k);
    HrCapacityCursor cursor = {0};
    for (guint n = hr_headroom (core, k); n > 0; n--)
      if (!find_free_capacity (core, capacities, n_capacities, &cursor, NULL, stats->cpus,
                               stats->gpus, stats->memory_gb, stats->allows_spot, stats->types))
        add_demand (core, needs, stats->types, HR_NONE, stats->allows_spot, stats->cpus,
                    stats->gpus, stats->memory_gb);
  }
}

/* What is short of room gets it on a machine that boots, or on one to be rented. */
void
hr_scale_out_for_task (HrCore *core, HrFreeCapacity *capacities, guint booting,
                       HrCapacityCursor *cursor, GArray *needs, HrJob *job)
{
  const HrJobSpec *spec = &job->spec;
  if (!find_free_capacity (core, capacities, booting, cursor, job, spec->cpus, spec->gpus,
                           spec->memory_gb, spec->allows_spot, spec->types))
    add_demand (core, needs, spec->types, spec->zone, spec->allows_spot, spec->cpus, spec->gpus,
                spec->memory_gb);
}

/* The whole fleet is too small for the gang, and the cloud gives no more. Machines rented
 * for it would stand idle, go back, and be rented again, for ever: it pauses. */
static gboolean
exceeds_any_fleet (HrCore *core, HrJob *job)
{
  guint fleet = 0;
  if (core->now < job->plan.next_scale_out_at)
    return TRUE;
  if (job->spec.shape != HR_GANG || job->plan.n_listed)
    return FALSE;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    guint32 type = g_array_index (core->scaling.machine_types, HrMachineType, i).type;
    if ((!job->spec.types || job->spec.types >> type & 1) &&
        (!hr_capacity_is_refused (core, type, job->spec.zone, FALSE) ||
         (job->spec.allows_spot && core->policy.spot_use > 0 &&
          !hr_capacity_is_refused (core, type, job->spec.zone, TRUE))))
      return FALSE;
  }
  for (guint i = 0; i < core->scaling.fleet->len; i++)
    fleet += hr_job_allows_machine (core, job, core->scaling.fleet->pdata[i]);
  if (fleet >= job->n_tasks)
    return FALSE;
  job->plan.scale_out_pause_s = CLAMP (2 * job->plan.scale_out_pause_s, 15, 240);
  job->plan.next_scale_out_at = core->now + job->plan.scale_out_pause_s;
  g_message ("%s needs %u machines at once, the cloud gave %u; none is requested for it for %.0f s",
             job->id, job->n_tasks, fleet, job->plan.scale_out_pause_s);
  return TRUE;
}

/* Takes what has room on its machine, beside those ahead of it in the list, off the room: it is
 * no room for others. Counted twice, it would keep the fleet short, and not counted at all,
 * machines would be rented again in each pass for a gang that waits for those on their way.
 * Returns how many of the list have room. */
static guint
take_listed (HrCore *core, HrFreeCapacity *capacity)
{
  HrMachine *machine = capacity->machine;
  guint n = 0;
  for (; n < machine->plan.list->len; n++) {
    const HrJobSpec *spec =
        &((HrJob *)
              core->store.tables.jobs->pdata[g_array_index (machine->plan.list, HrTaskRef, n).job])
             ->spec;
    if (!hr_free_capacity_take (capacity, spec->cpus, spec->gpus, spec->memory_gb))
      break;
  }
  return n;
}

/* Would a machine that is rented now start the task sooner, and is the plan late? placed: it has
 * room where it stands. Of what a limit lets start, nothing waits for the team's own work to end:
 * that end makes room for the next job, and this share of the limit would stay unused. */
static gboolean
late (HrCore *core, const HrListedTask *listed, gboolean placed)
{
  HrJob *job = core->store.tables.jobs->pdata[listed->task.job];
  gboolean limited = hr_team_usage (core, job->spec.team)->is_limited;
  double boot = boot_time (core) * core->policy.rent_slack, wait = listed->start - core->now;
  if (wait <= (limited ? boot * LIMITED_SLACK : boot) || (limited && placed))
    return FALSE;
  return job->spec.shape == HR_GANG ||
         core->wall_time + wait + hr_estimate_run_time (core, job, listed->machine) >
             job->plan.deadline;
}

/* Machines for what stands in lists and would start late there. */
static void
scale_out_for_late (HrCore *core, HrFreeCapacity *capacities, guint booting, GArray *needs)
{
  guint n = core->scaling.fleet->len;
  g_autofree guint *placed = g_new0 (guint, n + 1);
  g_autoptr (GArray) listed = g_array_new (FALSE, FALSE, sizeof (HrListedTask));
  for (guint i = 0; i < n; i++) {
    HrMachine *machine = capacities[i].machine;
    HrFreeCapacity capacity = {
        machine, machine->free.cpus - machine->unrecognized.cpus - machine->reserved.cpus,
        machine->free.gpus - machine->unrecognized.gpus - machine->reserved.gpus,
        machine->free.memory_gb - machine->unrecognized.memory_gb - machine->reserved.memory_gb,
        FALSE};
    placed[i] = take_listed (core, i < booting ? &capacities[i] : &capacity);
  }
  for (guint i = 0; i < n; i++) {
    g_array_set_size (listed, 0);
    hr_list_append (core, capacities[i].machine, listed);
    for (guint k = 0; k < listed->len; k++) {
      HrCapacityCursor cursor = {0};
      if (late (core, &g_array_index (listed, HrListedTask, k), k < placed[i]))
        hr_scale_out_for_task (core, capacities, booting, &cursor, needs,
                               hr_listed_job (core, listed, k));
    }
  }
}

/* booting: how many rooms, the first ones, are on machines that boot. */
void
hr_scale_out_for_lists (HrCore *core, HrFreeCapacity *capacities, guint booting, GArray *needs)
{
  scale_out_for_late (core, capacities, booting, needs);
  /* And for what found no list at all. */
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    gint left = (gint)job->n_tasks - (gint)(job->run.n_live + job->n_done + job->plan.n_listed);
    if (job->state != HR_JOB_QUEUED || job->spec.shape == HR_SERVICE || job->run.attempt_ending ||
        left <= 0 || job->run.retry_at > core->now || !hr_team_allows_start (core, job, 1) ||
        exceeds_any_fleet (core, job))
      continue;
    /* No machine is rented for what the limit holds back; what stands in lists has its part
     * of the grant. */
    guint grant = hr_quotas_granted (core, job);
    left =
        MIN (left, grant < G_MAXINT ? (gint)grant - (gint)job->plan.n_listed : MAX_SCALE_OUT_TASKS);
    HrCapacityCursor cursor = {0};
    for (gint k = 0; k < MIN (left, MAX_SCALE_OUT_TASKS); k++)
      hr_scale_out_for_task (core, capacities, booting, &cursor, needs, job);
  }
}

/* When the job should be done, as far as all its tasks are on machines; INFINITY else. */
static double
projected_end (HrCore *core, HrJob *job)
{
  double end = core->now;
  if (job->state != HR_JOB_QUEUED || !job->tasks || job->run.n_live + job->n_done < job->n_tasks)
    return INFINITY;
  for (guint32 i = 0; i < job->n_tasks && isfinite (end); i++) {
    const HrTask *task = &job->tasks[i];
    if (task->state == HR_TASK_BOUND || task->state == HR_TASK_ASSIGNING)
      end = MAX (end,
                 hr_estimate_running_end (
                     core, job, task, core->store.tables.machines->pdata[task->placement.machine]));
  }
  return end;
}

/* Those of its tasks that do not fit where the tasks of the awaited jobs end; 0 while one of
 * those jobs is not about to end, or where there is time for a boot afterwards. `by`: the awaited
 * job from which this is looked at; others that are awaited too find it again. */
static guint
tasks_ahead (HrCore *core, const HrJob *job, const HrJob *ending, double horizon)
{
  const HrJobSpec *spec = &job->spec;
  double cpus = 0, gpus = 0, memory_gb = 0, ready = core->now;
  gboolean first = TRUE;
  for (guint i = 0; i < job->dependencies.n_awaited; i++) {
    const HrJob *awaited = job->dependencies.awaited[i];
    if (awaited->state == HR_JOB_DONE)
      continue;
    if (!awaited->run.is_open || awaited->plan.expected_end > horizon ||
        (first && awaited != ending))
      return 0;
    first = FALSE;
    ready = MAX (ready, awaited->plan.expected_end);
    cpus += awaited->run.n_live * awaited->spec.cpus;
    gpus += awaited->run.n_live * awaited->spec.gpus;
    memory_gb += awaited->run.n_live * awaited->spec.memory_gb;
  }
  /* One that may wait for a boot does. */
  if (ready + boot_time (core) + spec->estimate_s <=
      job->plan.deadline - core->wall_time + core->now)
    return 0;
  double fit = job->n_tasks;
  if (spec->cpus > 0)
    fit = MIN (fit, floor (cpus / spec->cpus));
  if (spec->gpus > 0)
    fit = MIN (fit, floor (gpus / spec->gpus));
  if (spec->memory_gb > 0)
    fit = MIN (fit, floor (memory_gb / spec->memory_gb));
  return job->n_tasks - (guint)fit;
}

/* More tasks of one step than that are rented for once it is ready. */
#define MAX_NEXT_STEP_TASKS 200

/* A step starts when the one before it ends, and a machine takes a boot to come up: it is asked
 * for that much ahead. Room that is kept for arrivals of the class counts first. */
void
hr_scale_out_for_next_steps (HrCore *core, HrFreeCapacity *capacities, guint n_capacities,
                             GArray *needs)
{
  double horizon = core->now + boot_time (core);
  g_autofree guint *kept = g_new0 (guint, core->names->classes.names->len + 1);
  for (guint k = 0; k < core->scheduling.class_stats->len; k++)
    kept[k] = hr_headroom (core, k);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    job->plan.expected_end = job->dependencies.dependents ? projected_end (core, job) : INFINITY;
  }
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    for (guint k = 0; job->plan.expected_end <= horizon && k < job->dependencies.dependents->len;
         k++) {
      HrJob *dependent = job->dependencies.dependents->pdata[k];
      HrCapacityCursor cursor = {0};
      guint left = dependent->state == HR_JOB_QUEUED && dependent->tasks
                       ? tasks_ahead (core, dependent, job, horizon)
                       : 0;
      guint use = MIN (left, kept[dependent->spec.job_class]);
      kept[dependent->spec.job_class] -= use;
      for (guint n = MIN (left - use, MAX_NEXT_STEP_TASKS);
           n > 0 && hr_team_allows_start (core, dependent, 1); n--)
        if (!find_free_capacity (core, capacities, n_capacities, &cursor, NULL,
                                 dependent->spec.cpus, dependent->spec.gpus,
                                 dependent->spec.memory_gb, dependent->spec.allows_spot,
                                 dependent->spec.types))
          add_demand (core, needs, dependent->spec.types, dependent->spec.zone,
                      dependent->spec.allows_spot, dependent->spec.cpus, dependent->spec.gpus,
                      dependent->spec.memory_gb);
    }
  }
}

void
hr_scale_in_idle (HrCore *core, HrFreeCapacity *capacities, guint n)
{
  g_autoptr (GPtrArray) away = g_ptr_array_new ();
  for (guint i = 0; i < n; i++) {
    HrMachine *machine = capacities[i].machine;
    if (machine->state != HR_MACHINE_UP || machine->tasks->len || machine->plan.list->len)
      continue;
    /* After a cut of our own nothing was idle: nobody could give it work. */
    double since = MAX (machine->idle_since, core->store.replica.served_since);
    if (machine->is_draining || (!capacities[i].is_reserved && machine->idle_since &&
                                 core->now - since > core->policy.idle_s))
      g_ptr_array_add (away, machine);
  }
  for (guint i = 0; i < away->len; i++)
    hr_fleet_delete (core, away->pdata[i],
                     ((HrMachine *)away->pdata[i])->is_draining ? "it is drained"
                                                                : "nothing needs it");
}

GArray *
hr_scale_out_begin (void)
{
  return g_array_new (FALSE, TRUE, sizeof (Need));
}

void
hr_scale_out_end (HrCore *core, GArray *needs)
{
  g_array_set_size (core->scaling.demand, 0);
  for (guint i = 0; i < needs->len; i++) {
    Need *other = &g_array_index (needs, Need, i);
    hr_demand_add (core, other->type, other->zone, other->is_spot, other->machines);
  }
}
