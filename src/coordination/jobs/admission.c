/* Admission control: checks a new job against the machine types and the settings. */
#include "coordination/jobs/admission.h"
#include "coordination/scheduling/quotas.h"

/* Tolerance for rounding errors when CPUs or GPUs are compared with a team's limit. */
#define LIMIT_TOLERANCE 1e-6

G_DEFINE_QUARK (hr - admission - error - quark, hr_admission_error)

/* Whether a task fits an allowed machine type in any zone, and in several zones. */
typedef struct {
  gboolean any, several;
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
  guint32 previous = HR_NONE;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    const HrMachineType *type = &g_array_index (core->scaling.machine_types, HrMachineType, i);
    if (!fits_type (spec, type))
      continue;
    for (guint k = 0; k < type->zones->len; k++) {
      guint32 zone = g_array_index (type->zones, guint32, k);
      if (spec->zone != HR_NONE && zone != spec->zone)
        continue;
      found.several |= found.any && zone != previous;
      found.any = TRUE;
      previous = zone;
    }
  }
  return found;
}

/* All tasks of a gang run at the same time, and a spread gang has at most half of them in one zone.
 * Without a second zone the gang would wait forever. */
static gboolean
can_spread (const HrJobSpec *spec, FittingZones zones)
{
  gboolean needs_two_zones = spec->shape == HR_GANG && spec->spread && spec->tasks > 1;
  return !needs_two_zones || (zones.several && !spec->one_zone);
}

/* Checks the team's limit against the tasks that must run at the same time: one task of a batch,
 * all tasks of any other job. */
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
  if (!zones.any) {
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
