/* Priority inheritance: deadline and priority of jobs that others await. Users set both on the last
 * job of a pipeline, so they are inherited upstream: a job has the highest priority of its own and
 * its dependents', and the earliest of its own deadline and theirs less their estimated run times
 * (the critical path). Results: HrJobPlan.priority and .deadline (time of day, s). They are
 * preferences of the plan, on which no rule rests.
 *
 * Each change visits a pipeline's edges once, dependents first; without recursion, since chains may
 * be hundreds of jobs long. */
#pragma once
#include "coordination/state.h"

/**
 * hr_priority_inheritance_job_read:
 * @job: a job that has become known, or ready
 *
 * Computes what holds for the job, and has the jobs that it awaits inherit from it.
 */
void hr_priority_inheritance_job_read (HrCore *core, HrJob *job);

/**
 * hr_priority_inheritance_jobs_cancelled:
 * @jobs: (element-type HrJob): jobs that were cancelled just now
 *
 * Computes anew what holds for the jobs that these awaited: they inherit nothing from them any
 * more.
 */
void hr_priority_inheritance_jobs_cancelled (HrCore *core, const GPtrArray *jobs);
