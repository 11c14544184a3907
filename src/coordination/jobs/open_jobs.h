/* The list of open jobs, which the leader processes. Planning, scaling, headroom, teams' limits and
 * guarantees, and arrival statistics all iterate over this list. Jobs are added only by
 * hr_job_open(), so a job that waits for other jobs takes part in none of these. */
#pragma once
#include "coordination/state.h"

/**
 * hr_job_open:
 * @job: a known job
 *
 * Adds the job to the list, unless it is in the list already, is compacted, or awaits a job that is
 * not done; a waiting job is added once the last job that it awaits is done. Must be called
 * whenever one of these conditions may have changed.
 */
void hr_job_open (HrCore *core, HrJob *job);
