/* The format of records: which one every controller understands, and so may be written
 * (docs/upgrades.md). */
#pragma once
#include "bookkeeping/store.h"

/* The newest format that this node understands; 0: it knows of none. Sets the limits that it plans
 * for, and its allowance. Before the first step. */
void hr_record_format_set_supported (HrStore *store, guint format);
/* The record of the agreed format was read. value: NULL where it was deleted. */
void hr_record_format_read (HrStore *store, const json_t *value, guint64 revision);
/* Records the newest format once every controller understands it, if this node is the leader. */
void hr_record_format_tick (HrStore *store);
/* The job's record is too large to be cancelled: the leader is to split it first. */
void hr_record_format_note_oversized (HrStore *store, HrJob *job);
/* Another controller could not cancel the job with this id for that reason. */
void hr_record_format_peer_oversized (HrStore *store, const char *id);
