/* Whether a task may start now, and on this machine. No other module decides it.
 *
 * The verdict has two halves, as a pass needs the first once for each job and the second for many
 * machines. A start needs HR_START_OK of both.
 */
#pragma once
#include "coordination/state.h"

typedef enum {
  HR_START_OK,
  /* Of the job. */
  HR_START_RETRY_PAUSE, /* it failed, and is not tried again yet */
  HR_START_QUOTA,       /* its team's limit, or another team's guarantee, does not let it start */
  /* Of the machine. */
  HR_START_NO_CAPACITY, /* the task does not fit beside what is there, or the agent said so */
  HR_START_UNSUITABLE,  /* the machine is not reachable, or the job may not be placed there */
  HR_START_RESERVED,    /* all else is right, but what is free is reserved for services */
} HrStartVerdict;

/**
 * hr_job_is_waiting:
 *
 * Returns: whether the job has tasks to start, as far as the job itself goes: it is not done or
 * cancelled, none of its attempts is ending, and it is in no pause after a failure.
 */
gboolean hr_job_is_waiting (const HrCore *core, const HrJob *job);

/**
 * hr_start_check_job:
 * @n: tasks that would start at once
 *
 * Returns: %HR_START_OK, %HR_START_RETRY_PAUSE or %HR_START_QUOTA.
 */
HrStartVerdict hr_start_check_job (HrCore *core, const HrJob *job, guint n);

/**
 * hr_start_check_machine:
 *
 * Returns: the verdict on a task of the job on this machine, whatever hr_start_check_job() says.
 */
HrStartVerdict hr_start_check_machine (HrCore *core, const HrJob *job, const HrMachine *machine);
