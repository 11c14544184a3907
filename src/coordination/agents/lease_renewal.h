/* Answers to workers' reports. An answer of 200 renews the worker's lease, so this is the one place
 * that gives any, under one invariant: whoever renews a lease names in the same answer a stop for
 * every task in that report, and on the records of its incarnation, whose job is cancelled or done;
 * or does not renew it. renewal_checks.h has the checks, docs/design.md, "Renewing a lease", the
 * argument. */
#pragma once
#include "coordination/agents/renewal_checks.h"
#include "coordination/state.h"

/* What a report may be relied on for. */
typedef enum {
  HR_HEARTBEAT_CURRENT,     /* the newest message of a worker that knows our token */
  HR_HEARTBEAT_OVERTAKEN,   /* a newer message came before it, or it is a late copy */
  HR_HEARTBEAT_BEFORE_TOKEN /* sent before its worker heard from this leader, at an unknown time */
} HrHeartbeatKind;

/**
 * hr_lease_renewal_answer:
 * @report: has passed the checks of node, token and machine
 * @orders: HrOrder; what the report itself led to. The rest is appended here.
 *
 * Answers the report: 200 with orders, or 503 where its worker's lease has to run out. Of a report
 * that is not current only stops of what is over follow, which are right however old it is.
 */
void hr_lease_renewal_answer (HrCore *core, HrCommand *command, HrMachine *machine,
                              const HrHeartbeat *report, HrHeartbeatKind kind, GArray *orders);

/**
 * hr_lease_renewal_refuse:
 * @machine_name: (nullable): NULL where the report was not read
 * @verdict: any but HR_RENEWAL_ALLOWED
 *
 * Refuses the report: its worker goes on to other nodes, and unless one of them renews the lease,
 * that runs out. Counts and logs it.
 */
void hr_lease_renewal_refuse (HrCore *core, HrCommand *command, const char *machine_name,
                              HrRenewalVerdict verdict);

/**
 * hr_lease_renewal_missing_stop:
 *
 * Returns: (transfer full) (nullable): "job/task" of a stop that the orders have to name and do
 * not; NULL when they may go out with a renewal.
 */
char *hr_lease_renewal_missing_stop (const HrCore *core, const HrMachine *machine,
                                     const HrHeartbeat *report, const GArray *orders);
