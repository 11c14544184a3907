/* Guarantees of teams: other teams may borrow an unused guarantee, until a job reclaims it.
 *
 * A job is within its team's guarantee if the job and the team's earlier unfinished jobs fit into
 * it together. While such a job waits, other teams may not start tasks beyond their own guarantees,
 * and the tasks that they run beyond them may be preempted for the job. With a single team,
 * guarantees have no effect.
 */
#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_guarantees_mark_jobs:
 *
 * Marks the open jobs that are within their team's guarantee, and those of them that reclaim it.
 * Called at the beginning of each pass, after the quotas are granted.
 */
void hr_guarantees_mark_jobs (HrCore *core);

/**
 * hr_guarantees_preempt:
 * @fleet: the free capacity
 *
 * Preempts tasks of teams that exceed their guarantees for the jobs that reclaim theirs.
 */
void hr_guarantees_preempt (HrCore *core, HrFleetCapacity *fleet);

/**
 * hr_team_allows_start:
 *
 * Returns: whether the limit of the job's team and the guarantees of the other teams let @n more
 * tasks of the job start.
 */
gboolean hr_team_allows_start (HrCore *core, const HrJob *job, guint n);

/**
 * hr_team_exceeds_guarantee:
 *
 * Returns: whether the job's team would exceed its guarantee with @n more tasks of the job. A team
 * without a guarantee, or not in the settings, always exceeds it.
 */
gboolean hr_team_exceeds_guarantee (HrCore *core, const HrJob *job, guint n);
