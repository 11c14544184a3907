/* Orders to workers, as lists of HrOrder that are put together for one answer or call. */
#pragma once
#include "coordination/state.h"

/* Appends what is to be told to the machine of the tasks recorded there: starts, and stops that
 * are wanted. direct: for a direct call, else for the answer to a report. Returns whether a start
 * is among them. */
gboolean hr_orders_recorded (HrCore *core, HrMachine *machine, GArray *orders, gboolean direct);
/* Appends one stop without grace, in the answer to a report. why: for the log. */
void hr_orders_stop (HrCore *core, const HrMachine *machine, GArray *orders, const char *job_id,
                     guint32 task_index, guint32 attempt, const char *why);
/* Appends one clear, in the answer to a report. */
void hr_orders_clear (HrCore *core, const HrMachine *machine, GArray *orders, const char *job_id,
                      guint32 task_index, guint32 attempt);
/* Is a stop of this attempt among them? */
gboolean hr_orders_name_stop (const GArray *orders, const char *job_id, guint32 task_index,
                              guint32 attempt);
/* How many orders of this kind the list has. */
guint hr_orders_count (const GArray *orders, HrOrderKind kind);
