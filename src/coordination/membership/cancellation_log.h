/* Sends cancellations to a leader that cannot read them from the store. Each node logs the
 * cancellations that it confirms to users or reads, in the order in which it learns of them. In its
 * statuses it names those that the leader has not read, starting at the position that the leader
 * acknowledges. Why the leader may rely on them is in docs/design.md, "Withdrawals that the leader
 * cannot read". hr_cancellation_log_append() is an event of the store (bookkeeping/store.h); the
 * other functions are for membership.c and attestation.c. Positions count from 0 in each process;
 * revisions are the store's. */
#pragma once
#include "bookkeeping/tables.h"
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/**
 * hr_cancellation_log_init:
 * @log: a zeroed log
 *
 * Allocates the list of entries.
 */
void hr_cancellation_log_init (HrCancellationLog *log);

/**
 * hr_cancellation_log_clear:
 * @log: the log to clear
 *
 * Frees the members of the struct, but not the struct itself.
 */
void hr_cancellation_log_clear (HrCancellationLog *log);

/**
 * hr_cancellation_log_append:
 * @core: the controller
 * @job: a job whose cancellation this node confirmed or read
 * @revision: the store revision of the cancellation
 *
 * Logs the cancellation. Must be called before the user gets the reply, and before any status
 * states the revision.
 */
void hr_cancellation_log_append (HrCore *core, const HrJob *job, guint64 revision);

/**
 * hr_cancellation_log_fill_status:
 * @core: the controller
 * @status: this node's next status
 *
 * Adds the extent of the log to the status, and names the cancellations that the leader has neither
 * read nor applied, as far as there is room.
 */
void hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status);

/**
 * hr_cancellation_log_apply_named:
 * @core: the controller
 * @peer: the peer whose status was just received
 *
 * If this node leads, applies the cancellations that the peer names and stops the jobs' tasks. Does
 * nothing if there is a gap between the last position applied and the first one named, unless this
 * node has read all cancellations in the gap.
 */
void hr_cancellation_log_apply_named (HrCore *core, HrPeer *peer);

/**
 * hr_cancellation_log_all_applied:
 * @core: the controller
 * @peer: another controller
 *
 * Returns: whether this node leads and knows all cancellations that the peer knew of when it built
 * its latest status
 */
gboolean hr_cancellation_log_all_applied (const HrCore *core, const HrPeer *peer);

/**
 * hr_cancellation_log_acknowledgement_received:
 * @core: the controller
 * @peer: the peer whose status was just received
 *
 * If the peer leads, gets no answer from the store and has applied only a part of this node's log,
 * schedules the next status, with the remaining entries, early.
 */
void hr_cancellation_log_acknowledgement_received (HrCore *core, const HrPeer *peer);
