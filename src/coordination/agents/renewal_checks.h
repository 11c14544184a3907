/* Who may renew a worker's lease, and with which stops. An answer of 200 to a report renews the
 * lease, so a report passes these checks in the order in which they stand here; the first one that
 * fails refuses it. They change nothing: lease_renewal.c acts on the verdicts. The argument why
 * they are enough is in docs/design.md, "Renewing a lease". */
#pragma once
#include "coordination/state.h"

/* Whether a lease may be renewed; else why not. */
typedef enum {
  HR_RENEWAL_ALLOWED,
  HR_RENEWAL_NOT_LEADER,
  HR_RENEWAL_READING_TOO_OLD, /* this leader may lack what others have confirmed since */
  HR_RENEWAL_NEWER_TOKEN,     /* the worker has heard from a later leader */
  HR_RENEWAL_MACHINE_RETURNED,
  HR_RENEWAL_EARLIER_INCARNATION,
  HR_RENEWAL_TYPE_UNKNOWN,    /* the cloud's list of machine types has not been read yet */
  HR_RENEWAL_LAUNCH_MAY_COME, /* a launch of a cancelled job's task may still take effect */
  HR_RENEWAL_STOP_NOT_NAMED   /* a fault of this program: the orders lack a stop */
} HrRenewalVerdict;

/**
 * hr_renewal_verdict_name:
 *
 * Returns: the reason as the log has it.
 */
const char *hr_renewal_verdict_name (HrRenewalVerdict verdict);

/**
 * hr_renewal_check_node:
 *
 * Before a report is read.
 *
 * Returns: whether this controller may renew any lease now.
 */
HrRenewalVerdict hr_renewal_check_node (const HrCore *core);

/**
 * hr_renewal_check_token:
 *
 * Returns: whether the worker has not heard from a later leader.
 */
HrRenewalVerdict hr_renewal_check_token (const HrCore *core, const HrHeartbeat *report);

/**
 * hr_renewal_check_machine:
 *
 * Before anything in the report counts.
 *
 * Returns: whether the machine is one whose worker may be answered.
 */
HrRenewalVerdict hr_renewal_check_machine (const HrCore *core, const HrMachine *machine,
                                           const HrHeartbeat *report);

/**
 * hr_renewal_check_launches:
 *
 * Once the report has been taken in, before its orders are put together.
 *
 * Returns: whether no launch of a cancelled job's task may still take effect.
 */
HrRenewalVerdict hr_renewal_check_launches (const HrCore *core, const HrMachine *machine);

/**
 * hr_renewal_required_stops:
 *
 * The stops that an answer has to name, whatever kind of report it answers: of each task that the
 * report shows, or that the records have in this incarnation of the machine, and whose job is
 * cancelled or done.
 *
 * Returns: (transfer full) HrOrder; they borrow texts of @report and ids of jobs.
 */
GArray *hr_renewal_required_stops (const HrCore *core, const HrMachine *machine,
                                   const HrHeartbeat *report);

/**
 * hr_renewal_check_orders:
 * @orders: HrOrder; all that the answer is to hold
 * @missing: (out) (transfer full): "job/task" of the first stop that is not named, else NULL
 *
 * Returns: whether the orders name every stop that is required.
 */
HrRenewalVerdict hr_renewal_check_orders (const HrCore *core, const HrMachine *machine,
                                          const HrHeartbeat *report, const GArray *orders,
                                          char **missing);
