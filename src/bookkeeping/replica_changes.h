/* Applies changes of the store, as they are read, to the tables.
 *
 * Each change of a key is applied once, in the order of revisions within a key; a change that was
 * applied already has no effect. A record that is invalid leaves what was known of its job, and
 * marks the job as unreadable, so that nothing is concluded from it. */
#pragma once
#include "bookkeeping/store.h"
#include <glib.h>
#include <jansson.h>

/**
 * hr_replica_apply_change:
 * @store: the store
 * @key: the key that changed
 * @value: (nullable): its value; %NULL: it was deleted
 * @revision: revision of the change
 *
 * Applies a change, or hands it on by the store's events. Keys of no known kind are ignored.
 */
void hr_replica_apply_change (HrStore *store, const char *key, const json_t *value,
                              guint64 revision);

/**
 * hr_replica_apply_job:
 * @store: the store
 * @job: a job
 * @value: its main record
 * @revision: revision of the record
 *
 * Applies a main record. One that our own write left confirms that write.
 *
 * Returns: FALSE when the record is invalid
 */
gboolean hr_replica_apply_job (HrStore *store, HrJob *job, const json_t *value, guint64 revision);
