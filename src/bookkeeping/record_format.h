/* The format of records: which one every controller understands, and so may be written.
 *
 * Each controller states in its statuses which format it understands. Once all others have stated
 * the newest one, the leader records that in the store; from then on nobody is left who would
 * misread a record of that format (docs/upgrades.md). Until then records are of the earlier format.
 */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>
#include <jansson.h>

/**
 * hr_record_format_set_supported:
 * @store: the store
 * @format: the newest format that this node understands; 0: it knows of none
 *
 * Sets also the limits that this node plans for, and its allowance. Called before the first step.
 */
void hr_record_format_set_supported (HrStore *store, guint format);

/**
 * hr_record_format_read:
 * @store: the store
 * @value: (nullable): the record of the agreed format; %NULL: it was deleted
 * @revision: its revision
 *
 * The record was read. An agreed format stays agreed, whatever is read later.
 */
void hr_record_format_read (HrStore *store, const json_t *value, guint64 revision);

/**
 * hr_record_format_tick:
 * @store: the store
 *
 * Records the newest format once every controller understands it, if this node leads. Called at
 * every step.
 */
void hr_record_format_tick (HrStore *store);

/**
 * hr_record_format_note_oversized:
 * @store: the store
 * @job: a job whose record is too large to be cancelled
 *
 * Requests the split of the record: here, if this node leads, and of the leader, by the statuses.
 */
void hr_record_format_note_oversized (HrStore *store, HrJob *job);

/**
 * hr_record_format_peer_oversized:
 * @store: the store
 * @id: a job's id
 *
 * Another controller could not cancel the job because its record is too large: a leader splits it.
 */
void hr_record_format_peer_oversized (HrStore *store, const char *id);
