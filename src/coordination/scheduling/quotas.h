/* Limits of teams: what they let start in a pass, and in which order. */
#pragma once
#include "coordination/state.h"

/* Hands out what the limits leave to the jobs that wait. Begins each pass. */
void hr_quotas_pass (HrCore *c);
/* A task of the job was assigned. */
void hr_quotas_task_started (HrCore *c, HrJob *j);
/* How many tasks more of the job its team's limit lets start now; G_MAXUINT: no limit. */
guint hr_quotas_granted (HrCore *c, const HrJob *j);
/* Stops work of lower rank for jobs that their own team's limit holds back. */
void hr_quotas_preempt (HrCore *c);
/* Tasks of the job that are neither on a machine nor done, and how many of them start at once
 * or not at all. */
guint hr_job_idle_tasks (const HrJob *j);
guint hr_job_start_unit (const HrJob *j);
/* The team, as counted in this pass. */
HrTeamUsage *hr_team_usage (HrCore *c, guint32 team);
