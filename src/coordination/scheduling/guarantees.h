#pragma once
#include "coordination/scheduling/free_capacity.h"
#include "coordination/state.h"

gboolean hr_team_allows_start (HrCore *core, const HrJob *job, guint n);
void hr_guarantees_mark_jobs (HrCore *core);
/* What a team is guaranteed it gets from those that run beyond theirs. */
void hr_guarantees_preempt (HrCore *core, HrFreeCapacity *capacities);
/* Does the team run more than it is guaranteed, or would n more tasks stay within? */
gboolean hr_team_exceeds_guarantee (HrCore *core, const HrJob *job, guint n);
int hr_by_submission (gconstpointer left, gconstpointer right); /* for arrays of HrJob */
