/* The steps of one split of a record.
 *
 * The pages of the new size are written first, under keys that carry their size; nobody reads them
 * as facts while the main record names the earlier layout (staged_pages.h). Last the main record is
 * written, which names the new layout. Every step holds on the leader record, on the main record's
 * revision and on what is known of the pages. So each step leaves a record with the same facts, and
 * a change by another node, or another leader, makes the remaining steps fail (docs/upgrades.md).
 * Where it fits, all of this is one transaction. */
#pragma once
#include "bookkeeping/store.h"

/**
 * hr_record_split_start:
 * @store: the store; this node leads
 * @job: a job whose record can be split, and has no write in flight
 *
 * Splits the job's record into smaller pages. Until the split has ended, which its
 * `split_in_flight` states, the record is not written otherwise; then all of its pages are marked.
 */
void hr_record_split_start (HrStore *store, HrJob *job);
