/* What an answer to a worker's report holds. An answer of 200 renews the worker's lease, so this is
 * the one place that gives any, under one invariant: whoever renews a lease names in the same
 * answer a stop for every task in that report, and on the tables of its incarnation, whose job is
 * cancelled or done; or does not renew it. The argument is in docs/design.md, "Renewing a lease".
 */
#pragma once
#include "coordination/state.h"

typedef enum {
  HR_HEARTBEAT_CURRENT,     /* the newest message of a worker that knows our token */
  HR_HEARTBEAT_OVERTAKEN,   /* a newer message came before it, or it is a late copy */
  HR_HEARTBEAT_BEFORE_TOKEN /* sent before its worker heard from this leader, at an unknown time */
} HrHeartbeatKind;

/* Answers the report: 200 with orders, or 503 where its worker's lease has to run out. orders:
 * HrOrder, what the report itself led to; the rest is added here. Of a report that is not current
 * only stops of what is over follow, which are right however old it is. */
void hr_lease_renewal_answer (HrCore *core, HrCommand *command, HrMachine *machine,
                              const HrHeartbeat *heartbeat, HrHeartbeatKind kind, GArray *orders);
/* One line about a report that gets no 200. machine: NULL where the report was not read. */
void hr_lease_renewal_log_refusal (const HrCore *core, const char *machine, const char *reason);
/* A task that is shown or recorded there and has to be named, but is not: "job/task", to be freed.
 * NULL when the orders may go out with a renewal. */
char *hr_lease_renewal_missing_stop (HrCore *core, const HrMachine *machine,
                                     const HrHeartbeat *heartbeat, const GArray *orders);
