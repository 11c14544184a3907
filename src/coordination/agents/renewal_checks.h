/* Checks whether a worker's lease may be renewed, and which stops the answer has to contain. An
 * answer with status 200 renews the lease, so a heartbeat has to pass these checks, in the order of
 * their declaration; the first one that fails refuses it. The checks change nothing:
 * lease_renewal.c acts on their verdicts. docs/design.md, "Renewing a lease", explains why they are
 * sufficient. */
#pragma once
#include "coordination/state.h"

/* Whether a lease may be renewed, or why not. */
typedef enum {
  HR_RENEWAL_ALLOWED,
  HR_RENEWAL_NOT_LEADER,
  HR_RENEWAL_READ_TOO_OLD,        /* other controllers may have confirmed later changes */
  HR_RENEWAL_NEWER_TOKEN,         /* the worker has heard from a later leader */
  HR_RENEWAL_MACHINE_RETURNED,    /* the machine is being deleted at the cloud, or is deleted */
  HR_RENEWAL_EARLIER_INCARNATION, /* a later incarnation of the worker is known */
  HR_RENEWAL_TYPE_UNKNOWN,       /* the machine's type is not in the list of types, or that list has
                                    not been read yet */
  HR_RENEWAL_LAUNCH_OUTSTANDING, /* a launch of a cancelled job's task may still take effect on this
                                    machine */
  HR_RENEWAL_STOP_MISSING        /* a bug in this program: the orders lack a required stop */
} HrRenewalVerdict;

/**
 * hr_renewal_verdict_name:
 *
 * Returns: the name of the verdict in the log.
 */
const char *hr_renewal_verdict_name (HrRenewalVerdict verdict);

/**
 * hr_renewal_check_node:
 *
 * Checks whether this controller may renew any lease now. Called before the heartbeat is parsed.
 *
 * Returns: %HR_RENEWAL_ALLOWED, or why no lease may be renewed.
 */
HrRenewalVerdict hr_renewal_check_node (const HrCore *core);

/**
 * hr_renewal_check_token:
 *
 * Checks the heartbeat's fencing token, which shows whether the worker has heard from a later
 * leader.
 *
 * Returns: %HR_RENEWAL_ALLOWED or %HR_RENEWAL_NEWER_TOKEN.
 */
HrRenewalVerdict hr_renewal_check_token (const HrCore *core, const HrHeartbeat *heartbeat);

/**
 * hr_renewal_check_machine:
 *
 * Checks whether the machine's worker may be answered. Called before anything in the heartbeat is
 * applied.
 *
 * Returns: %HR_RENEWAL_ALLOWED, or why the worker may not be answered.
 */
HrRenewalVerdict hr_renewal_check_machine (const HrCore *core, const HrMachine *machine,
                                           const HrHeartbeat *heartbeat);

/**
 * hr_renewal_check_launches:
 *
 * Checks whether a launch of a cancelled job's task may still take effect on the machine. Called
 * after the heartbeat has been applied and before its orders are completed.
 *
 * Returns: %HR_RENEWAL_ALLOWED if there is no such launch, otherwise
 * %HR_RENEWAL_LAUNCH_OUTSTANDING.
 */
HrRenewalVerdict hr_renewal_check_launches (const HrCore *core, const HrMachine *machine);

/**
 * hr_renewal_required_stops:
 *
 * Lists the stops that an answer has to contain, whatever HrHeartbeatKind it answers: one for each
 * task whose job is cancelled or done and that the heartbeat shows, or that is recorded on the
 * machine in this incarnation.
 *
 * Returns: (transfer full): HrOrder; they borrow texts of @heartbeat and ids of jobs.
 */
GArray *hr_renewal_required_stops (const HrCore *core, const HrMachine *machine,
                                   const HrHeartbeat *heartbeat);

/**
 * hr_renewal_check_orders:
 * @orders: HrOrder: all orders of the answer
 * @missing: (out) (transfer full) (nullable): "job/task" of the first stop that is missing; %NULL
 * if none is
 *
 * Checks whether the orders contain every required stop (hr_renewal_required_stops()).
 *
 * Returns: %HR_RENEWAL_ALLOWED or %HR_RENEWAL_STOP_MISSING.
 */
HrRenewalVerdict hr_renewal_check_orders (const HrCore *core, const HrMachine *machine,
                                          const HrHeartbeat *heartbeat, const GArray *orders,
                                          char **missing);
