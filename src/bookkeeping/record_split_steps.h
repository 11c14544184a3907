/* Executes the split of a record in steps, each of which is a transaction.
 *
 * The first steps write the pages of the new size, under keys that contain the size. Controllers do
 * not use these pages while the main record refers to the earlier layout (staged_pages.h). The last
 * step writes the main record, which refers to the new layout. Every step is conditional on the
 * leader record, on the revision of the main record and on the known revisions of the pages. So
 * each step leaves the recorded state of the job unchanged, and a write by another node, or a new
 * leader, makes the remaining steps fail (docs/upgrades.md). A small split is a single transaction.
 */
#pragma once
#include "bookkeeping/store.h"

/**
 * hr_record_split_start:
 * @store: the store; this node leads
 * @job: a job whose record can be split, and has no write in flight
 *
 * Splits the job's record into smaller pages. While `split_in_flight` of the record is set,
 * record_writer.c does not write the record. When the split ends, all pages of the record are
 * marked.
 */
void hr_record_split_start (HrStore *store, HrJob *job);
