#pragma once
#include "coordination/state.h"

void hr_task_assign (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine,
                     guint32 attempt);
void hr_task_bound (HrCore *core, HrJob *job, guint32 task_index);
void hr_task_unassign (HrCore *core, HrJob *job, guint32 task_index);
void hr_task_gone (HrCore *core, HrJob *job, guint32 task_index, HrExitCause why,
                   const char *proof);
void hr_task_done (HrCore *core, HrJob *job, guint32 task_index);
void hr_task_stop (HrCore *core, HrJob *job, guint32 task_index, double grace);
/* All its tasks are recorded, of one attempt. */
gboolean hr_gang_ready (const HrJob *job);
/* Is it too early to launch this task of a gang that is ready? */
gboolean hr_gang_delays_launch (const HrCore *core, const HrJob *job, const HrTask *task);
/* Ends a gang's attempt: all its tasks have to go before the next one. */
void hr_gang_end_attempt (HrCore *core, HrJob *job, double grace);
/* A gang completes together: one is done, so all of that attempt (any: of all attempts) are, also
 * those whose machine went before it could say so. */
void hr_gang_done (HrCore *core, HrJob *job, guint32 attempt, gboolean any);
void hr_job_cancelled (HrCore *core, HrJob *job);
guint32 hr_job_next_attempt (const HrJob *job);
/* Tasks that are recorded on machines. The job has its tasks. */
guint hr_job_bound_tasks (const HrJob *job);
