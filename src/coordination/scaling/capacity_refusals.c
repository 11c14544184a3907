/* Recent refusals of instance requests for lack of capacity. */
#include "coordination/scaling/capacity_refusals.h"
#include "coordination/scaling/machine_types.h"

/* How long a refusal blocks further requests of the same kind. */
#define CAPACITY_REFUSAL_S 8.0

/* Returns the latest refusal of such instances, expired or not; NULL if there was none. */
static HrCapacityRefusal *
find_refusal (const HrCore *core, guint32 type, guint32 zone, gboolean spot)
{
  GArray *refusals = core->scaling.capacity_refusals;
  for (guint i = 0; i < refusals->len; i++) {
    HrCapacityRefusal *refusal = &g_array_index (refusals, HrCapacityRefusal, i);
    if (refusal->type == type && refusal->zone == zone && refusal->is_spot == spot)
      return refusal;
  }
  return NULL;
}

static gboolean
is_refused_everywhere (const HrCore *core, guint32 type, gboolean spot)
{
  const HrMachineType *machine_type = hr_machine_type_find (core, type);
  for (guint i = 0; machine_type && i < machine_type->zones->len; i++)
    if (!hr_capacity_is_refused (core, type, g_array_index (machine_type->zones, guint32, i), spot))
      return FALSE;
  return TRUE;
}

gboolean
hr_capacity_is_refused (const HrCore *core, guint32 type, guint32 zone, gboolean spot)
{
  if (zone == HR_NONE)
    return is_refused_everywhere (core, type, spot);
  const HrCapacityRefusal *refusal = find_refusal (core, type, zone, spot);
  return refusal && core->now < refusal->until;
}

void
hr_capacity_note_refusal (HrCore *core, guint32 type, guint32 zone, gboolean spot)
{
  HrCapacityRefusal latest = {type, zone, spot, core->now + CAPACITY_REFUSAL_S};
  HrCapacityRefusal *refusal = find_refusal (core, type, zone, spot);
  if (refusal)
    *refusal = latest;
  else
    g_array_append_val (core->scaling.capacity_refusals, latest);
}
