/* Tracks the current leader and this node's own term. The leader lock is a key of the store that is
 * deleted with its lease; the controller that acquires the lock writes the leader record in the
 * same transaction, with a higher fencing token. The leader record alone decides who leads. The
 * decisions are in leadership_decisions.h, the writes in election.h, and the rationale in
 * docs/design.md, "Leadership". Times are monotonic, in seconds. */
#pragma once
#include "coordination/leadership/leadership_decisions.h"
#include "coordination/state.h"

/**
 * hr_leadership_tick:
 * @core: the controller
 *
 * Renews the lock's lease, starts an election, raises the fencing token or resigns, as
 * leadership_decisions.h decides.
 */
void hr_leadership_tick (HrCore *core);

/**
 * hr_leadership_may_answer:
 * @core: the controller
 *
 * Returns: whether hr_leadership_answer_verdict() allows this node to answer workers
 */
gboolean hr_leadership_may_answer (const HrCore *core);

/**
 * hr_leadership_resign:
 * @core: the controller, which is the leader
 * @reason: the reason to log
 *
 * Releases the lock, steps down, and starts no election for a while, so that another controller can
 * become the leader. Does nothing when no other controller could lead.
 */
void hr_leadership_resign (HrCore *core, const char *reason);

/**
 * hr_leadership_reset:
 * @core: the controller
 * @reason: the reason to log
 *
 * Ends the term because the whole store has to be read again. This node leads again only after it
 * has written a new leader record.
 */
void hr_leadership_reset (HrCore *core, const char *reason);

/**
 * hr_leadership_raise_token:
 * @core: the controller
 * @reason: the reason to log
 *
 * Requests a new fencing token, which is written at a later tick. A worker that has seen the new
 * token rejects every order that was sent with an older one.
 */
void hr_leadership_raise_token (HrCore *core, const char *reason);

/**
 * hr_leadership_listing_begins:
 * @core: the controller
 *
 * Discards the leader record's revision and the lock, because the whole store is about to be read
 * again.
 */
void hr_leadership_listing_begins (HrCore *core);

/**
 * hr_leadership_record_changed:
 * @core: the controller
 * @value: (nullable): the leader record as read; %NULL if the key was deleted
 * @revision: the store revision of the change
 *
 * Stores the leader record that was read. Whether a term begins or ends is decided once all changes
 * of the read are applied (hr_leadership_changes_applied()). A malformed record is logged and
 * ignored.
 */
void hr_leadership_record_changed (HrCore *core, const json_t *value, guint64 revision);

/**
 * hr_leadership_lock_changed:
 * @core: the controller
 * @value: (nullable): the leader lock as read; %NULL if the key was deleted, so that no controller
 *   holds the lock
 * @revision: the store revision of the change
 *
 * Stores the leader lock that was read. When the lock is free, the next election is delayed by a
 * random jitter.
 */
void hr_leadership_lock_changed (HrCore *core, const json_t *value, guint64 revision);

/**
 * hr_leadership_changes_applied:
 * @core: the controller
 *
 * Begins or ends the term of this process according to the leader record. Called when all changes
 * of a read are applied.
 */
void hr_leadership_changes_applied (HrCore *core);

/**
 * hr_leadership_peer_status_received:
 * @core: the controller
 * @status: the status of another controller
 *
 * Steps down when the peer knows of a newer leader.
 */
void hr_leadership_peer_status_received (HrCore *core, const HrPeerStatus *status);

/**
 * hr_leadership_clear:
 * @leadership: the leadership state to clear
 *
 * Frees the members of the struct, but not the struct itself.
 */
void hr_leadership_clear (HrLeadership *leadership);
