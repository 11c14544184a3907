/* Sums up the demand for instances in a dispatch pass. */
#include "coordination/scaling/demand.h"
#include "coordination/scaling/capacity_refusals.h"
#include "coordination/scheduling/resources.h"
#include <math.h>

/* Demand for instances of one kind. */
typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  HrResources left; /* unused capacity of the last instance counted */
  guint instances;
} DemandEntry;

/* The kind of instance to request for a task; type is NULL if none is suitable. */
typedef struct {
  const HrMachineType *type;
  gboolean is_spot;
} InstanceChoice;

HrTaskNeed
hr_task_need_of_job (const HrJobSpec *spec)
{
  return (HrTaskNeed){hr_resources_of_task (spec), spec->types, spec->zone, spec->allows_spot};
}

HrTaskNeed
hr_task_need_of_class (const HrClassStats *stats)
{
  return (HrTaskNeed){hr_resources_of_class (stats), stats->types, HR_NONE, stats->allows_spot};
}

void
hr_demand_plan_init (HrDemandPlan *demand)
{
  demand->entries = g_array_new (FALSE, TRUE, sizeof (DemandEntry));
}

void
hr_demand_plan_clear (HrDemandPlan *demand)
{
  g_clear_pointer (&demand->entries, g_array_unref);
}

static gboolean
type_fits (const HrMachineType *type, const HrTaskNeed *need)
{
  return (!need->types || (need->types >> type->type & 1)) &&
         hr_resources_at_least (hr_resources_of_type (type), need->resources);
}

/* Returns the share of such a machine that the task uses: the largest of its resource shares. */
static double
share_of_machine (const HrMachineType *type, HrResources need)
{
  double gpus = need.gpus > 0 ? need.gpus / type->gpus : 0;
  return MAX (MAX (need.cpus / type->cpus, gpus), need.memory_gb / type->memory_gb);
}

/* Returns the kind of instance on which the task is cheapest, among those that the cloud has not
 * refused recently. The zone is chosen when the request is sent, unless the task requires one. */
static InstanceChoice
choose_instance (const HrCore *core, const HrTaskNeed *need)
{
  InstanceChoice best = {NULL, FALSE};
  double lowest_price = INFINITY;
  gboolean tries_spot = need->allows_spot && core->policy.spot_use > 0;
  for (guint i = 0; i < core->scaling.machine_types->len; i++) {
    const HrMachineType *type = &g_array_index (core->scaling.machine_types, HrMachineType, i);
    if (!type_fits (type, need))
      continue;
    double share = share_of_machine (type, need->resources);
    for (int spot = 0; spot <= tries_spot; spot++) {
      double price = (spot ? type->spot_price : type->price) * share;
      if (price < lowest_price && !hr_capacity_is_refused (core, type->type, need->zone, spot)) {
        lowest_price = price;
        best = (InstanceChoice){type, spot};
      }
    }
  }
  return best;
}

/* Returns the entry for this kind of instance; adds one if there is none. */
static DemandEntry *
find_or_add_entry (HrDemandPlan *demand, InstanceChoice choice, guint32 zone)
{
  for (guint i = 0; i < demand->entries->len; i++) {
    DemandEntry *entry = &g_array_index (demand->entries, DemandEntry, i);
    if (entry->type == choice.type->type && entry->zone == zone && entry->is_spot == choice.is_spot)
      return entry;
  }
  DemandEntry entry = {choice.type->type, zone, choice.is_spot, {0, 0, 0}, 0};
  g_array_append_val (demand->entries, entry);
  return &g_array_index (demand->entries, DemandEntry, demand->entries->len - 1);
}

void
hr_demand_plan_add (HrCore *core, HrDemandPlan *demand, const HrTaskNeed *need)
{
  InstanceChoice choice = choose_instance (core, need);
  if (!choice.type)
    return;
  DemandEntry *entry = find_or_add_entry (demand, choice, need->zone);
  if (!hr_resources_cover (entry->left, need->resources)) {
    entry->instances++;
    entry->left = hr_resources_of_type (choice.type);
  }
  hr_resources_subtract (&entry->left, need->resources);
}

void
hr_demand_plan_submit (HrCore *core, const HrDemandPlan *demand)
{
  g_array_set_size (core->scaling.demand, 0);
  for (guint i = 0; i < demand->entries->len; i++) {
    const DemandEntry *entry = &g_array_index (demand->entries, DemandEntry, i);
    HrDemand total = {entry->type, entry->zone, entry->is_spot, entry->instances};
    if (total.count)
      g_array_append_val (core->scaling.demand, total);
  }
}
