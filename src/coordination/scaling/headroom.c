/* Headroom: spare capacity for expected tasks that cannot wait for a machine to boot. */
#include "coordination/scaling/headroom.h"
#include "coordination/jobs/class_stats.h"
#include "coordination/scaling/capacity_search.h"
#include "coordination/scaling/machine_types.h"
#include <math.h>

/* Returns the period of arrivals that the headroom of a class covers, in boot times; 0: no
 * headroom. */
static double
headroom_boots (const HrCore *core, const HrClassStats *stats, guint32 job_class)
{
  double boots = 0;
  if (stats->shape == HR_SERVICE)
    return core->policy.headroom_boots;
  for (guint i = 0; i < core->settings->objectives->len; i++) {
    const HrObjective *objective = &g_array_index (core->settings->objectives, HrObjective, i);
    if (objective->job_class != job_class)
      continue;
    if (objective->kind == HR_OBJECTIVE_WAIT)
      boots = MAX (boots, core->policy.headroom_waits);
    else if (objective->kind == HR_OBJECTIVE_DEADLINE)
      boots = MAX (boots, core->policy.headroom_deadlines);
  }
  return boots;
}

guint
hr_headroom_wanted (HrCore *core, guint32 job_class)
{
  /* A class that appears only in old records has no statistics yet. */
  HrClassStats *stats = hr_class_stats (core, job_class);
  if (!stats->is_seen)
    return 0;
  double base = stats->shape == HR_SERVICE ? core->policy.headroom_base : 0;
  double boots = headroom_boots (core, stats, job_class);
  return lround (base +
                 hr_class_update_arrival_rate (core, stats, 0) * hr_longest_boot_s (core) * boots);
}

guint
hr_headroom (HrCore *core, guint32 job_class)
{
  return hr_class_stats (core, job_class)->headroom;
}

void
hr_scale_out_headroom (HrCore *core, HrFleetCapacity *fleet, HrDemandPlan *demand)
{
  for (guint k = 0; k < core->scheduling.class_stats->len; k++) {
    const HrClassStats *stats = &g_array_index (core->scheduling.class_stats, HrClassStats, k);
    HrTaskNeed need = hr_task_need_of_class (stats);
    HrCapacityCursor cursor = {0};
    for (guint n = hr_headroom (core, k); n > 0; n--)
      if (!hr_capacity_find (core, fleet, fleet->n, &cursor, NULL, &need))
        hr_demand_plan_add (core, demand, &need);
  }
}
