/* The list of open jobs: those that the leader has to look at. Planning, scaling, spare capacity,
 * teams' limits and guarantees, and statistics of arrivals all go by it. Every way into the list
 * leads through hr_job_open(), so a job that waits for others takes part in none of them. */
#pragma once
#include "coordination/state.h"

/**
 * hr_job_open:
 * @job: a known job
 *
 * Puts the job into the list, unless it is there, is compacted, or awaits a job that is not done:
 * then it comes in when the last of those is. Called whenever that may have changed.
 */
void hr_job_open (HrCore *core, HrJob *job);
