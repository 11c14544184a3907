/* Where the replicas of services start. They stand in no list: a replica has no end. */
#include "coordination/scheduling/service_replicas.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/fleet.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/projection.h"
#include "coordination/state.h"
#include <math.h>

/* Time left until the next aim for the start of the class's tasks is missed. */
static double
start_left (const HrCore *core, const HrJob *job)
{
  double left = INFINITY, waited = core->wall_time - hr_job_eligible_since (job);
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    const HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job->spec.job_class &&
        (objective->kind == HR_OBJECTIVE_WAIT || objective->kind == HR_OBJECTIVE_UP) &&
        objective->within_s > waited + PREEMPTION_S)
      left = MIN (left, objective->within_s - waited);
  }
  return left;
}

/* Would a replica more fit there, once batch work made room? */
static gboolean
stays_open (const HrCore *core, const HrJobSpec *spec, const HrMachine *machine, guint replicas)
{
  const HrMachineType *type = hr_machine_type_of (core, machine);
  return machine->services.cpus + replicas * spec->cpus <= type->cpus + 1e-6 &&
         machine->services.gpus + replicas * spec->gpus <= type->gpus + 1e-6 &&
         machine->services.memory_gb + replicas * spec->memory_gb <= type->memory_gb + 1e-6;
}

/* The next arrivals need places where their image is. Are there too few for this one?
 * Machines full of replicas are none, however well the image is cached there. */
static gboolean
short_of_places (HrCore *core, const HrJob *job)
{
  HrClassStats *stats = hr_class_stats (core, job->spec.job_class);
  double weight = 0, own = 0, open = 0, fetch = INFINITY, within = INFINITY;
  for (guint i = 0; i < core->scaling.machine_types->len; i++)
    fetch =
        MIN (fetch, job->spec.image_gb /
                        g_array_index (core->scaling.machine_types, HrMachineType, i).fetch_rate);
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class == job->spec.job_class && objective->kind == HR_OBJECTIVE_WAIT)
      within = MIN (within, objective->within_s);
  }
  if (fetch + PREEMPTION_S <= within)
    return FALSE; /* a fetch in time is cheaper than places kept open */
  for (guint i = 0; i < stats->n_images; i++) {
    weight += stats->images[i].weight;
    if (stats->images[i].image == job->spec.image)
      own = stats->images[i].weight;
  }
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->state == HR_MACHINE_UP && !machine->is_draining && machine->type != HR_NONE &&
        (!machine->is_spot || job->spec.allows_spot) &&
        hr_machine_has_image (machine, job->spec.image) &&
        stays_open (core, &job->spec, machine, 1))
      open++;
  }
  return weight > 0 && open < hr_headroom (core, job->spec.job_class) * own / weight;
}

/* The sooner its image is there the better; then fuller machines first, so that others
 * fall empty and can be returned. */
static double
service_score (const HrCore *core, const HrJob *job, const HrMachine *machine, gboolean open)
{
  double fetch = hr_estimate_fetch_time (core, job, machine);
  double closes = open && fetch > 0 && !stays_open (core, &job->spec, machine, 2) ? 1000 : 0;
  /* Behind a cut of the controllers' own zone its workers still hear the leader. */
  double home = machine->zone == core->settings->home ? HR_HOME_S * 10 : 0;
  return home - 10 * fetch - closes + machine->tasks->len * 10 -
         (machine->free.gpus + machine->free.cpus * 0.1);
}

void
hr_replicas_start (HrCore *core, GPtrArray *services)
{
  g_autoptr (GPtrArray) capacities = hr_dispatch_open_machines (core);
  for (guint i = 0; i < services->len; i++) {
    HrJob *job = services->pdata[i];
    gboolean open = short_of_places (core, job);
    for (guint32 k = 0; k < job->n_tasks; k++) {
      HrMachine *best = NULL;
      double most = 0;
      if (job->tasks[k].state != HR_TASK_IDLE || !hr_team_allows_start (core, job, 1))
        continue;
      for (guint n = 0; n < capacities->len; n++) {
        HrMachine *machine = capacities->pdata[n];
        if (!hr_dispatch_startable (core, job, machine))
          continue;
        double score = service_score (core, job, machine, open);
        if (!best || score > most) {
          most = score;
          best = machine;
        }
      }
      double left = start_left (core, job);
      if (isfinite (left) && core->now >= job->run.retry_at &&
          (!best || hr_estimate_fetch_time (core, job, best) + PREEMPTION_S > left)) {
        HrMachine *other = hr_preempt_for_cached_image (core, job);
        if (other)
          best = other;
      }
      if (!best) {
        job->plan.shard = HR_NONE; /* not in its part: any machine may */
        break;
      }
      best->services.cpus += job->spec.cpus;
      best->services.gpus += job->spec.gpus;
      best->services.memory_gb += job->spec.memory_gb;
      hr_dispatch_start (core, job, k, best);
    }
  }
}
