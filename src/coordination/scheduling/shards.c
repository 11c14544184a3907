/* Shards of the plan, which limit the cost of a pass over a large fleet. */
#include "coordination/scheduling/shards.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/resources.h"
#include "coordination/scheduling/team_usage.h"

/* The finalizer of MurmurHash3 (Appleby); it makes the shards' rankings of machines independent. */
static guint32
finalize_hash (guint32 hash)
{
  hash = (hash ^ hash >> 16) * 0x85ebca6bu;
  hash = (hash ^ hash >> 13) * 0xc2b2ae35u;
  return hash ^ hash >> 16;
}

guint32
hr_shard_of (const char *machine, guint n_shards)
{
  const guint32 golden_ratio = 0x9e3779b9u;
  guint32 best = 0, max_hash = 0, base = g_str_hash (machine);
  for (guint i = 0; i < n_shards; i++) {
    guint32 hash = finalize_hash (base ^ (i + 1) * golden_ratio);
    if (i == 0 || hash > max_hash) {
      max_hash = hash;
      best = i;
    }
  }
  return best;
}

void
hr_shards_assign (HrCore *core)
{
  guint n_shards = 1 + core->scaling.fleet->len / (guint)core->policy.machines_per_part;
  core->scheduling.n_shards = n_shards;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->plan.n_shards != n_shards)
      machine->plan.shard = hr_shard_of (machine->name, n_shards);
    machine->plan.n_shards = n_shards;
  }
}

/* Returns how many tasks of the job fit on the machine now. */
static guint
task_slots (const HrMachine *machine, const HrJobSpec *spec)
{
  guint n = 0;
  HrResources available = hr_machine_unreserved (machine);
  HrResources one = hr_resources_of_task (spec), needed = one;
  for (; n < spec->tasks && hr_resources_cover (available, needed); n++)
    hr_resources_add (&needed, one);
  return n;
}

/* Returns whether the job may use all shards. Jobs of limited teams, gangs and jobs with zone
 * constraints are not restricted to a shard. Neither are services: they are not in lists, and would
 * keep a machine in use in each shard. */
static gboolean
needs_no_shard (const HrCore *core, const HrJob *job)
{
  const HrTeam *team = hr_team (core, job->spec.team);
  return core->scheduling.n_shards == 1 || job->spec.shape == HR_SERVICE ||
         (job->spec.shape == HR_GANG && job->n_tasks > 1) || job->spec.one_zone ||
         job->spec.spread || (team && hr_team_is_limited (team));
}

void
hr_shard_choose (HrCore *core, HrJob *job)
{
  g_autofree guint *slots = g_new0 (guint, core->scheduling.n_shards);
  job->plan.shard_chosen = TRUE;
  job->plan.shard = HR_NONE;
  if (needs_no_shard (core, job))
    return;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    const HrMachine *machine = core->scaling.fleet->pdata[i];
    if (hr_job_allows_machine (core, job, machine))
      slots[machine->plan.shard] += task_slots (machine, &job->spec);
  }
  /* The shard must have capacity for the whole job: otherwise some of its tasks would wait for
   * capacity in this shard while other shards have free capacity. */
  for (guint i = 0; i < core->scheduling.n_shards; i++)
    if (slots[i] >= job->n_tasks &&
        (job->plan.shard == HR_NONE || slots[i] > slots[job->plan.shard]))
      job->plan.shard = i;
}
