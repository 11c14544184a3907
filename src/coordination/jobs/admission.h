/* Admission control: rejects jobs that could not run even on an empty cluster. The decision depends
 * only on the settings and the machine types, so every controller decides the same. It is made for
 * each new submission once the machine types are known, and changes no state. */
#pragma once
#include "coordination/state.h"

#define HR_ADMISSION_ERROR (hr_admission_error_quark ())

/**
 * HrAdmissionError:
 * @HR_ADMISSION_ERROR_UNKNOWN_TEAM: the settings have no such team
 * @HR_ADMISSION_ERROR_FITS_NO_MACHINE_TYPE: a task fits no machine type and zone that the job
 * allows
 * @HR_ADMISSION_ERROR_CANNOT_SPREAD: the gang must be spread over zones, but can use only one
 * @HR_ADMISSION_ERROR_BEYOND_TEAM_LIMIT: the tasks that must run at the same time exceed the
 * team's limit
 *
 * Reasons why a job can never run here. The error's message is returned to the user.
 */
typedef enum {
  HR_ADMISSION_ERROR_UNKNOWN_TEAM,
  HR_ADMISSION_ERROR_FITS_NO_MACHINE_TYPE,
  HR_ADMISSION_ERROR_CANNOT_SPREAD,
  HR_ADMISSION_ERROR_BEYOND_TEAM_LIMIT,
} HrAdmissionError;

GQuark hr_admission_error_quark (void);

/**
 * hr_admission_check:
 * @core: the controller; its machine types must be known
 * @spec: the job's specification, as submitted
 * @error: (out): return location for the reason of a rejection
 *
 * Checks whether the job could run on an empty cluster.
 *
 * Returns: %FALSE, with @error set to a %HR_ADMISSION_ERROR, if the job can never run.
 */
gboolean hr_admission_check (const HrCore *core, const HrJobSpec *spec, GError **error);
