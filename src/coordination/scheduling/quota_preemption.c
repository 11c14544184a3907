/* Room within a team's limit: its work of lower rank is stopped for what the limit holds back. */
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/scheduling/free_capacity.h"

/* Work of lower rank is stopped for a job that is no service where the limit would not let it
 * start within so long, s: what is stopped loses work. */
#define PATIENCE_S 10.0

/* What the team runs on a machine at a lower rank than the job's. */
typedef struct {
  HrMachine *machine;
  double loss; /* of work, a task */
  guint n;
} Stoppable;

static gboolean
may_stop (const HrCore *c, const HrJob *victim, guint32 task, const HrJob *j)
{
  const HrTask *t = &victim->tasks[task];
  return victim->spec.team == j->spec.team && hr_job_priority (victim) > hr_job_priority (j) &&
         victim->state == HR_JOB_QUEUED && !victim->run.attempt_ending &&
         t->state == HR_TASK_BOUND && !t->stop_wanted;
}

static int
by_loss (gconstpointer a, gconstpointer b)
{
  double x = ((const Stoppable *)a)->loss, y = ((const Stoppable *)b)->loss;
  return x < y ? -1 : x > y;
}

/* The machines with such work, those first where least is lost: stopped machine by machine,
 * it leaves room that a large task fits in. */
static GArray *
stoppable (HrCore *c, const HrJob *j, HrQuota *all)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (Stoppable));
  *all = (HrQuota){0, 0};
  for (guint i = 0; i < c->scaling.fleet->len; i++) {
    Stoppable s = {c->scaling.fleet->pdata[i], 0, 0};
    for (guint k = 0; k < s.machine->tasks->len; k++) {
      HrTaskRef r = g_array_index (s.machine->tasks, HrTaskRef, k);
      const HrJob *victim = c->store.tables.jobs->pdata[r.job];
      if (!may_stop (c, victim, r.task, j))
        continue;
      hr_quota_add (all, hr_quota_of (&victim->spec, 1));
      s.loss += hr_preemption_loss (c, victim, &victim->tasks[r.task]);
      s.n++;
    }
    if (!s.n)
      continue;
    s.loss /= s.n;
    g_array_append_val (found, s);
  }
  g_array_sort (found, by_loss);
  return found;
}

/* Stops work until the pool holds the need. What is stopped joins the pool. */
static gboolean
stop_lower (HrCore *c, HrJob *j, HrQuota *pool, HrQuota need)
{
  HrQuota all;
  g_autoptr (GArray) found = stoppable (c, j, &all);
  hr_quota_add (&all, *pool);
  if (!hr_quota_covers (all, need))
    return FALSE;
  for (guint i = 0; i < found->len && !hr_quota_covers (*pool, need); i++) {
    HrMachine *m = g_array_index (found, Stoppable, i).machine;
    for (guint k = 0; k < m->tasks->len && !hr_quota_covers (*pool, need);) {
      HrTaskRef r = g_array_index (m->tasks, HrTaskRef, k);
      HrJob *victim = c->store.tables.jobs->pdata[r.job];
      if (!may_stop (c, victim, r.task, j)) {
        k++;
        continue;
      }
      g_info ("%s/%u on %s makes room for %s within their team's limit", victim->id, r.task,
              m->name, j->id);
      hr_quota_add (pool, hr_quota_of (&victim->spec,
                                       victim->spec.shape == HR_GANG ? victim->run.n_live : 1));
      hr_preempt_task (c, victim, r.task);
      k = 0; /* a gang's other tasks may have left the machine */
    }
  }
  return hr_quota_covers (*pool, need);
}

/* Stops what the job's tasks without a grant need, as far as that is enough for them. */
static void
preempt_for_job (HrCore *c, HrTeamUsage *u, HrJob *j)
{
  guint size = hr_job_start_unit (j), idle = hr_job_idle_tasks (j);
  HrQuota need = hr_quota_of (&j->spec, size);
  gboolean soon = j->spec.shape != HR_SERVICE && u->shadow_time - c->now <= PATIENCE_S;
  hr_quota_subtract (&u->reclaimed, hr_quota_of (&j->spec, j->quota.granted));
  for (guint n = idle - MIN (j->quota.granted, idle); n >= size && !u->is_exhausted; n -= size) {
    /* What is stopped for a later job would go to this one, or be filled by shorter work and
     * stopped again. */
    if (!hr_quota_covers (u->reclaimed, need) && (soon || !stop_lower (c, j, &u->reclaimed, need)))
      u->is_exhausted = TRUE;
    else
      hr_quota_subtract (&u->reclaimed, need);
  }
}

void
hr_quotas_preempt (HrCore *c)
{
  for (guint i = 0; i < c->scheduling.team_usage->len; i++) {
    HrTeamUsage *u = &g_array_index (c->scheduling.team_usage, HrTeamUsage, i);
    u->reclaimed = u->is_limited ? u->limit : (HrQuota){INFINITY, INFINITY};
    hr_quota_subtract (&u->reclaimed, u->used);
    hr_quota_add (&u->reclaimed, u->ending);
  }
  for (guint i = 0; i < c->scheduling.waiting_jobs->len; i++) {
    HrJob *j = c->scheduling.waiting_jobs->pdata[i];
    HrTeamUsage *u = hr_team_usage (c, j->spec.team);
    /* One that is lent lacks a machine, and others use its share meanwhile. */
    if (!u->is_exhausted && !j->quota.grant_lent)
      preempt_for_job (c, u, j);
  }
}
