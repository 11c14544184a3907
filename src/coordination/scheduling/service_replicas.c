/* Starts of service replicas. */
#include "coordination/scheduling/service_replicas.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/headroom.h"
#include "coordination/scaling/machine_types.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/starts.h"
#include <math.h>

/* Weights in a machine's score for a replica; the highest score is best. */
#define SCORE_PER_FETCH_S 10   /* subtracted per second of the image fetch */
#define SCORE_PER_HOME_S 10    /* added per second of HR_HOME_ZONE_BONUS_S, in the home zone */
#define SCORE_PER_TASK 10      /* added per task on the machine: fuller machines first */
#define SCORE_LAST_SLOT 1000   /* subtracted if slots are short and a fetch would use the last */
#define SCORE_PER_FREE_CPU 0.1 /* subtracted; a free accelerator counts as ten processors */

/* Returns the time left until the job misses the next start objective of its class that it can
 * still meet, s; INFINITY: there is none. */
static double
time_to_objective (const HrCore *core, const HrJob *job)
{
  double left = INFINITY, waited = core->wall_time - hr_job_eligible_since (job);
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    const HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job->spec.job_class &&
        (objective->kind == HR_OBJECTIVE_WAIT || objective->kind == HR_OBJECTIVE_UP) &&
        objective->within_s > waited + HR_PREEMPTION_S)
      left = MIN (left, objective->within_s - waited);
  }
  return left;
}

/* Returns whether this many more replicas would fit on the machine if all tasks other than services
 * were preempted. */
static gboolean
has_slots (const HrCore *core, const HrJobSpec *spec, const HrMachine *machine, guint replicas)
{
  HrResources services = machine->services;
  hr_resources_add (&services, hr_resources_multiply (hr_resources_of_task (spec), replicas));
  return hr_resources_cover (hr_resources_of_type (hr_machine_type_of (core, machine)), services);
}

/* Returns the shortest time in which any machine type fetches the job's image, s. */
static double
shortest_fetch (const HrCore *core, const HrJob *job)
{
  double fetch = INFINITY;
  for (guint i = 0; i < core->scaling.machine_types->len; i++)
    fetch =
        MIN (fetch, job->spec.image_gb /
                        g_array_index (core->scaling.machine_types, HrMachineType, i).fetch_rate);
  return fetch;
}

/* Returns whether a replica meets its class's wait objectives even if the image must be fetched. */
static gboolean
fetch_is_in_time (const HrCore *core, const HrJob *job)
{
  double within = INFINITY;
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    const HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job->spec.job_class && objective->kind == HR_OBJECTIVE_WAIT)
      within = MIN (within, objective->within_s);
  }
  return shortest_fetch (core, job) + HR_PREEMPTION_S <= within;
}

/* Returns the number of machines with the job's image on which one more replica would fit. */
static guint
count_slots_with_image (const HrCore *core, const HrJob *job)
{
  guint n = 0;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state == HR_MACHINE_UP && !machine->is_draining && machine->type != HR_NONE &&
        (!machine->is_spot || job->spec.allows_spot) &&
        hr_machine_has_image (machine, job->spec.image) && has_slots (core, &job->spec, machine, 1))
      n++;
  }
  return n;
}

/* Returns whether there are too few slots on machines with the job's image for the expected
 * arrivals with that image. Machines that are full of replicas have no slot, even if the image is
 * cached there. */
static gboolean
is_short_of_slots (HrCore *core, const HrJob *job)
{
  const HrClassStats *stats = hr_class_stats (core, job->spec.job_class);
  double weight = 0, own = 0;
  if (fetch_is_in_time (core, job))
    return FALSE; /* fetching is cheaper than keeping slots free */
  for (guint i = 0; i < stats->n_images; i++) {
    weight += stats->images[i].weight;
    if (stats->images[i].image == job->spec.image)
      own = stats->images[i].weight;
  }
  return weight > 0 && count_slots_with_image (core, job) <
                           hr_headroom (core, job->spec.job_class) * own / weight;
}

/* Returns the machine's score for a replica. A shorter image fetch is better; then a fuller
 * machine, so that other machines become idle and can be returned. */
static double
score_machine (const HrCore *core, const HrJob *job, const HrMachine *machine, gboolean is_short)
{
  double fetch = hr_estimate_fetch_time (core, job, machine);
  gboolean takes_last_slot = is_short && fetch > 0 && !has_slots (core, &job->spec, machine, 2);
  /* If the controllers' zone is cut off from the other zones, its workers still reach the leader.
   */
  double home =
      machine->zone == core->settings->home_zone ? HR_HOME_ZONE_BONUS_S * SCORE_PER_HOME_S : 0;
  return home - SCORE_PER_FETCH_S * fetch - (takes_last_slot ? SCORE_LAST_SLOT : 0) +
         machine->tasks->len * SCORE_PER_TASK -
         (machine->free.gpus + machine->free.cpus * SCORE_PER_FREE_CPU);
}

/* Returns the machine with the best score on which a replica can start now; NULL: there is none. */
static HrMachine *
best_free_machine (HrCore *core, const HrJob *job, const GPtrArray *machines, gboolean is_short)
{
  HrMachine *best = NULL;
  double best_score = 0;
  if (hr_start_check_job (core, job, 1) != HR_START_OK)
    return NULL;
  for (guint n = 0; n < machines->len; n++) {
    HrMachine *machine = machines->pdata[n];
    if (hr_start_check_machine (core, job, machine) != HR_START_OK)
      continue;
    double score = score_machine (core, job, machine, is_short);
    if (!best || score > best_score) {
      best_score = score;
      best = machine;
    }
  }
  return best;
}

/* Returns whether a replica on the machine (NULL: there is none) would miss the next start
 * objective. */
static gboolean
misses_objective (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  double left = time_to_objective (core, job);
  return isfinite (left) && core->now >= job->run.retry_at &&
         (!machine || hr_estimate_fetch_time (core, job, machine) + HR_PREEMPTION_S > left);
}

/* Returns the machine for the job's next replica; NULL: there is none. May preempt batch tasks on
 * that machine. */
static HrMachine *
machine_for_replica (HrCore *core, HrJob *job, const GPtrArray *machines, gboolean is_short)
{
  HrMachine *best = best_free_machine (core, job, machines, is_short);
  if (!misses_objective (core, job, best))
    return best;
  HrMachine *with_image = hr_preempt_for_cached_image (core, job);
  return with_image ? with_image : best;
}

static void
start_replicas (HrCore *core, HrJob *job, const GPtrArray *machines)
{
  gboolean is_short = is_short_of_slots (core, job);
  for (guint32 k = 0; k < job->n_tasks; k++) {
    if (job->tasks[k].state != HR_TASK_IDLE || !hr_team_allows_start (core, job, 1))
      continue;
    HrMachine *machine = machine_for_replica (core, job, machines, is_short);
    if (!machine) {
      job->plan.shard = HR_NONE; /* no machine of its shard: allow all shards */
      break;
    }
    hr_resources_add (&machine->services, hr_resources_of_task (&job->spec));
    hr_start_task (core, job, k, machine);
  }
}

void
hr_replicas_start (HrCore *core, GPtrArray *services)
{
  g_autoptr (GPtrArray) machines = hr_machines_with_capacity (core);
  for (guint i = 0; i < services->len; i++)
    start_replicas (core, services->pdata[i], machines);
}
