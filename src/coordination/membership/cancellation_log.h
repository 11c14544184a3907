/* Naming cancellations to a leader that cannot read them. Each node logs the cancellations that it
 * confirms to users or reads, in the order in which it learns of them, and names those that the
 * leader has not read in its statuses, from the position on that the leader acknowledges. The
 * argument why the leader may go by that is in docs/design.md, "Withdrawals that the leader cannot
 * read". hr_cancellation_log_append() is an event of the store (bookkeeping/store.h); the other
 * functions are for membership.c and attestation.c. Positions count from 0 in each process;
 * revisions are the store's. */
#pragma once
#include "bookkeeping/tables.h"
#include "coordination/core.h"
#include "coordination/membership/membership_state.h"

/**
 * hr_cancellation_log_init:
 * @log: the log, zeroed
 */
void hr_cancellation_log_init (HrCancellationLog *log);

/**
 * hr_cancellation_log_clear:
 * @log: the log to clear
 *
 * Frees what it holds, but not the struct.
 */
void hr_cancellation_log_clear (HrCancellationLog *log);

/**
 * hr_cancellation_log_append:
 * @core: the controller
 * @job: a job whose cancellation we confirmed or read
 * @revision: of the cancellation
 *
 * Logs the cancellation. Must be called before its user gets an answer, and before any status
 * states its revision.
 */
void hr_cancellation_log_append (HrCore *core, const HrJob *job, guint64 revision);

/**
 * hr_cancellation_log_fill_status:
 * @core: the controller
 * @status: our next status
 *
 * States our log in the status, and names what of it the leader has neither read nor taken in, as
 * far as there is room.
 */
void hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status);

/**
 * hr_cancellation_log_take_named:
 * @core: the controller
 * @peer: another one, whose status has just come
 *
 * Where we lead: takes in the cancellations that the peer names, if none is missing between them
 * and what was taken in before, but for those that we have read. Stops the jobs' tasks.
 */
void hr_cancellation_log_take_named (HrCore *core, HrPeer *peer);

/**
 * hr_cancellation_log_all_taken:
 * @core: the controller
 * @peer: another one
 *
 * Returns: whether we lead and know all cancellations that the peer knew of when it made its latest
 * status
 */
gboolean hr_cancellation_log_all_taken (const HrCore *core, const HrPeer *peer);

/**
 * hr_cancellation_log_acknowledged:
 * @core: the controller
 * @peer: another one, whose status has just come
 *
 * Where the peer leads, is not served by the store and has taken in a part of our log: has our next
 * status sent soon, with the rest.
 */
void hr_cancellation_log_acknowledged (HrCore *core, const HrPeer *peer);
