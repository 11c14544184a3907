#pragma once
#include "coordination/state.h"

/* The job is known, or has become ready. */
void hr_priority_inheritance_job_read (HrCore *core, HrJob *job);
/* These jobs (HrJob) need what they awaited no more. */
void hr_priority_inheritance_jobs_cancelled (HrCore *core, const GPtrArray *jobs);
