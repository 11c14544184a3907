/* Preemption within a team's limit. */
#include "coordination/scheduling/quota_preemption.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/quotas.h"

/* No task is stopped for a job, other than a service, that the limit is expected to let start
 * within this time, s: a preempted task loses work. */
#define TOLERATED_WAIT_S 10.0

/* The tasks on a machine that the job may preempt within its team. */
typedef struct {
  HrMachine *machine;
  double loss; /* mean of the tasks, s */
  guint n;
} Preemptible;

static int
compare_by_loss (gconstpointer left, gconstpointer right)
{
  double first = ((const Preemptible *)left)->loss, second = ((const Preemptible *)right)->loss;
  return first < second ? -1 : first > second;
}

/* Counts the tasks on the machine that the job may preempt, and adds their quota to the total. */
static Preemptible
preemptible_on_machine (HrCore *core, const HrJob *job, HrMachine *machine, HrQuota *total)
{
  Preemptible preemptible = {machine, 0, 0};
  for (guint k = 0; k < machine->tasks->len; k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    const HrJob *victim = hr_job_of_task (core, ref);
    if (!hr_may_preempt (core, job, HR_PREEMPT_OWN_TEAM, victim, ref.task))
      continue;
    hr_quota_add (total, hr_quota_of (&victim->spec, 1));
    preemptible.loss += hr_preemption_loss (core, victim, &victim->tasks[ref.task]);
    preemptible.n++;
  }
  if (preemptible.n)
    preemptible.loss /= preemptible.n;
  return preemptible;
}

/* Returns the machines with tasks that the job may preempt, by mean loss: (element-type
 * Preemptible). Tasks are preempted machine by machine, so that enough capacity for a large task
 * becomes free on one machine. total: set to the quota that all these tasks use. */
static GArray *
find_preemptible (HrCore *core, const HrJob *job, HrQuota *total)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (Preemptible));
  *total = (HrQuota){0, 0};
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    Preemptible preemptible =
        preemptible_on_machine (core, job, core->scaling.fleet->pdata[i], total);
    if (preemptible.n)
      g_array_append_val (found, preemptible);
  }
  g_array_sort (found, compare_by_loss);
  return found;
}

/* Preempts tasks on the machine until the pool covers the need. Adds the quota of the stopped tasks
 * to the pool. */
static void
preempt_on_machine (HrCore *core, const HrJob *job, HrMachine *machine, HrQuota *pool, HrQuota need)
{
  for (guint k = 0; k < machine->tasks->len && !hr_quota_covers (*pool, need);) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    HrJob *victim = hr_job_of_task (core, ref);
    if (!hr_may_preempt (core, job, HR_PREEMPT_OWN_TEAM, victim, ref.task)) {
      k++;
      continue;
    }
    guint n = victim->spec.shape == HR_GANG ? victim->run.n_live : 1;
    g_info ("preempting task %s/%u on machine %s for job %s, within their team's limit", victim->id,
            ref.task, machine->name, job->id);
    hr_quota_add (pool, hr_quota_of (&victim->spec, n));
    hr_preempt_task (core, victim, ref.task);
    k = 0; /* other tasks of a gang may have been removed from the list */
  }
}

/* Preempts tasks until the pool covers the need. Returns FALSE, without stopping any task, if that
 * is not possible. */
static gboolean
preempt_until_covered (HrCore *core, const HrJob *job, HrQuota *pool, HrQuota need)
{
  HrQuota total;
  g_autoptr (GArray) found = find_preemptible (core, job, &total);
  hr_quota_add (&total, *pool);
  if (!hr_quota_covers (total, need))
    return FALSE;
  for (guint i = 0; i < found->len && !hr_quota_covers (*pool, need); i++)
    preempt_on_machine (core, job, g_array_index (found, Preemptible, i).machine, pool, need);
  return hr_quota_covers (*pool, need);
}

/* Preempts other tasks for those of the job's tasks that have no grant, one start unit at a time.
 * Marks the team as exhausted once a unit cannot be covered. */
static void
preempt_for_job (HrCore *core, HrTeamUsage *usage, const HrJob *job)
{
  guint unit = hr_job_start_unit (job), idle = hr_job_idle_tasks (job);
  guint n_ungranted = idle - MIN (job->quota.granted, idle);
  HrQuota need = hr_quota_of (&job->spec, unit);
  gboolean starts_soon =
      job->spec.shape != HR_SERVICE && usage->shadow_time - core->now <= TOLERATED_WAIT_S;
  hr_quota_subtract (&usage->reclaimed, hr_quota_of (&job->spec, job->quota.granted));
  for (guint n = n_ungranted; n >= unit && !usage->is_exhausted; n -= unit) {
    /* After this no task is stopped for later jobs either: the freed quota would go to this job, or
     * to shorter tasks that would be preempted again. */
    if (!hr_quota_covers (usage->reclaimed, need) &&
        (starts_soon || !preempt_until_covered (core, job, &usage->reclaimed, need)))
      usage->is_exhausted = TRUE;
    else
      hr_quota_subtract (&usage->reclaimed, need);
  }
}

/* Sets the quota that each team's limit leaves once the tasks that are being stopped have ended. */
static void
reset_reclaimed (HrCore *core)
{
  for (guint i = 0; i < core->scheduling.team_usage->len; i++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, i);
    usage->reclaimed = usage->is_limited ? usage->limit : hr_quota_unlimited ();
    hr_quota_subtract (&usage->reclaimed, usage->used);
    hr_quota_add (&usage->reclaimed, usage->stopping);
  }
}

void
hr_quotas_preempt (HrCore *core)
{
  reset_reclaimed (core);
  for (guint i = 0; i < core->scheduling.waiting_jobs->len; i++) {
    const HrJob *job = core->scheduling.waiting_jobs->pdata[i];
    HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
    /* A job whose grant is lent lacks a machine, not quota; other jobs use its quota meanwhile. */
    if (!usage->is_exhausted && !job->quota.grant_lent)
      preempt_for_job (core, usage, job);
  }
}
