/* Decides whether a task may start now on a given machine. No other module decides this.
 *
 * There are two checks, because a pass needs the first once per job and the second for many
 * machines. A task may start only if both return HR_START_OK.
 */
#pragma once
#include "coordination/state.h"

typedef enum {
  HR_START_OK,
  /* Verdicts on the job. */
  HR_START_RETRY_PAUSE, /* the job failed and is in its pause before the retry */
  HR_START_QUOTA,       /* not allowed by its team's limit or another team's guarantee */
  /* Verdicts on the machine. */
  HR_START_NO_CAPACITY, /* the task does not fit, or the worker reported that the machine is full */
  HR_START_UNSUITABLE,  /* the machine is not reachable, or the job may not be placed there */
  HR_START_RESERVED,    /* the task would fit, but the capacity is reserved for other jobs */
} HrStartVerdict;

/**
 * hr_job_is_waiting:
 *
 * Returns: whether the job itself has tasks that may start: it is not done or cancelled, no attempt
 * of it is ending, and it is not in a retry pause after a failure.
 */
gboolean hr_job_is_waiting (const HrCore *core, const HrJob *job);

/**
 * hr_job_waits_for_capacity:
 *
 * Returns: whether an array or a gang has tasks that may start as soon as there is capacity for
 * them. A gang that lost a task before its start has none: its other tasks are on machines already
 * (hr_start_lost_gang_tasks()).
 */
gboolean hr_job_waits_for_capacity (HrCore *core, const HrJob *job);

/**
 * hr_start_check_job:
 * @n: number of tasks that would start together
 *
 * Returns: %HR_START_OK, %HR_START_RETRY_PAUSE or %HR_START_QUOTA.
 */
HrStartVerdict hr_start_check_job (HrCore *core, const HrJob *job, guint n);

/**
 * hr_start_check_machine:
 *
 * Returns: the verdict on starting a task of the job on this machine, independent of
 * hr_start_check_job().
 */
HrStartVerdict hr_start_check_machine (HrCore *core, const HrJob *job, const HrMachine *machine);
