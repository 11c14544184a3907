/* Answers workers' heartbeats. An answer with status 200 renews the worker's lease. Only this
 * module sends such answers, under one invariant: an answer that renews a lease contains a stop for
 * every task whose job is cancelled or done, among the tasks in the heartbeat and those recorded on
 * the machine in its incarnation. If a stop is missing, the lease is not renewed. The checks are in
 * renewal_checks.h, the reasoning in docs/design.md, "Renewing a lease". */
#pragma once
#include "coordination/agents/renewal_checks.h"
#include "coordination/state.h"

/* How far a heartbeat may be relied on. */
typedef enum {
  HR_HEARTBEAT_CURRENT,     /* the newest message of a worker that has seen this leader's token */
  HR_HEARTBEAT_SUPERSEDED,  /* a newer message arrived before it, or it is a late copy */
  HR_HEARTBEAT_BEFORE_TOKEN /* sent before the worker heard from this leader, at an unknown time */
} HrHeartbeatKind;

/**
 * hr_lease_renewal_answer:
 * @heartbeat: has passed the checks of node, token and machine
 * @orders: HrOrder: the orders that follow from the heartbeat's tasks; all other orders are
 * appended
 *
 * Answers the heartbeat: 200 with orders, or 503 if the worker's lease has to run out. The answer
 * to a heartbeat that is not current only contains stops of tasks whose jobs are cancelled or done,
 * which are correct however old the heartbeat is.
 */
void hr_lease_renewal_answer (HrCore *core, HrCommand *command, HrMachine *machine,
                              const HrHeartbeat *heartbeat, HrHeartbeatKind kind, GArray *orders);

/**
 * hr_lease_renewal_refuse:
 * @machine_name: (nullable): %NULL if the heartbeat was not parsed
 * @verdict: any but HR_RENEWAL_ALLOWED
 *
 * Refuses the heartbeat, counts and logs it. The worker tries other controllers; its lease runs out
 * unless one of them renews it.
 */
void hr_lease_renewal_refuse (HrCore *core, HrCommand *command, const char *machine_name,
                              HrRenewalVerdict verdict);

/**
 * hr_lease_renewal_missing_stop:
 *
 * Returns: (transfer full) (nullable): "job/task" of the first required stop that is missing from
 * the orders; %NULL if the orders may be sent with a renewal.
 */
char *hr_lease_renewal_missing_stop (const HrCore *core, const HrMachine *machine,
                                     const HrHeartbeat *heartbeat, const GArray *orders);
