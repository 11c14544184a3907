/* Preemption within a team's limit. */
#include "coordination/scheduling/quota_preemption.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/quota.h"
#include "coordination/scheduling/quotas.h"

/* For a job other than a service nothing is stopped where the limit lets it start within so long:
 * a stop loses work, s. */
#define TOLERATED_WAIT_S 10.0

/* What the team runs on a machine at a lower priority than the job's. */
typedef struct {
  HrMachine *machine;
  double loss; /* s, mean of the tasks */
  guint n;
} Preemptible;

static int
by_loss (gconstpointer left, gconstpointer right)
{
  double first = ((const Preemptible *)left)->loss, second = ((const Preemptible *)right)->loss;
  return first < second ? -1 : first > second;
}

/* Counts the tasks on the machine that the job may preempt, and adds what they use to the total. */
static Preemptible
preemptible_on_machine (HrCore *core, const HrJob *job, HrMachine *machine, HrQuota *total)
{
  Preemptible here = {machine, 0, 0};
  for (guint k = 0; k < machine->tasks->len; k++) {
    HrTaskRef ref = g_array_index (machine->tasks, HrTaskRef, k);
    const HrJob *victim = hr_job_of_task (core, ref);
    if (!hr_may_preempt (core, job, HR_PREEMPT_OWN_TEAM, victim, ref.task))
      continue;
    hr_quota_add (total, hr_quota_of (&victim->spec, 1));
    here.loss += hr_preemption_loss (core, victim, &victim->tasks[ref.task]);
    here.n++;
  }
  if (here.n)
    here.loss /= here.n;
  return here;
}

/* The machines with such work, those first where least is lost: preempted machine by machine, it
 * leaves enough free on one machine for a large task. total: what all of it uses. */
static GArray *
find_preemptible (HrCore *core, const HrJob *job, HrQuota *total)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (Preemptible));
  *total = (HrQuota){0, 0};
  for (guint i = 0; i < core->scaling.fleet->len; i++) {
    Preemptible here = preemptible_on_machine (core, job, core->scaling.fleet->pdata[i], total);
    if (here.n)
      g_array_append_val (found, here);
  }
  g_array_sort (found, by_loss);
  return found;
}

/* Preempts on the machine until the pool covers the need. What is stopped joins the pool. */
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
    g_info ("%s/%u on %s is preempted for %s within their team's limit", victim->id, ref.task,
            machine->name, job->id);
    hr_quota_add (pool, hr_quota_of (&victim->spec, n));
    hr_preempt_task (core, victim, ref.task);
    k = 0; /* a gang's other tasks may have left the machine */
  }
}

/* Preempts until the pool covers the need; nothing is stopped where that cannot be reached. */
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

/* Preempts for the job's tasks without a grant, as far as that is enough for them. */
static void
preempt_for_job (HrCore *core, HrTeamUsage *usage, const HrJob *job)
{
  guint unit = hr_job_start_unit (job), idle = hr_job_idle_tasks (job);
  guint without_grant = idle - MIN (job->quota.granted, idle);
  HrQuota need = hr_quota_of (&job->spec, unit);
  gboolean starts_soon =
      job->spec.shape != HR_SERVICE && usage->shadow_time - core->now <= TOLERATED_WAIT_S;
  hr_quota_subtract (&usage->reclaimed, hr_quota_of (&job->spec, job->quota.granted));
  for (guint n = without_grant; n >= unit && !usage->is_exhausted; n -= unit) {
    /* What is stopped for a later job would go to this one, or be filled by shorter work and
     * stopped again. */
    if (!hr_quota_covers (usage->reclaimed, need) &&
        (starts_soon || !preempt_until_covered (core, job, &usage->reclaimed, need)))
      usage->is_exhausted = TRUE;
    else
      hr_quota_subtract (&usage->reclaimed, need);
  }
}

/* What the limits leave once the tasks that are being stopped are gone. */
static void
reset_reclaimed (HrCore *core)
{
  for (guint i = 0; i < core->scheduling.team_usage->len; i++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, i);
    usage->reclaimed = usage->is_limited ? usage->limit : hr_quota_unlimited ();
    hr_quota_subtract (&usage->reclaimed, usage->used);
    hr_quota_add (&usage->reclaimed, usage->ending);
  }
}

void
hr_quotas_preempt (HrCore *core)
{
  reset_reclaimed (core);
  for (guint i = 0; i < core->scheduling.waiting_jobs->len; i++) {
    const HrJob *job = core->scheduling.waiting_jobs->pdata[i];
    HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
    /* A job whose grant is lent lacks a machine; others use its share meanwhile. */
    if (!usage->is_exhausted && !job->quota.grant_lent)
      preempt_for_job (core, usage, job);
  }
}
