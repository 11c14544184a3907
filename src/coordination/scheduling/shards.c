/* Hash parts of the plan: a machine belongs to the part that its name hashes to,
 * an ordinary job to the part with most room when it comes, a large one to none:
 * it may stand in any list. All parts are planned by the leader (docs/design.md). */
#include "coordination/state.h"

/* Rendezvous hashing: when a part is added, only machines that move to it move. */
guint32
hr_shard_of (const char *machine, guint n_shards)
{
  guint32 best = 0, most = 0, base = g_str_hash (machine);
  for (guint i = 0; i < n_shards; i++) {
    guint32 h = base ^ (i + 1) * 0x9e3779b9u;
    h = (h ^ h >> 16) * 0x85ebca6bu;
    h = (h ^ h >> 13) * 0xc2b2ae35u;
    h ^= h >> 16;
    if (i == 0 || h > most) {
      most = h;
      best = i;
    }
  }
  return best;
}

void
hr_shards_assign (HrCore *c)
{
  c->scheduling.n_shards = 1 + c->scaling.fleet->len / (guint)c->policy.machines_per_part;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (m->plan.n_shards != c->scheduling.n_shards)
      m->plan.shard = hr_shard_of (m->name, c->scheduling.n_shards);
    m->plan.n_shards = c->scheduling.n_shards;
  }
}

/* How many tasks of the job have room on the machine now. */
static guint
task_slots (const HrMachine *m, const HrJobSpec *s)
{
  guint n = 0;
  double cpus = s->cpus, gpus = s->gpus, mem = s->memory_gb;
  while (n < s->tasks && hr_machine_has_unreserved (m, cpus, gpus, mem)) {
    n++;
    cpus += s->cpus;
    gpus += s->gpus;
    mem += s->memory_gb;
  }
  return n;
}

/* The roomiest part that holds the job; large jobs, and what no part holds as a whole, get
 * any list: the tasks of an array held to a full part wait beside room in others. */
void
hr_shard_choose (HrCore *c, HrJob *j)
{
  const HrTeam *t = hr_team (c, j->spec.team);
  gboolean limit = t && (t->cpus_max > 0 || t->gpus_max > 0);
  g_autofree guint *capacity = g_new0 (guint, c->scheduling.n_shards);
  j->plan.shard_chosen = TRUE;
  j->plan.shard = HR_NONE;
  /* Services stand in no list; held to a part, they would keep a machine open in each. */
  if (c->scheduling.n_shards == 1 || j->spec.shape == HR_SERVICE ||
      (j->spec.shape == HR_GANG && j->n_tasks > 1) || j->spec.one_zone || j->spec.spread || limit)
    return;
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    HrMachine *m = c->scaling.fleet->pdata[i];
    if (hr_job_allows_machine (c, j, m))
      capacity[m->plan.shard] += task_slots (m, &j->spec);
  }
  for (guint i = 0; i < c->scheduling.n_shards; i++)
    if (capacity[i] >= j->n_tasks &&
        (j->plan.shard == HR_NONE || capacity[i] > capacity[j->plan.shard]))
      j->plan.shard = i;
}
