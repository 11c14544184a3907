/* Room within a team's limit: its work of lower priority is stopped for what the limit holds back.
 */
#include "coordination/scheduling/quota_preemption.h"
#include "coordination/scheduling/free_capacity.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"

/* Work of lower priority is stopped for a job that is no service where the limit would not let it
 * start within so long, s: what is stopped loses work. */
#define PATIENCE_S 10.0

/* What the team runs on a machine at a lower priority than the job's. */
typedef struct {
  HrMachine *machine;
  double loss; /* of work, a task */
  guint n;
} Stoppable;

static gboolean
may_stop (const HrCore *core, const HrJob *victim, guint32 task_index, const HrJob *job)
{
  const HrTask *task = &victim->tasks[task_index];
  return victim->spec.team == job->spec.team && hr_job_priority (victim) > hr_job_priority (job) &&
         victim->state == HR_JOB_QUEUED && !victim->run.attempt_ending &&
         task->state == HR_TASK_BOUND && !task->stop_wanted;
}

static int
by_loss (gconstpointer left, gconstpointer right)
{
  double first = ((const Stoppable *)left)->loss, second = ((const Stoppable *)right)->loss;
  return first < second ? -1 : first > second;
}

/* The machines with such work, those first where least is lost: stopped machine by machine,
 * it leaves room that a large task fits in. */
static GArray *
stoppable (HrCore *core, const HrJob *job, HrQuota *all)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (Stoppable));
  *all = (HrQuota){0, 0};
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    Stoppable stoppable_here = {core->scaling.fleet->pdata[i], 0, 0};
    for (guint k = 0; k < stoppable_here.machine->tasks->len; k++) {
      HrTaskRef ref = g_array_index (stoppable_here.machine->tasks, HrTaskRef, k);
      const HrJob *victim = core->store.tables.jobs->pdata[ref.job];
      if (!may_stop (core, victim, ref.task, job))
        continue;
      hr_quota_add (all, hr_quota_of (&victim->spec, 1));
      stoppable_here.loss += hr_preemption_loss (core, victim, &victim->tasks[ref.task]);
      stoppable_here.n++;
    }
    if (!stoppable_here.n)
      continue;
    stoppable_here.loss /= stoppable_here.n;
    g_array_append_val (found, stoppable_here);
  }
  g_array_sort (found, by_loss);
  return found;
}

/* Stops work until the pool holds the need. What is stopped joins the pool. */
static gboolean
stop_lower (HrCore *core, HrJob *job, HrQuota *pool, HrQuota need)
{
  HrQuota all;
  g_autoptr (GArray) found = stoppable (core, job, &all);
  hr_quota_add (&all, *pool);
  if (!hr_quota_covers (all, need))
    return FALSE;
  for (guint i = 0; i < found->len && !hr_quota_covers (*pool, need); i++) {
    HrMachine *machine = g_array_index (found, Stoppable, i).machine;
    for (guint k = 0; k < machine->tasks->len && !hr_quota_covers (*pool, need);) {
      HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
      HrJob *victim = core->store.tables.jobs->pdata[ref.job];
      if (!may_stop (core, victim, ref.task, job)) {
        k++;
        continue;
      }
      g_info ("%s/%u on %s makes room for %s within their team's limit", victim->id, ref.task,
              machine->name, job->id);
      hr_quota_add (pool, hr_quota_of (&victim->spec,
                                       victim->spec.shape == HR_GANG ? victim->run.n_live : 1));
      hr_preempt_task (core, victim, ref.task);
      k = 0; /* a gang's other tasks may have left the machine */
    }
  }
  return hr_quota_covers (*pool, need);
}

/* Stops what the job's tasks without a grant need, as far as that is enough for them. */
static void
preempt_for_job (HrCore *core, HrTeamUsage *usage, HrJob *job)
{
  guint size = hr_job_start_unit (job), idle = hr_job_idle_tasks (job);
  HrQuota need = hr_quota_of (&job->spec, size);
  gboolean soon = job->spec.shape != HR_SERVICE && usage->shadow_time - core->now <= PATIENCE_S;
  hr_quota_subtract (&usage->reclaimed, hr_quota_of (&job->spec, job->quota.granted));
  for (guint n = idle - MIN (job->quota.granted, idle); n >= size && !usage->is_exhausted;
       n -= size) {
    /* What is stopped for a later job would go to this one, or be filled by shorter work and
     * stopped again. */
    if (!hr_quota_covers (usage->reclaimed, need) &&
        (soon || !stop_lower (core, job, &usage->reclaimed, need)))
      usage->is_exhausted = TRUE;
    else
      hr_quota_subtract (&usage->reclaimed, need);
  }
}

void
hr_quotas_preempt (HrCore *core)
{
  for (guint i = 0; i < core->scheduling.team_usage->len; i++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, i);
    usage->reclaimed = usage->is_limited ? usage->limit : (HrQuota){INFINITY, INFINITY};
    hr_quota_subtract (&usage->reclaimed, usage->used);
    hr_quota_add (&usage->reclaimed, usage->ending);
  }
  for (guint i = 0; i < core->scheduling.waiting_jobs->len; i++) {
    HrJob *job = core->scheduling.waiting_jobs->pdata[i];
    HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
    /* One that is lent lacks a machine, and others use its share meanwhile. */
    if (!usage->is_exhausted && !job->quota.grant_lent)
      preempt_for_job (core, usage, job);
  }
}
