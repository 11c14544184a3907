/* Builds the lists of orders (HrOrder, protocol/worker.h) for a worker, for the answer to its
 * heartbeat or for a direct call. An appended order is counted and logged as sent, so a list is
 * built only to be sent; the exception is the answer to a direct call, see heartbeats.c. Orders
 * borrow the ids of jobs. Leader only. */
#pragma once
#include "coordination/agents/order_verdicts.h"
#include "coordination/state.h"

/**
 * hr_orders_append_recorded:
 * @orders: HrOrder; appended to
 * @is_direct: %TRUE for a direct call, %FALSE for the answer to a heartbeat
 *
 * Appends the launches and stops of the tasks that are recorded on the machine in its current
 * incarnation.
 *
 * Returns: whether a launch was appended.
 */
gboolean hr_orders_append_recorded (HrCore *core, HrMachine *machine, GArray *orders,
                                    gboolean is_direct);

/**
 * hr_orders_append_stop:
 * @orders: HrOrder; appended to
 * @reason: for the log
 *
 * Appends a stop without a grace period, for the answer to a heartbeat.
 */
void hr_orders_append_stop (HrCore *core, const HrMachine *machine, GArray *orders,
                            const char *job_id, guint32 task_index, guint64 attempt,
                            HrStopReason reason);

/**
 * hr_orders_append_clear:
 * @orders: HrOrder; appended to
 *
 * Appends a clear order, for the answer to a heartbeat.
 */
void hr_orders_append_clear (HrCore *core, const HrMachine *machine, GArray *orders,
                             const char *job_id, guint32 task_index, guint64 attempt);

/**
 * hr_orders_contain_stop:
 *
 * Returns: whether the orders contain a stop of this attempt.
 */
gboolean hr_orders_contain_stop (const GArray *orders, const char *job_id, guint32 task_index,
                                 guint64 attempt);

/**
 * hr_orders_count:
 *
 * Returns: the number of orders of this kind.
 */
guint hr_orders_count (const GArray *orders, HrOrderKind kind);
