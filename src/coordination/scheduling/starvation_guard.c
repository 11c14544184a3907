/* Array tasks that wait beside free room.
 *
 * Room is kept for the next replicas of services (claims.c), for tasks that are due earlier on the
 * same machine (dispatch.c), and for a job's own part of the fleet (parts.c). What is projected to
 * start soon is not rented for either, so where such a projection slips from pass to pass, a task
 * could wait for ever. After STARVATION_LIMIT_S beside room that it fits into, a task gets that
 * room, whatever it is kept for. Spare room for replicas is then found or rented anew (rent.c), and
 * a replica that comes meanwhile stops batch work as before (preempt.c). */
#include "coordination/scheduling/starvation_guard.h"
#include "coordination/scheduling/free_capacity.h"

/* Seconds beside free room after which a task gets it. */
#define STARVATION_LIMIT_S 60.0
/* Jobs are looked at so often, in seconds. */
#define CHECK_INTERVAL_S 1.0

static gboolean
is_waiting (HrCore *c, const HrJob *j)
{
  return j->state == HR_JOB_QUEUED && j->tasks && j->spec.shape == HR_BATCH &&
         j->run.n_live + j->n_done < j->n_tasks && c->now >= j->run.retry_at &&
         hr_team_allows_start (c, j, 1);
}

/* The machine with room where the job's next task would be done first; NULL: there is none.
 * first: any one will do. */
static HrMachine *
find_free_machine (HrCore *c, HrJob *j, const GPtrArray *capacities, gboolean first)
{
  HrMachine *best = NULL;
  guint32 part = j->plan.shard;
  j->plan.shard = HR_NONE; /* room in any part of the fleet counts */
  for (guint i = 0; i < capacities->len && !(best && first); i++) {
    HrMachine *m = capacities->pdata[i];
    if (hr_dispatch_fits_now (c, j, m) && (!best || hr_dispatch_batch_better (c, j, m, best)))
      best = m;
  }
  j->plan.shard = part;
  return best;
}

/* Starts as many of the job's tasks as there is room for. */
static void
start_on_free_capacity (HrCore *c, HrJob *j, const GPtrArray *capacities)
{
  guint started = 0;
  for (guint32 k = 0; k < j->n_tasks && hr_team_allows_start (c, j, 1); k++) {
    if (j->tasks[k].state != HR_TASK_IDLE)
      continue;
    HrMachine *m = find_free_machine (c, j, capacities, FALSE);
    if (!m)
      break;
    hr_dispatch_start (c, j, k, m);
    started++;
  }
  g_info ("%s waited %.0f s beside free room; %u of its tasks start there", j->id,
          STARVATION_LIMIT_S, started);
}

/* Does the job ask for at least as much as one that found no room, with no wider choice? */
static gboolean
is_harder_to_place (const HrJobSpec *s, const HrJobSpec *failed)
{
  return s->cpus >= failed->cpus && s->gpus >= failed->gpus && s->memory_gb >= failed->memory_gb &&
         (failed->allows_spot || !s->allows_spot) && failed->zone == HR_NONE && !failed->types &&
         !failed->one_zone && !failed->spread;
}

void
hr_starvation_guard_tick (HrCore *c)
{
  if (c->now < c->scheduling.next_starvation_check_at)
    return;
  c->scheduling.next_starvation_check_at = c->now + CHECK_INTERVAL_S;
  g_autoptr (GPtrArray) capacities = hr_dispatch_open_machines (c);
  /* Of the latest job without room: where many wait, others like it follow. */
  const HrJobSpec *failed = NULL;
  for (guint i = 0; i < c->store.tables.open_jobs->len; i++) {
    HrJob *j = c->store.tables.jobs->pdata[g_array_index (c->store.tables.open_jobs, guint32, i)];
    if (!is_waiting (c, j)) {
      j->quota.starving_since = 0;
      continue;
    }
    if ((failed && is_harder_to_place (&j->spec, failed)) ||
        !find_free_machine (c, j, capacities, TRUE)) {
      failed = &j->spec;
      j->quota.starving_since = 0;
      continue;
    }
    if (!j->quota.starving_since)
      j->quota.starving_since = c->now;
    if (c->now - j->quota.starving_since >= STARVATION_LIMIT_S)
      start_on_free_capacity (c, j, capacities);
  }
}
