/* Admission: which jobs can never run on this platform, whatever is free. The decision rests on the
 * settings and the machine types alone, so every controller decides alike. Called for a new
 * submission, once the machine types are known; nothing is changed. */
#pragma once
#include "coordination/state.h"

#define HR_ADMISSION_ERROR (hr_admission_error_quark ())

/**
 * HrAdmissionError:
 * @HR_ADMISSION_ERROR_UNKNOWN_TEAM: the settings have no such team
 * @HR_ADMISSION_ERROR_FITS_NO_MACHINE_TYPE: a task fits no machine type and zone that the job
 * allows
 * @HR_ADMISSION_ERROR_CANNOT_SPREAD: a spread gang may use one zone only
 * @HR_ADMISSION_ERROR_BEYOND_TEAM_LIMIT: what has to run at once is more than the team's limit
 *
 * Why a job can never run here. The message is the text that its user gets.
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
 * @spec: the job as its user describes it
 * @error: (out): where to say why not
 *
 * Decides whether the job could run on an empty platform.
 *
 * Returns: %FALSE with @error of %HR_ADMISSION_ERROR when it can never run.
 */
gboolean hr_admission_check (const HrCore *core, const HrJobSpec *spec, GError **error);
