/* Puts together the orders (lists of HrOrder, protocol/worker.h) that go to a worker in the answer
 * to its report or in a direct call. An order that is appended is counted and logged as sent, so a
 * list is put together only to be sent; the exception is the answer to a direct call, see
 * heartbeats.c. Orders borrow the ids of jobs. Leader only. */
#pragma once
#include "coordination/agents/order_verdicts.h"
#include "coordination/state.h"

/**
 * hr_orders_recorded:
 * @orders: HrOrder; appended to
 * @is_direct: for a direct call; else for the answer to a report
 *
 * Appends the launches and stops of the tasks that are recorded on the machine, in its present
 * incarnation.
 *
 * Returns: whether a launch is among them.
 */
gboolean hr_orders_recorded (HrCore *core, HrMachine *machine, GArray *orders, gboolean is_direct);

/**
 * hr_orders_stop:
 * @orders: HrOrder; appended to
 * @reason: for the log
 *
 * Appends one stop without grace, for the answer to a report.
 */
void hr_orders_stop (HrCore *core, const HrMachine *machine, GArray *orders, const char *job_id,
                     guint32 task_index, guint32 attempt, HrStopReason reason);

/**
 * hr_orders_clear:
 * @orders: HrOrder; appended to
 *
 * Appends one clear, for the answer to a report.
 */
void hr_orders_clear (HrCore *core, const HrMachine *machine, GArray *orders, const char *job_id,
                      guint32 task_index, guint32 attempt);

/**
 * hr_orders_name_stop:
 *
 * Returns: whether a stop of this attempt is among the orders.
 */
gboolean hr_orders_name_stop (const GArray *orders, const char *job_id, guint32 task_index,
                              guint32 attempt);

/**
 * hr_orders_count:
 *
 * Returns: how many orders of this kind the list has.
 */
guint hr_orders_count (const GArray *orders, HrOrderKind kind);
