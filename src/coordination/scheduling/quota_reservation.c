/* Quota reservation: reserves the rest of a team's limit for the first job that does not fit. */
#include "coordination/scheduling/quota_reservation.h"
#include "coordination/agents/termination_proof.h"
#include "coordination/scheduling/estimates.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/placement.h"
#include "coordination/scheduling/quotas.h"

/* The expected release of the quota that a task of the team uses. */
typedef struct {
  double end; /* monotonic time, s; INFINITY: a service */
  HrQuota quota;
} Release;

static int
compare_by_end (gconstpointer left, gconstpointer right)
{
  double first = ((const Release *)left)->end, second = ((const Release *)right)->end;
  return first < second ? -1 : first > second;
}

/* Returns when the task is expected to be proven to have ended; monotonic time, s. */
static double
release_at (HrCore *core, const HrJob *job, const HrTask *task)
{
  const HrMachine *machine = hr_machine_by_index (core, task->run->placement.machine);
  gboolean is_stopping =
      task->state == HR_TASK_BOUND && (task->stop_wanted || job->state != HR_JOB_QUEUED);
  if (!is_stopping)
    return hr_estimate_running_end (core, job, task, machine);
  if (hr_machine_is_reachable (core, machine))
    return core->now + (task->run->stop_grace_s + HR_PREEMPTION_S);
  return core->now + hr_lease_duration_s (core);
}

static void
append_releases (HrCore *core, const HrJob *job, GArray *releases)
{
  for (guint32 k = 0; k < job->n_tasks && job->run.n_live; k++) {
    const HrTask *task = &job->tasks[k];
    if (!hr_task_is_placed (task))
      continue;
    Release release = {release_at (core, job, task), hr_quota_of (&job->spec, 1)};
    g_array_append_val (releases, release);
  }
}

/* Returns the releases of all placed tasks of the team, by end: (element-type Release). */
static GArray *
team_releases (HrCore *core, guint32 team)
{
  GArray *releases = g_array_new (FALSE, FALSE, sizeof (Release));
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++) {
    const HrJob *job = hr_open_job (core, i);
    if (job->spec.team == team && job->tasks)
      append_releases (core, job, releases);
  }
  g_array_sort (releases, compare_by_end);
  return releases;
}

void
hr_quota_reserve (HrCore *core, HrTeamUsage *usage, const HrJob *head)
{
  g_autoptr (GArray) releases = team_releases (core, head->spec.team);
  HrQuota need = hr_quota_of (&head->spec, hr_job_start_unit (head));
  HrQuota capacity = usage->available;
  usage->has_reservation = TRUE;
  usage->shadow_time = INFINITY;
  for (guint i = 0; i < releases->len && !isfinite (usage->shadow_time); i++) {
    const Release *release = &g_array_index (releases, Release, i);
    if (!isfinite (release->end))
      break;
    hr_quota_add (&capacity, release->quota);
    if (hr_quota_covers (capacity, need))
      usage->shadow_time = release->end;
  }
  if (isfinite (usage->shadow_time)) {
    hr_quota_subtract (&capacity, need);
    usage->backfill = hr_quota_min (usage->available, capacity);
  }
}
