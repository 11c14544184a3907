/* Which jobs can never run here. */
#include "coordination/jobs/admission.h"
#include "coordination/scheduling/quotas.h"
#include "coordination/state.h"

typedef struct {
  gboolean one, several; /* zones in which a task fits a machine type that the job allows */
} ZonesThatFit;

static ZonesThatFit
zones_that_fit (const HrCore *core, const HrJobSpec *spec)
{
  ZonesThatFit found = {FALSE, FALSE};
  guint32 first = HR_NONE;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    const HrMachineType *type = &g_array_index (core->scaling.machine_types, HrMachineType, i);
    if ((spec->types && !(spec->types >> type->type & 1)) || spec->cpus > type->cpus ||
        spec->gpus > type->gpus || spec->memory_gb > type->memory_gb)
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

char *
hr_admission_refusal_reason (HrCore *core, const HrJobSpec *spec)
{
  const HrTeam *team = hr_team (core, spec->team);
  if (!team)
    return g_strdup_printf ("team %s is not known here",
                            hr_intern_name (&core->names->teams, spec->team));
  ZonesThatFit zones = zones_that_fit (core, spec);
  if (!zones.one)
    return g_strdup ("a task fits no machine type that the job allows");
  /* A gang's tasks run at the same time, and at most half of them in one zone. Accepted, it
   * would wait for ever. */
  if (spec->shape == HR_GANG && spec->spread && spec->tasks > 1 &&
      (spec->one_zone || !zones.several))
    return g_strdup ("at most half of its tasks may be in one zone, and it allows no second one");
  double n = spec->shape == HR_BATCH ? 1 : spec->tasks;
  if ((team->cpus_max > 0 && n * spec->cpus > team->cpus_max + 1e-6) ||
      (team->gpus_max > 0 && n * spec->gpus > team->gpus_max + 1e-6))
    return g_strdup ("it needs more than its team's limit");
  return NULL;
}
