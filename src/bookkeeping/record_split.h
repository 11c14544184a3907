/* Splits of records that have become too large for the store's limits: which records, and when.
 *
 * Only the leader splits, and only once every controller understands split records
 * (record_format.h). The steps of a split are in record_split_steps.h. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>

/**
 * hr_record_split_is_possible:
 * @store: the store
 * @job: a job
 *
 * Returns: may this node split the job's record, and into smaller pages than it has?
 */
gboolean hr_record_split_is_possible (const HrStore *store, const HrJob *job);

/**
 * hr_record_split_request:
 * @store: the store
 * @job: a job whose record is too large
 * @urgent: somebody waits for it: it is split before the others
 *
 * Queues the split of the job's record. Does nothing while it is being split.
 */
void hr_record_split_request (HrStore *store, HrJob *job, gboolean urgent);

/**
 * hr_record_split_rescan:
 * @store: the store
 *
 * All open jobs' records are to be checked for their size again: the limits, or the leader,
 * changed.
 */
void hr_record_split_rescan (HrStore *store);

/**
 * hr_record_split_reset:
 * @store: the store
 *
 * Forgets the queue and the splits in flight: the whole store is read anew.
 */
void hr_record_split_reset (HrStore *store);

/**
 * hr_record_split_scan:
 * @store: the store
 *
 * Checks a few more records, ahead of their next write, and requests splits of those that are too
 * large. Called at every step.
 */
void hr_record_split_scan (HrStore *store);

/**
 * hr_record_split_tick:
 * @store: the store; this node leads, and its replica follows the store
 *
 * Starts queued splits, a few at a time. Called at every step.
 */
void hr_record_split_tick (HrStore *store);
