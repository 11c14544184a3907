/* Selects and queues records that have become too large for the state store's limits, to split
 * them.
 *
 * Only the leader splits records, and only once every controller supports split records
 * (record_format.h). record_split_steps.h executes a split. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_record_split_is_possible:
 * @store: the store
 * @job: a job
 *
 * Returns: whether this node may split the job's record, and smaller pages are possible
 */
gboolean hr_record_split_is_possible (const HrStore *store, const HrJob *job);

/**
 * hr_record_split_request:
 * @store: the store
 * @job: a job whose record is too large
 * @urgent: TRUE if a request waits for the split: it goes to the front of the queue
 *
 * Queues the split of the job's record. Does nothing while a split of the record is in flight.
 */
void hr_record_split_request (HrStore *store, HrJob *job, gboolean urgent);

/**
 * hr_record_split_rescan:
 * @store: the store
 *
 * Restarts the scan of the records of all open jobs: the limits or the leader changed.
 */
void hr_record_split_rescan (HrStore *store);

/**
 * hr_record_split_reset:
 * @store: the store
 *
 * Clears the queue and the number of splits in flight, before a listing of the whole state store.
 */
void hr_record_split_reset (HrStore *store);

/**
 * hr_record_split_scan:
 * @store: the store
 *
 * Checks the size of the next few records, ahead of their next write, and requests splits of those
 * that are too large. Called at every step.
 */
void hr_record_split_scan (HrStore *store);

/**
 * hr_record_split_tick:
 * @store: the store; this node leads, and its replica follows the store
 *
 * Starts queued splits, a few at a time. Called at every step.
 */
void hr_record_split_tick (HrStore *store);
