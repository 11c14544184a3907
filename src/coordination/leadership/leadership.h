/* Who leads, and this node's own term. The leader lock lives with a lease of the store; whoever
 * takes it writes the leader record in the same transaction, with a higher fencing token. Ownership
 * is what the leader record says, nothing else. The decisions are in leadership_decisions.h, the
 * writes in election.h, and why it is so in docs/design.md, "Leadership". Times are in seconds of
 * the steady clock. */
#pragma once
#include "coordination/leadership/leadership_decisions.h"
#include "coordination/state.h"

/**
 * hr_leadership_tick:
 * @core: the controller
 *
 * Keeps the lock's lease, stands for election, raises the token or resigns, as the decisions say.
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
 * @core: the controller, which leads
 * @reason: for the log
 *
 * Frees the lock and leaves it to others for a while. Does nothing when no other controller could
 * lead.
 */
void hr_leadership_resign (HrCore *core, const char *reason);

/**
 * hr_leadership_reset:
 * @core: the controller
 * @reason: for the log
 *
 * Ends the term because the store has to be read anew from the start. This node leads again only by
 * a new leader record.
 */
void hr_leadership_reset (HrCore *core, const char *reason);

/**
 * hr_leadership_raise_token:
 * @core: the controller
 * @reason: for the log
 *
 * Asks for a new fencing token, which is written at a later tick. It makes every order sent with an
 * older one void wherever it is seen.
 */
void hr_leadership_raise_token (HrCore *core, const char *reason);

/**
 * hr_leadership_listing_begins:
 * @core: the controller
 *
 * The store is about to be read anew: what is known of leader record and lock is void.
 */
void hr_leadership_listing_begins (HrCore *core);

/**
 * hr_leadership_record_changed:
 * @core: the controller
 * @value: (nullable): the leader record as read; %NULL where the key was deleted
 * @revision: of the change
 *
 * Takes the leader record over. Whether a term begins or ends is decided once all changes of the
 * read are applied (hr_leadership_record_read()). A record that cannot be understood is logged and
 * ignored.
 */
void hr_leadership_record_changed (HrCore *core, const json_t *value, guint64 revision);

/**
 * hr_leadership_lock_changed:
 * @core: the controller
 * @value: (nullable): the leader lock as read; %NULL where the key was deleted, so that nobody
 *   holds it
 * @revision: of the change
 *
 * Takes the leader lock over. When it is free, the next election waits for a random jitter.
 */
void hr_leadership_lock_changed (HrCore *core, const json_t *value, guint64 revision);

/**
 * hr_leadership_record_read:
 * @core: the controller
 *
 * All changes of a read are applied: begins or ends the term of this process as the leader record
 * says.
 */
void hr_leadership_record_read (HrCore *core);

/**
 * hr_leadership_peer_status:
 * @core: the controller
 * @status: what another controller states
 *
 * Steps down when the peer knows of a newer leader.
 */
void hr_leadership_peer_status (HrCore *core, const HrPeerStatus *status);

/**
 * hr_leadership_clear:
 * @leadership: the part to clear
 *
 * Frees what it holds, but not the struct.
 */
void hr_leadership_clear (HrLeadership *leadership);
