/* Limits of teams: what they let start in a pass, and in which order. */
#pragma once
#include "coordination/state.h"

/* Hands out what the limits leave to the jobs that wait. Begins each pass. */
void hr_quotas_pass (HrCore *core);
/* A task of the job was assigned. */
void hr_quotas_task_started (HrCore *core, HrJob *job);
/* How many tasks more of the job its team's limit lets start now; G_MAXUINT: no limit. */
guint hr_quotas_granted (HrCore *core, const HrJob *job);
/* Tasks of the job that are neither on a machine nor done, and how many of them start at once
 * or not at all. */
guint hr_job_idle_tasks (const HrJob *job);
guint hr_job_start_unit (const HrJob *job);
/* The team, as counted in this pass. */
HrTeamUsage *hr_team_usage (HrCore *core, guint32 team);

/* The team as the settings have it; NULL: not known here. */
const HrTeam *hr_team (const HrCore *core, guint32 team);
