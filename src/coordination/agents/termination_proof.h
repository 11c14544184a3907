#pragma once
#include "coordination/state.h"

/* A lease and its margin: the longest that a worker may keep tasks unanswered. */
double hr_lease_duration_s (const HrCore *core);
gboolean hr_lease_has_expired (const HrCore *core, const HrMachine *machine);
gboolean hr_termination_orders_settled (const HrMachine *machine);
gboolean hr_termination_cancelled_may_start (const HrCore *core, const HrMachine *machine);
void hr_termination_note_direct_launch (HrMachine *machine, guint32 job_index, guint32 task_index,
                                        guint32 attempt, guint64 token);
gboolean hr_termination_may_clear (const HrCore *core, HrMachine *machine, guint32 job_index,
                                   guint32 task_index, guint32 attempt);
void hr_agents_tick (HrCore *core);
/* Every task of incarnations up to `upto` is gone from the machine. */
void hr_termination_incarnations_over (HrCore *core, HrMachine *machine, guint32 upto,
                                       const char *why);
