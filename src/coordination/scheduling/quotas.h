/* Limits of teams: what they let start in a pass, and in which order.
 *
 * Each pass hands out what a team's limit leaves to the jobs that wait, by priority, then by
 * deadline; gangs get all or nothing. The plan, scaling and headroom count these grants alone, so
 * no capacity is reserved or requested for what the limit holds up. What the first job that does
 * not fit leaves over is reserved for it (quota_reservation.h).
 *
 * A grant that is not used for some time is lent: others may use that share for a pause, while the
 * job itself may still start.
 */
#pragma once
#include "coordination/scheduling/team_usage.h"
#include "coordination/state.h"

/**
 * hr_quotas_pass:
 *
 * Counts what each team uses and hands out what the limits leave. Begins each pass; does nothing
 * before the machine types are known.
 */
void hr_quotas_pass (HrCore *core);

/**
 * hr_quotas_task_started:
 *
 * Notes that a task of the job was assigned: it uses one start of the job's grant.
 */
void hr_quotas_task_started (HrCore *core, HrJob *job);

/**
 * hr_quotas_granted:
 *
 * Returns: how many more tasks of the job its team's limit lets start now; %G_MAXUINT: no limit.
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
 * Returns: how many tasks start at once or not at all; at least one. For a gang these are all of
 * its tasks; for other jobs, and for a gang that lost tasks before its start, one.
 */
guint hr_job_start_unit (const HrJob *job);
