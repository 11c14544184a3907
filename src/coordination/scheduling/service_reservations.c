/* Room kept for services, which stand in no list. */
#include "coordination/scheduling/service_reservations.h"
#include "coordination/scaling/scale_out.h"
#include "coordination/scheduling/plan.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"

/* Takes the room of up to n tasks off a machine for services. */
static guint
reserve_on_machine (HrMachine *machine, double cpus, double gpus, double memory_gb, guint n)
{
  while (n && hr_machine_has_unreserved (machine, cpus, gpus, memory_gb)) {
    machine->reserved.cpus += cpus;
    machine->reserved.gpus += gpus;
    machine->reserved.memory_gb += memory_gb;
    n--;
  }
  return n;
}

/* Keeps room for n tasks of a class on machines that are up, with this image if any is
 * named, on busy ones only if asked for. Returns how many found none. */
static guint
reserve_capacity (HrCore *core, const HrClassStats *stats, guint32 image, gboolean busy, guint n)
{
  for (guint k = 0; k < core->scaling.fleet->len && n; k++) {
    HrMachine *machine = core->scaling.fleet->pdata[k];
    if (machine->state == HR_MACHINE_UP && hr_machine_is_plannable (core, machine) &&
        (!machine->is_spot || stats->allows_spot) &&
        (!stats->types || stats->types >> machine->type & 1) && (!busy || machine->tasks->len) &&
        (image == HR_NONE || hr_machine_has_image (machine, image)))
      n = reserve_on_machine (machine, stats->cpus, stats->gpus, stats->memory_gb, n);
  }
  return n;
}

/* Services outrank the lists: what waits for a boot has its room on the machines
 * that come up next, and some room is kept for the next arrivals; the lists are
 * projected, and started, without that room. */
void
hr_reserve_for_services (HrCore *core)
{
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    machine->reserved.cpus = machine->reserved.gpus = machine->reserved.memory_gb = 0;
    machine->services.cpus = machine->services.gpus = machine->services.memory_gb = 0;
    for (guint k = 0; k < machine->tasks->len; k++) {
      const HrJobSpec *spec =
          &hr_job_of_task (core, g_array_index (machine->tasks, HrTaskRef, k))->spec;
      if (spec->shape != HR_SERVICE)
        continue;
      machine->services.cpus += spec->cpus;
      machine->services.gpus += spec->gpus;
      machine->services.memory_gb += spec->memory_gb;
    }
  }
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    const HrJobSpec *spec = &job->spec;
    if (job->state != HR_JOB_QUEUED || spec->shape != HR_SERVICE || !job->tasks)
      continue;
    guint left = MIN (job->n_tasks - job->run.n_live, hr_quotas_granted (core, job));
    for (guint k = 0; k < core->scaling.fleet->len && left; k++) {
      HrMachine *machine = core->scaling.fleet->pdata[k];
      if (machine->state == HR_MACHINE_BOOTING && hr_job_allows_machine (core, job, machine))
        left = reserve_on_machine (machine, spec->cpus, spec->gpus, spec->memory_gb, left);
    }
  }
  for (guint i = 0; i < core->scheduling.class_stats->len; i++) {
    HrClassStats *stats = &g_array_index (core->scheduling.class_stats, HrClassStats, i);
    guint left = stats->is_seen && stats->shape == HR_SERVICE ? hr_headroom (core, i) : 0,
          all = left;
    double weight = 0;
    for (guint k = 0; k < stats->n_images; k++)
      weight += stats->images[k].weight;
    /* Where an image is that the next arrivals may need: a replica starts there at once. */
    for (guint k = 0; k < stats->n_images && left; k++) {
      guint wanted = MIN (left, (guint)(all * stats->images[k].weight / weight + 0.5));
      left -= wanted - reserve_capacity (core, stats, stats->images[k].image, FALSE, wanted);
    }
    /* Then where others run already: whole machines are for those who need them. */
    left = reserve_capacity (core, stats, HR_NONE, TRUE, left);
    reserve_capacity (core, stats, HR_NONE, FALSE, left);
  }
}
