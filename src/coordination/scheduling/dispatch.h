#pragma once
#include "coordination/state.h"

void hr_dispatch (HrCore *core);
/* Up, and heard of late. */
gboolean hr_machine_is_reachable (const HrCore *core, const HrMachine *machine);
/* Does a task of the job fit there now, as far as machine and zones go, in room that may be kept
 * for others? */
gboolean hr_dispatch_fits_now (HrCore *core, HrJob *job, HrMachine *machine);
/* Could a task of the job start there now, beside what is kept for services? */
gboolean hr_dispatch_startable (HrCore *core, HrJob *job, HrMachine *machine);
/* HrMachine: those that something more may start on; the others need not be looked at. */
GPtrArray *hr_dispatch_open_machines (HrCore *core);
/* Assigns the task to the machine, as its next attempt; it leaves the plan. */
void hr_dispatch_start (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine);
/* Is a better than b? Sooner done first; then the cheaper machine, then the fuller one. */
gboolean hr_dispatch_batch_better (HrCore *core, HrJob *job, HrMachine *left, HrMachine *right);
