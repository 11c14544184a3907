/* Limits how long batch tasks wait despite free capacity. */
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/start_check.h"
#include "coordination/scheduling/starts.h"

/* How long a task waits despite free capacity before it gets that capacity, s. */
#define STARVATION_LIMIT_S 60.0
/* Time between two checks of all jobs, s. */
#define CHECK_INTERVAL_S 1.0

/* Returns whether the job waits for capacity. A gang that lost a task before its start does not:
 * its other tasks are on machines already (hr_start_lost_gang_tasks()). */
static gboolean
is_waiting (HrCore *core, const HrJob *job)
{
  gboolean is_replacing = job->spec.shape == HR_GANG && job->run.n_live;
  return job->spec.shape != HR_SERVICE && !is_replacing && hr_job_is_waiting (core, job) &&
         hr_team_allows_start (core, job, hr_job_start_unit (job));
}

/* Returns whether there is free capacity for a task of the job on the machine, reserved or not. */
static gboolean
fits_now (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  HrStartVerdict verdict = hr_start_check_machine (core, job, machine);
  return verdict == HR_START_OK || verdict == HR_START_RESERVED;
}

/* Returns the best machine with free capacity for a task of the job (hr_batch_machine_better());
 * NULL: there is none. first_fit: return the first one that is found instead of the best one. */
static HrMachine *
find_free_machine (HrCore *core, HrJob *job, const GPtrArray *machines, gboolean first_fit)
{
  HrMachine *best = NULL;
  guint32 shard = job->plan.shard;
  job->plan.shard = HR_NONE; /* free capacity in any shard counts */
  for (guint i = 0; i < machines->len && !(best && first_fit); i++) {
    HrMachine *machine = machines->pdata[i];
    if (fits_now (core, job, machine) &&
        (!best || hr_batch_machine_better (core, job, machine, best)))
      best = machine;
  }
  job->plan.shard = shard;
  return best;
}

/* Logs that the job starts to starve beside the machine, and what keeps it from starting there. */
static void
log_starving (HrCore *core, const HrJob *job, const HrMachine *machine)
{
  gboolean is_reserved = hr_start_check_machine (core, job, machine) == HR_START_RESERVED;
  g_info ("starving: job=%s tasks=%u listed=%u machine=%s capacity=%s", job->id, job->n_tasks,
          job->plan.n_listed, machine->name, is_reserved ? "reserved" : "unreserved");
}

/* Starts as many of the job's tasks as fit into free capacity. */
static void
start_on_free_capacity (HrCore *core, HrJob *job, const GPtrArray *machines)
{
  guint started = 0;
  for (guint32 k = 0; k < job->n_tasks && hr_team_allows_start (core, job, 1); k++) {
    if (job->tasks[k].state != HR_TASK_IDLE)
      continue;
    HrMachine *machine = find_free_machine (core, job, machines, FALSE);
    if (!machine)
      break;
    hr_start_task (core, job, k, machine);
    started++;
  }
  g_info ("job %s waited %.0f s despite free capacity; started %u of its tasks there", job->id,
          STARVATION_LIMIT_S, started);
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

/* Updates since when the job has waited beside the machine, NULL if there is none. */
static void
update_clock (HrCore *core, HrJob *job, const HrMachine *machine)
{
  HrJobQuota *quota = &job->quota;
  if (!machine) {
    quota->starving_since = 0;
    quota->is_starving = FALSE;
    return;
  }
  if (!quota->starving_since)
    quota->starving_since = core->now;
  gboolean was_starving = quota->is_starving;
  quota->is_starving = core->now - quota->starving_since >= STARVATION_LIMIT_S;
  if (quota->is_starving && !was_starving)
    log_starving (core, job, machine);
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
    HrMachine *machine = NULL;
    if (is_waiting (core, job)) {
      if (!failed || !is_harder_to_place (&job->spec, failed))
        machine = find_free_machine (core, job, machines, TRUE);
      if (!machine)
        failed = &job->spec;
    }
    update_clock (core, job, machine);
    if (job->quota.is_starving && job->spec.shape == HR_BATCH)
      start_on_free_capacity (core, job, machines);
  }
}
