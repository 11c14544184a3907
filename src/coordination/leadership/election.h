/* Leader election: acquires the leader lock with its lease, and writes the leader record in the
 * same transaction with a higher fencing token. Only leadership.c calls these functions. Failed
 * requests are retried at a later tick. The outcome of a write is taken only from the next read
 * of the store. */
#pragma once
#include "coordination/core.h"

/**
 * hr_election_lock_lease_tick:
 * @core: the controller
 *
 * Renews the lease of the leader lock, or discards the lease's id once it has expired unused.
 */
void hr_election_lock_lease_tick (HrCore *core);

/**
 * hr_election_tick:
 * @core: the controller, whose replica follows the store's changes
 *
 * Starts an election when hr_leadership_election_verdict() allows it: requests a lease first, and
 * writes the lock and the leader record once the lease is granted.
 */
void hr_election_tick (HrCore *core);

/**
 * hr_election_token_raise_tick:
 * @core: the controller, which is the leader
 *
 * Writes the leader record with a higher fencing token when hr_leadership_token_raise_verdict()
 * says so.
 */
void hr_election_token_raise_tick (HrCore *core);

/**
 * hr_election_release_lock:
 * @core: the controller
 *
 * Revokes the lease, so that the lock is free at once, and gives up the current fencing token: this
 * node no longer leads or sends orders under it.
 */
void hr_election_release_lock (HrCore *core);
