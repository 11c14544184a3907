/* Limits how long jobs wait despite free capacity. */
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/starts.h"

/* Time between two checks of all jobs, s. */
#define CHECK_INTERVAL_S 1.0
/* Longest time without free capacity that does not end a job's wait beside it, s. */
#define MAX_GAP_S 3.0

/* Returns whether there is free capacity for a task of the job on the machine, reserved or not. */
static gboolean
fits_now (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  HrStartVerdict verdict = hr_start_check_machine (core, job, machine);
  return verdict == HR_START_OK || verdict == HR_START_RESERVED;
}

/* Returns a machine with free capacity for a task of the job; NULL: there is none. */
static const HrMachine *
find_free_machine (HrCore *core, HrJob *job, const GPtrArray *machines)
{
  const HrMachine *found = NULL;
  guint32 shard = job->plan.shard;
  job->plan.shard = HR_NONE; /* free capacity in any shard counts */
  for (guint i = 0; i < machines->len && !found; i++)
    if (fits_now (core, job, machines->pdata[i]))
      found = machines->pdata[i];
  job->plan.shard = shard;
  return found;
}

/* Returns the number of machines in the zone (HR_NONE: in any) that could each take a task of the
 * job if all tasks but those of services had ended. */
static guint
count_places (HrCore *core, HrJob *job, guint32 zone)
{
  guint n = 0;
  guint32 shard = job->plan.shard;
  job->plan.shard = HR_NONE;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    n += (zone == HR_NONE || machine->zone == zone) && hr_job_allows_machine (core, job, machine) &&
         hr_machine_fits_alongside_services (core, machine, &job->spec);
  }
  job->plan.shard = shard;
  return n;
}

/* Returns whether the fleet could take the job's next tasks if nothing were reserved for services.
 */
static gboolean
fleet_could_take (HrCore *core, HrJob *job)
{
  guint needed = hr_job_start_unit (job);
  if (!job->spec.one_zone)
    return count_places (core, job, HR_NONE) >= needed;
  for (guint32 zone = 0; zone < core->names->zones.names->len; zone++)
    if (count_places (core, job, zone) >= needed)
      return TRUE;
  return FALSE;
}

/* Returns whether no list takes the job, although the fleet could. Once that has made the job
 * starve, it has a place because of its reservation alone (starvation_reservations.h). */
static gboolean
is_unplaceable (HrCore *core, HrJob *job)
{
  gboolean is_unlisted =
      !job->plan.n_listed || (job->quota.is_starving && job->quota.is_unplaceable);
  return is_unlisted && fleet_could_take (core, job);
}

/* Logs that the job starves, and what keeps it from starting. machine: has free capacity for it;
 * NULL: no machine has, and no list takes the job. */
static void
log_starving (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  const char *capacity = !machine ? "none"
                         : hr_start_check_machine (core, job, machine) == HR_START_RESERVED
                             ? "reserved"
                             : "unreserved";
  g_info ("starving: job=%s tasks=%u listed=%u machine=%s capacity=%s", job->id, job->n_tasks,
          job->plan.n_listed, machine ? machine->name : "-", capacity);
}

/* Returns whether a job is at least as hard to place as one that found no machine: it needs at
 * least as much and is at least as restricted in its choice of machines. */
static gboolean
is_harder_to_place (const HrJobSpec *spec, const HrJobSpec *failed)
{
  return hr_resources_at_least (hr_resources_of_task (spec), hr_resources_of_task (failed)) &&
         (failed->allows_spot || !spec->allows_spot) && failed->zone == HR_NONE && !failed->types &&
         !failed->one_zone && !failed->spread;
}

void
hr_starvation_ended (HrJob *job)
{
  HrJobQuota *quota = &job->quota;
  quota->starving_since = quota->beside_capacity_at = quota->reservation_began_at = 0;
  quota->is_starving = quota->is_unplaceable = FALSE;
}

/* Updates since when the job has waited beside free capacity, or in no list. machine: has free
 * capacity for it; NULL: none has. A short gap does not end the wait: one task may end and another
 * start on the machine. */
static void
update_clock (HrCore *core, HrJob *job, const HrMachine *machine)
{
  HrJobQuota *quota = &job->quota;
  if (machine || quota->is_unplaceable)
    quota->beside_capacity_at = core->now;
  else if (core->now - quota->beside_capacity_at > MAX_GAP_S) {
    hr_starvation_ended (job);
    return;
  }
  if (!quota->starving_since)
    quota->starving_since = quota->beside_capacity_at;
  gboolean was_starving = quota->is_starving;
  quota->is_starving = core->now - quota->starving_since >= HR_STARVATION_LIMIT_S;
  if (quota->is_starving && !was_starving)
    log_starving (core, job, machine);
  core->scheduling.plan_is_stale |= quota->is_starving && !was_starving;
}

void
hr_starvation_guard_tick (HrCore *core)
{
  if (core->now < core->scheduling.next_starvation_check_at)
    return;
  core->scheduling.next_starvation_check_at = core->now + CHECK_INTERVAL_S;
  g_autoptr (GPtrArray) machines = hr_machines_with_capacity (core);
  /* The specification of the latest job that found no machine: when many jobs wait, similar jobs
   * follow, and are then skipped without a search. */
  const HrJobSpec *failed = NULL;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job = hr_open_job (core, i);
    if (!hr_job_waits_for_capacity (core, job)) {
      hr_starvation_ended (job);
      continue;
    }
    const HrMachine *machine = NULL;
    if (!failed || !is_harder_to_place (&job->spec, failed))
      machine = find_free_machine (core, job, machines);
    if (!machine)
      failed = &job->spec;
    job->quota.is_unplaceable = is_unplaceable (core, job);
    update_clock (core, job, machine);
  }
}
