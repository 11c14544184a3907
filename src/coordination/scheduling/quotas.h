/* Limits of teams: grants the starts that each team's limit allows in a pass.
 *
 * Each pass grants the remaining quota of a team to its waiting jobs, by priority, then by
 * deadline; gangs get all or nothing. The plan, scaling and headroom only consider granted tasks,
 * so no capacity is reserved or requested for tasks that the limit does not let start. The quota
 * that is left at the first job that does not fit is reserved for it (quota_reservation.h).
 *
 * A grant that is not used for some time is lent: other jobs may use its quota for a limited time,
 * while the job itself may still start.
 */
#pragma once
#include "coordination/scheduling/team_usage.h"
#include "coordination/state.h"

/**
 * hr_quotas_pass:
 *
 * Counts the quota that each team uses and grants the rest of its limit. Called at the beginning of
 * each pass; does nothing before the machine types are known.
 */
void hr_quotas_pass (HrCore *core);

/**
 * hr_quotas_task_started:
 *
 * Records that a task of the job was assigned, which uses one start of the job's grant.
 */
void hr_quotas_task_started (HrCore *core, HrJob *job);

/**
 * hr_quotas_granted:
 *
 * Returns: how many more tasks of the job may start now under its team's limit; %G_MAXUINT if the
 * team has none.
 */
guint hr_quotas_granted (HrCore *core, const HrJob *job);

/**
 * hr_job_idle_tasks:
 *
 * Returns: the number of tasks that are neither on a machine nor done.
 */
guint hr_job_idle_tasks (const HrJob *job);

/**
 * hr_job_start_unit:
 *
 * Returns: the size of the job's start unit, the number of tasks that start together or not at all;
 * at least one. For a gang without live tasks these are all of its tasks; for other jobs, and for a
 * gang that lost tasks before its start, one.
 */
guint hr_job_start_unit (const HrJob *job);
