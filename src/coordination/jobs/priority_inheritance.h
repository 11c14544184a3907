/* Priority inheritance: deadline and priority of jobs that other jobs await. Users set both on the
 * last job of a pipeline, so they are inherited upstream: a job has the highest of its own priority
 * and its dependents' priorities, and the earliest of its own deadline and each dependent's
 * deadline minus the dependent's estimated run time (the critical path). The results are
 * HrJobPlan.priority and .deadline (real time, in seconds). They are preferences of the plan; no
 * safety rule depends on them.
 *
 * Each change visits a pipeline's edges once, dependents first. The traversal is iterative, since
 * chains may be hundreds of jobs long. */
#pragma once
#include "coordination/state.h"

/**
 * hr_priority_inheritance_update:
 * @job: a job that has just become known or ready
 *
 * Computes the job's priority and deadline, and propagates them to the jobs that it awaits.
 */
void hr_priority_inheritance_update (HrCore *core, HrJob *job);

/**
 * hr_priority_inheritance_jobs_cancelled:
 * @jobs: (element-type HrJob): jobs that were just cancelled
 *
 * Recomputes priority and deadline of the jobs that the cancelled jobs awaited, since these no
 * longer inherit from the cancelled ones.
 */
void hr_priority_inheritance_jobs_cancelled (HrCore *core, const GPtrArray *jobs);
