/* Guarantees of teams: what other teams may borrow, and how it is reclaimed.
 *
 * A job is within its team's guarantee when it fits into it together with the team's earlier
 * unfinished jobs. While such a job waits, other teams start nothing beyond their own guarantees,
 * and what they run beyond them is preempted for it. With one team none of this acts.
 */
#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

/**
 * hr_guarantees_mark_jobs:
 *
 * Marks the open jobs that are within their team's guarantee, and those of them that reclaim it.
 * Called at the beginning of each pass, once quotas are granted.
 */
void hr_guarantees_mark_jobs (HrCore *core);

/**
 * hr_guarantees_preempt:
 * @fleet: what is free
 *
 * Preempts other teams' work beyond their guarantee for the jobs that reclaim theirs.
 */
void hr_guarantees_preempt (HrCore *core, HrFleetCapacity *fleet);

/**
 * hr_team_allows_start:
 *
 * Returns: whether @n more tasks of the job may be on machines, as far as the limit of its team and
 * the guarantees of the others go.
 */
gboolean hr_team_allows_start (HrCore *core, const HrJob *job, guint n);

/**
 * hr_team_exceeds_guarantee:
 *
 * Returns: whether the job's team would run more than it is guaranteed with @n more tasks of the
 * job. A team without a guarantee always does.
 */
gboolean hr_team_exceeds_guarantee (HrCore *core, const HrJob *job, guint n);
