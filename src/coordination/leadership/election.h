/* How this node becomes the leader and stays it: the leader lock with its lease, and the leader
 * record, which is written in the same transaction with a higher fencing token. Called by
 * leadership.c alone. Errors are retried at a later tick; what a write came to is known only from
 * the next read. */
#pragma once
#include "coordination/core.h"

/**
 * hr_election_lock_lease_tick:
 * @core: the controller
 *
 * Renews the lease of the leader lock, or forgets it once it has run out unused.
 */
void hr_election_lock_lease_tick (HrCore *core);

/**
 * hr_election_tick:
 * @core: the controller, which follows the store
 *
 * Stands for election when that may be: requests a lease first, and writes lock and leader record
 * once there is one.
 */
void hr_election_tick (HrCore *core);

/**
 * hr_election_token_raise_tick:
 * @core: the controller, which leads
 *
 * Writes the leader record with a higher fencing token where that is wanted and may be.
 */
void hr_election_token_raise_tick (HrCore *core);

/**
 * hr_election_release_lock:
 * @core: the controller
 *
 * Ends the lease, so that the lock is free at once, and resigns the current fencing token: no order
 * of ours under it counts any more.
 */
void hr_election_release_lock (HrCore *core);
