/* Hash parts of the plan: a machine belongs to the part that its name hashes to,
 * an ordinary job to the part with most room when it comes, a large one to none:
 * it may stand in any list. All parts are planned by the leader (docs/design.md). */
#include "coordination/scheduling/shards.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"

/* Rendezvous hashing: when a part is added, only machines that move to it move. */
guint32
hr_shard_of (const char *machine, guint n_shards)
{
  guint32 best = 0, most = 0, base = g_str_hash (machine);
  for (guint i = 0; i < n_shards; i++) {
    guint32 hash = base ^ (i + 1) * 0x9e3779b9u;
    hash = (hash ^ hash >> 16) * 0x85ebca6bu;
    hash = (hash ^ hash >> 13) * 0xc2b2ae35u;
    hash ^= hash >> 16;
    if (i == 0 || hash > most) {
      most = hash;
      best = i;
    }
  }
  return best;
}

void
hr_shards_assign (HrCore *core)
{
  core->scheduling.n_shards = 1 + core->scaling.fleet->len / (guint)core->policy.machines_per_part;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (machine->plan.n_shards != core->scheduling.n_shards)
      machine->plan.shard = hr_shard_of (machine->name, core->scheduling.n_shards);
    machine->plan.n_shards = core->scheduling.n_shards;
  }
}

/* How many tasks of the job have room on the machine now. */
static guint
task_slots (const HrMachine *machine, const HrJobSpec *spec)
{
  guint n = 0;
  double cpus = spec->cpus, gpus = spec->gpus, memory_gb = spec->memory_gb;
  while (n < spec->tasks && hr_machine_has_unreserved (machine, cpus, gpus, memory_gb)) {
    n++;
    cpus += spec->cpus;
    gpus += spec->gpus;
    memory_gb += spec->memory_gb;
  }
  return n;
}

/* The roomiest part that holds the job; large jobs, and what no part holds as a whole, get
 * any list: the tasks of an array held to a full part wait beside room in others. */
void
hr_shard_choose (HrCore *core, HrJob *job)
{
  const HrTeam *team = hr_team (core, job->spec.team);
  gboolean limit = team && (team->cpus_max > 0 || team->gpus_max > 0);
  g_autofree guint *capacity = g_new0 (guint, core->scheduling.n_shards);
  job->plan.shard_chosen = TRUE;
  job->plan.shard = HR_NONE;
  /* Services stand in no list; held to a part, they would keep a machine open in each. */
  if (core->scheduling.n_shards == 1 || job->spec.shape == HR_SERVICE ||
      (job->spec.shape == HR_GANG && job->n_tasks > 1) || job->spec.one_zone || job->spec.spread ||
      limit)
    return;
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    HrMachine *machine = core->scaling.fleet->pdata[i];
    if (hr_job_allows_machine (core, job, machine))
      capacity[machine->plan.shard] += task_slots (machine, &job->spec);
  }
  for (guint i = 0; i < core->scheduling.n_shards; i++)
    if (capacity[i] >= job->n_tasks &&
        (job->plan.shard == HR_NONE || capacity[i] > capacity[job->plan.shard]))
      job->plan.shard = i;
}
