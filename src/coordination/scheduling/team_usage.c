/* Teams and their quota usage in this pass. */
#include "coordination/scheduling/team_usage.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/quota.h"

const HrTeam *
hr_team (const HrCore *core, guint32 team)
{
  for (guint i = 0; i < core->settings->teams->len; i++)
    if (g_array_index (core->settings->teams, HrTeam, i).team == team)
      return &g_array_index (core->settings->teams, HrTeam, i);
  return NULL;
}

gboolean
hr_team_is_limited (const HrTeam *team)
{
  return team->cpus_max > 0 || team->gpus_max > 0;
}

HrTeamUsage *
hr_team_usage (HrCore *core, guint32 team)
{
  if (team >= core->scheduling.team_usage->len)
    g_array_set_size (core->scheduling.team_usage, team + 1);
  return &g_array_index (core->scheduling.team_usage, HrTeamUsage, team);
}

/* Clears the usage of all teams and sets the limits from the settings. */
static void
reset_usage (HrCore *core)
{
  g_array_set_size (core->scheduling.team_usage, 0);
  for (guint i = 0; i < core->settings->teams->len; i++) {
    const HrTeam *team = &g_array_index (core->settings->teams, HrTeam, i);
    HrTeamUsage *usage = hr_team_usage (core, team->team);
    usage->is_limited = hr_team_is_limited (team);
    usage->limit.cpus = team->cpus_max > 0 ? team->cpus_max : INFINITY;
    usage->limit.gpus = team->gpus_max > 0 ? team->gpus_max : INFINITY;
    usage->shadow_time = INFINITY;
  }
}

static void
count_job (HrCore *core, const HrJob *job)
{
  HrTeamUsage *usage = hr_team_usage (core, job->spec.team);
  guint n = job->run.n_live;
  /* The recorded tasks are unreadable: until the retry, all unfinished tasks may be running. */
  if (job->record.tasks_unreadable && core->now < job->run.retry_at)
    n = job->n_tasks - job->n_done;
  hr_quota_add (&usage->used, hr_quota_of (&job->spec, n));
  if (job->state != HR_JOB_QUEUED || !job->tasks || !usage->is_limited)
    return;
  for (guint32 k = 0; k < job->n_tasks && job->run.n_live; k++)
    if (job->tasks[k].state == HR_TASK_BOUND && job->tasks[k].stop_wanted)
      hr_quota_add (&usage->stopping, hr_quota_of (&job->spec, 1));
}

void
hr_team_usage_count (HrCore *core)
{
  reset_usage (core);
  for (guint i = 0; i < core->store.tables.open_jobs->len; i++)
    count_job (core, hr_open_job (core, i));
  for (guint i = 0; i < core->scheduling.team_usage->len; i++) {
    HrTeamUsage *usage = &g_array_index (core->scheduling.team_usage, HrTeamUsage, i);
    usage->available = usage->is_limited ? usage->limit : hr_quota_unlimited ();
    hr_quota_subtract (&usage->available, usage->used);
    usage->backfill = usage->available;
  }
}
