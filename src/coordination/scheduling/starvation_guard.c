/* Array tasks that wait beside free room.
 *
 * Room is kept for the next replicas of services (service_reservations.c), for tasks that are due
 * earlier on the same machine (dispatch.c), and for a job's own part of the fleet (shards.c). What
 * is projected to start soon is not rented for either, so where such a projection slips from pass
 * to pass, a task could wait for ever. After STARVATION_LIMIT_S beside room that it fits into, a
 * task gets that room, whatever it is kept for. Spare room for replicas is then found or rented
 * anew (scale_out.c), and a replica that comes meanwhile stops batch work as before (preemption.c).
 */
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/dispatch.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/guarantees.h"
#include "coordination/state.h"

/* Seconds beside free room after which a task gets it. */
#define STARVATION_LIMIT_S 60.0
/* Jobs are looked at so often, in seconds. */
#define CHECK_INTERVAL_S 1.0

static gboolean
is_waiting (HrCore *core, const HrJob *job)
{
  return job->state == HR_JOB_QUEUED && job->tasks && job->spec.shape == HR_BATCH &&
         job->run.n_live + job->n_done < job->n_tasks && core->now >= job->run.retry_at &&
         hr_team_allows_start (core, job, 1);
}

/* The machine with room where the job's next task would be done first; NULL: there is none.
 * first: any one will do. */
static HrMachine *
find_free_machine (HrCore *core, HrJob *job, const GPtrArray *capacities, gboolean first)
{
  HrMachine *best = NULL;
  guint32 shard = job->plan.shard;
  job->plan.shard = HR_NONE; /* room in any part of the fleet counts */
  for (guint i = 0; i < capacities->len && !(best && first); i++) {
    HrMachine *machine = capacities->pdata[i];
    if (hr_dispatch_fits_now (core, job, machine) &&
        (!best || hr_dispatch_batch_better (core, job, machine, best)))
      best = machine;
  }
  job->plan.shard = shard;
  return best;
}

/* Starts as many of the job's tasks as there is room for. */
static void
start_on_free_capacity (HrCore *core, HrJob *job, const GPtrArray *capacities)
{
  guint started = 0;
  for (guint32 k = 0; k < job->n_tasks && hr_team_allows_start (core, job, 1); k++) {
    if (job->tasks[k].state != HR_TASK_IDLE)
      continue;
    HrMachine *machine = find_free_machine (core, job, capacities, FALSE);
    if (!machine)
      break;
    hr_dispatch_start (core, job, k, machine);
    started++;
  }
  g_info ("%s waited %.0f s beside free room; %u of its tasks start there", job->id,
          STARVATION_LIMIT_S, started);
}

/* Does the job ask for at least as much as one that found no room, with no wider choice? */
static gboolean
is_harder_to_place (const HrJobSpec *spec, const HrJobSpec *failed)
{
  return spec->cpus >= failed->cpus && spec->gpus >= failed->gpus &&
         spec->memory_gb >= failed->memory_gb && (failed->allows_spot || !spec->allows_spot) &&
         failed->zone == HR_NONE && !failed->types && !failed->one_zone && !failed->spread;
}

void
hr_starvation_guard_tick (HrCore *core)
{
  if (core->now < core->scheduling.next_starvation_check_at)
    return;
  core->scheduling.next_starvation_check_at = core->now + CHECK_INTERVAL_S;
  g_autoptr (GPtrArray) capacities = hr_dispatch_open_machines (core);
  /* Of the latest job without room: where many wait, others like it follow. */
  const HrJobSpec *failed = NULL;
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    HrJob *job =
        core->store.tables.jobs->pdata[g_array_index (core->store.tables.open_jobs, guint32, i)];
    if (!is_waiting (core, job)) {
      job->quota.starving_since = 0;
      continue;
    }
    if ((failed && is_harder_to_place (&job->spec, failed)) ||
        !find_free_machine (core, job, capacities, TRUE)) {
      failed = &job->spec;
      job->quota.starving_since = 0;
      continue;
    }
    if (!job->quota.starving_since)
      job->quota.starving_since = core->now;
    if (core->now - job->quota.starving_since >= STARVATION_LIMIT_S)
      start_on_free_capacity (core, job, capacities);
  }
}
