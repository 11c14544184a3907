/* Trial placements: compute the score of a list with one more task. */
#include "coordination/scheduling/trial.h"
#include "coordination/scheduling/lookups.h"
#include "coordination/scheduling/projection.h"
#include "coordination/scheduling/task_lists.h"

HrTrial
hr_trial_insert (HrCore *core, HrMachine *machine, HrTaskRef ref)
{
  HrMachinePlan *plan = &machine->plan;
  guint late_count = plan->late_count;
  double tardiness = plan->tardiness, ready_at = plan->ready_at;
  guint at = hr_list_position (core, machine, ref);
  g_array_insert_val (plan->list, at, ref);
  double *starts = hr_projection_scratch (plan->list->len);
  hr_project_list (core, machine, starts);
  HrTrial trial = {{plan->late_count - late_count, plan->tardiness - tardiness}, starts[at]};
  g_array_remove_index (plan->list, at);
  plan->late_count = late_count;
  plan->tardiness = tardiness;
  plan->ready_at = ready_at;
  return trial;
}
