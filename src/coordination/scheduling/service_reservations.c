/* Capacity reservations for services, whose replicas are not in the lists of the plan. */
#include "coordination/scheduling/service_reservations.h"
#include "coordination/scaling/headroom.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/resources.h"

/* Returns whether the capacity is reserved neither for services nor for starving jobs. */
static gboolean
is_available (const HrMachine *machine, HrResources need)
{
  HrResources available = hr_machine_unreserved (machine);
  hr_resources_subtract (&available, machine->plan.reserved);
  return hr_resources_cover (available, need);
}

/* Reserves capacity for up to n tasks on a machine. Returns how many did not fit. */
static guint
reserve_on_machine (HrMachine *machine, HrResources one, guint n)
{
  for (; n && is_available (machine, one); n--)
    hr_resources_add (&machine->reserved, one);
  return n;
}

/* Selects the machines on which capacity for a class may be reserved. */
typedef struct {
  const HrClassStats *stats;
  guint32 image;      /* machines that have it cached; HR_NONE: all */
  gboolean busy_only; /* only machines with tasks */
} ReservationFilter;

static gboolean
filter_accepts (const HrCore *core, const ReservationFilter *filter, const HrMachine *machine)
{
  const HrClassStats *stats = filter->stats;
  return machine->state == HR_MACHINE_UP && hr_machine_is_plannable (core, machine) &&
         (!machine->is_spot || stats->allows_spot) &&
         (!stats->types || stats->types >> machine->type & 1) &&
         (!filter->busy_only || machine->tasks->len) &&
         (filter->image == HR_NONE || hr_machine_has_image (machine, filter->image));
}

/* Reserves capacity for up to n tasks of a class. Returns how many did not fit. */
static guint
reserve_for_class (HrCore *core, ReservationFilter filter, guint n)
{
  HrResources one = hr_resources_of_class (filter.stats);
  for (guint k = 0; k < core->scaling.fleet->len && n; k++) {
    HrMachine *machine = core->scaling.fleet->pdata[k];
    if (filter_accepts (core, &filter, machine))
      n = reserve_on_machine (machine, one, n);
  }
  return n;
}

/* Clears the machine's reservations and sums up the resources of its service tasks. */
static void
count_services (HrCore *core, HrMachine *machine)
{
  machine->reserved = machine->services = machine->plan.reserved = (HrResources){0, 0, 0};
  for (guint k = 0; k < machine->tasks->len; k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    const HrJobSpec *spec = &hr_job_of_task (core, ref)->spec;
    if (spec->shape == HR_SERVICE)
      hr_resources_add (&machine->services, hr_resources_of_task (spec));
  }
}

/* Reserves capacity for the service's waiting replicas on machines that are booting. */
static void
reserve_on_booting_machines (HrCore *core, const HrJob *job)
{
  HrResources one = hr_resources_of_task (&job->spec);
  guint left = MIN (job->n_tasks - job->run.n_live, hr_quotas_granted (core, job));
  for (guint k = 0; k < core->scaling.fleet->len && left; k++) {
    HrMachine *machine = core->scaling.fleet->pdata[k];
    if (machine->state == HR_MACHINE_BOOTING && hr_job_allows_machine (core, job, machine))
      left = reserve_on_machine (machine, one, left);
  }
}

/* Reserves the headroom of a service class: first on machines with the images that the next
 * arrivals may need, because a replica starts there without a fetch; then on machines with running
 * tasks, so that empty machines stay free for tasks that need a whole machine. */
static void
reserve_headroom_of_class (HrCore *core, guint32 job_class)
{
  const HrClassStats *stats =
      &g_array_index (core->scheduling.class_stats, HrClassStats, job_class);
  if (!stats->is_seen || stats->shape != HR_SERVICE)
    return;
  guint all = hr_headroom (core, job_class), left = all;
  double weight = 0;
  for (guint k = 0; k < stats->n_images; k++)
    weight += stats->images[k].weight;
  for (guint k = 0; k < stats->n_images && left; k++) {
    const HrImageUse *use = &stats->images[k];
    guint share = MIN (left, (guint)(all * use->weight / weight + 0.5));
    ReservationFilter with_image = {stats, use->image, FALSE};
    left -= share - reserve_for_class (core, with_image, share);
  }
  left = reserve_for_class (core, (ReservationFilter){stats, HR_NONE, TRUE}, left);
  reserve_for_class (core, (ReservationFilter){stats, HR_NONE, FALSE}, left);
}

void
hr_reserve_for_waiting_replicas (HrCore *core)
{
  for (guint i = 0; i < core->scaling.fleet->len; i++)
    count_services (core, core->scaling.fleet->pdata[i]);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    const HrJob *job = hr_open_job (core, i);
    if (job->state == HR_JOB_QUEUED && job->spec.shape == HR_SERVICE && job->tasks)
      reserve_on_booting_machines (core, job);
  }
}

void
hr_reserve_headroom (HrCore *core)
{
  for (guint i = 0; i < core->scheduling.class_stats->len; i++)
    reserve_headroom_of_class (core, i);
}
