#pragma once
#include "coordination/scheduling/plan.h"
#include "coordination/state.h"

gboolean hr_list_score_better (HrListScore left, HrListScore right);
/* The lists that may take the job's tasks, earliest-starting first. */
GPtrArray *hr_mtedf_order (HrCore *core, GPtrArray *lists, HrJob *job);
/* tries: how many lists a task is tried in. */
gboolean hr_mtedf_task (HrCore *core, GPtrArray *order, HrJob *job, guint32 task_index,
                        guint tries);
void hr_mtedf_gang (HrCore *core, GPtrArray *lists, HrJob *job, guint tries);
