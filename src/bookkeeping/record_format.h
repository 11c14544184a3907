/* Agreement on the record format: the newest format that every controller supports. Controllers
 * write records in the agreed format only.
 *
 * Each controller states in its statuses the newest format that it supports. Once all other
 * controllers have stated the newest format that the leader supports, the leader writes it to the
 * state store as the agreed format: from then on no controller can misread a record of that format
 * (docs/upgrades.md). Until then records have the earlier format. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>
#include <jansson.h>

/**
 * hr_record_format_set_supported:
 * @store: the store
 * @format: the newest format that this node supports; 0: it behaves like a node that predates
 * record formats
 *
 * Sets the supported format and, with it, the limits of the state store that this node observes
 * (format 0: the present limits, else the planned ones; values up to the present limit are still
 * sent until a format is agreed or the store refuses one). Resets the write allowance of this node
 * to the limit of write requests per second. Called before the first step.
 */
void hr_record_format_set_supported (HrStore *store, guint format);

/**
 * hr_record_format_read:
 * @store: the store
 * @value: (nullable): the record of the agreed format; %NULL: it was deleted
 * @revision: revision of the record
 *
 * Applies the record of the agreed format that was read. The agreed format never decreases.
 */
void hr_record_format_read (HrStore *store, const json_t *value, guint64 revision);

/**
 * hr_record_format_tick:
 * @store: the store
 *
 * Records the newest format once every controller supports it, if this node leads. Called at every
 * step.
 */
void hr_record_format_tick (HrStore *store);

/**
 * hr_record_format_report_oversized:
 * @store: the store
 * @job: a job that cannot be cancelled because its record is too large
 *
 * Requests the split of the record: at this node if it leads, else at the leader, through this
 * node's statuses.
 */
void hr_record_format_report_oversized (HrStore *store, HrJob *job);

/**
 * hr_record_format_handle_oversized_report:
 * @store: the store
 * @id: a job's id
 *
 * Handles the report of another controller that it could not cancel the job because its record is
 * too large. If this node leads, it requests the split of the record.
 */
void hr_record_format_handle_oversized_report (HrStore *store, const char *id);
