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
  HR_RENEWAL_READ_TOO_OLD, /* other controllers may have confirmed later changes */
  HR_RENEWAL_NEWER_TOKEN,  /* the worker has heard from a later leader */
  HR_RENEWAL_MACHINE_RETURNED,
  HR_RENEWAL_EARLIER_INCARNATION,
  HR_RENEWAL_TYPE_UNKNOWN,       /* the cloud's list of machine types has not been read yet */
  HR_RENEWAL_LAUNCH_OUTSTANDING, /* a launch of a task of a cancelled job may still take effect */
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
 * The first check, made before the heartbeat is parsed.
 *
 * Returns: whether this controller may renew any lease now.
 */
HrRenewalVerdict hr_renewal_check_node (const HrCore *core);

/**
 * hr_renewal_check_token:
 *
 * Returns: whether the worker has not heard from a later leader, as its fencing token shows.
 */
HrRenewalVerdict hr_renewal_check_token (const HrCore *core, const HrHeartbeat *heartbeat);

/**
 * hr_renewal_check_machine:
 *
 * Made before anything in the heartbeat is applied.
 *
 * Returns: whether the machine's worker may be answered.
 */
HrRenewalVerdict hr_renewal_check_machine (const HrCore *core, const HrMachine *machine,
                                           const HrHeartbeat *heartbeat);

/**
 * hr_renewal_check_launches:
 *
 * Made after the heartbeat has been applied and before its orders are completed.
 *
 * Returns: whether no launch of a task of a cancelled job may still take effect.
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
 * Returns: whether the orders contain every required stop.
 */
HrRenewalVerdict hr_renewal_check_orders (const HrCore *core, const HrMachine *machine,
                                          const HrHeartbeat *heartbeat, const GArray *orders,
                                          char **missing);
