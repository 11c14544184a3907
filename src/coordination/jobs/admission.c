/* Which jobs can never run here. */
#include "coordination/state.h"

typedef struct {
  gboolean one, several; /* zones in which a task fits a machine type that the job allows */
} ZonesThatFit;

static ZonesThatFit
zones_that_fit (const HrCore *c, const HrJobSpec *s)
{
  ZonesThatFit found = {FALSE, FALSE};
  guint32 first = HR_NONE;
  for (guint i = 0; i < c->scaling.machine_types->len; i++) {
    const HrMachineType *type = &g_array_index (c->scaling.machine_types, HrMachineType, i);
    if ((s->types && !(s->types >> type->type & 1)) || s->cpus > type->cpus ||
        s->gpus > type->gpus || s->memory_gb > type->memory_gb)
      continue;
    for (guint k = 0; k < type->zones->len; k++) {
      guint32 zone = g_array_index (type->zones, guint32, k);
      if (s->zone != HR_NONE && zone != s->zone)
        continue;
      found.several |= found.one && zone != first;
      found.one = TRUE;
      first = zone;
    }
  }
  return found;
}

char *
hr_admission_refusal_reason (HrCore *c, const HrJobSpec *s)
{
  const HrTeam *t = hr_team (c, s->team);
  if (!t)
    return g_strdup_printf ("team %s is not known here",
                            hr_intern_name (&c->names->teams, s->team));
  ZonesThatFit zones = zones_that_fit (c, s);
  if (!zones.one)
    return g_strdup ("a task fits no machine type that the job allows");
  /* A gang's tasks run at the same time, and at most half of them in one zone. Accepted, it
   * would wait for ever. */
  if (s->shape == HR_GANG && s->spread && s->tasks > 1 && (s->one_zone || !zones.several))
    return g_strdup ("at most half of its tasks may be in one zone, and it allows no second one");
  double n = s->shape == HR_BATCH ? 1 : s->tasks;
  if ((t->cpus_max > 0 && n * s->cpus > t->cpus_max + 1e-6) ||
      (t->gpus_max > 0 && n * s->gpus > t->gpus_max + 1e-6))
    return g_strdup ("it needs more than its team's limit");
  return NULL;
}
