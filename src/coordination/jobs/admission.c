/* Admission: a check of a new job against the machine types and the settings, condition by
 * condition. */
#include "coordination/jobs/admission.h"
#include "coordination/scheduling/quotas.h"

/* Slack of a sum of CPUs or GPUs against a team's limit, for rounding. */
#define LIMIT_TOLERANCE 1e-6

G_DEFINE_QUARK (hr - admission - error - quark, hr_admission_error)

/* Zones in which a task fits a machine type that the job allows. */
typedef struct {
  gboolean one, several;
} FittingZones;

static gboolean
fits_type (const HrJobSpec *spec, const HrMachineType *type)
{
  gboolean is_allowed = !spec->types || (spec->types >> type->type & 1);
  return is_allowed && spec->cpus <= type->cpus && spec->gpus <= type->gpus &&
         spec->memory_gb <= type->memory_gb;
}

static FittingZones
fitting_zones (const HrCore *core, const HrJobSpec *spec)
{
  FittingZones found = {FALSE, FALSE};
  guint32 first = HR_NONE;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    const HrMachineType *type = &g_array_index (core->scaling.machine_types, HrMachineType, i);
    if (!fits_type (spec, type))
      continue;
    for (guint k = 0; k < type->zones->len; k++) {
      guint32 zone = g_array_index (type->zones, guint32, k);
      if (spec->zone != HR_NONE && zone != spec->zone)
        continue;
      found.several |= found.one && zone != first;
      found.one = TRUE;
      first = zone;
    }
  }
  return found;
}

/* A gang's tasks run at the same time, and at most half of a spread gang's in one zone. Without a
 * second zone it would wait for ever. */
static gboolean
can_spread (const HrJobSpec *spec, FittingZones zones)
{
  gboolean needs_two_zones = spec->shape == HR_GANG && spec->spread && spec->tasks > 1;
  return !needs_two_zones || (zones.several && !spec->one_zone);
}

/* Does the team's limit leave what has to run at once: a task of a batch, all of other jobs? */
static gboolean
fits_team_limit (const HrJobSpec *spec, const HrTeam *team)
{
  double tasks = spec->shape == HR_BATCH ? 1 : spec->tasks;
  return (team->cpus_max <= 0 || tasks * spec->cpus <= team->cpus_max + LIMIT_TOLERANCE) &&
         (team->gpus_max <= 0 || tasks * spec->gpus <= team->gpus_max + LIMIT_TOLERANCE);
}

gboolean
hr_admission_check (const HrCore *core, const HrJobSpec *spec, GError **error)
{
  const HrTeam *team = hr_team (core, spec->team);
  if (!team) {
    g_set_error (error, HR_ADMISSION_ERROR, HR_ADMISSION_ERROR_UNKNOWN_TEAM,
                 "team %s is not known here", hr_intern_name (&core->names->teams, spec->team));
    return FALSE;
  }
  FittingZones zones = fitting_zones (core, spec);
  if (!zones.one) {
    g_set_error_literal (error, HR_ADMISSION_ERROR, HR_ADMISSION_ERROR_FITS_NO_MACHINE_TYPE,
                         "a task fits no machine type that the job allows");
    return FALSE;
  }
  if (!can_spread (spec, zones)) {
    g_set_error_literal (error, HR_ADMISSION_ERROR, HR_ADMISSION_ERROR_CANNOT_SPREAD,
                         "at most half of its tasks may be in one zone, and it allows no second "
                         "one");
    return FALSE;
  }
  if (!fits_team_limit (spec, team)) {
    g_set_error_literal (error, HR_ADMISSION_ERROR, HR_ADMISSION_ERROR_BEYOND_TEAM_LIMIT,
                         "it needs more than its team's limit");
    return FALSE;
  }
  return TRUE;
}
