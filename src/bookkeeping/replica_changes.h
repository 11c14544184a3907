/* Applies changes that were read from the state store to the tables.
 *
 * Each change of a key is applied once, in the order of the key's revisions; a change that was
 * applied already has no effect. An invalid record leaves its job as it was and marks it as
 * unreadable, so that no decision is based on it. */
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
 * Applies a change to the tables, or passes it to HrStoreEvents. Unknown keys are ignored.
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
 * Applies a main record. The record of this node's own write confirms that write.
 *
 * Returns: FALSE if the record is invalid
 */
gboolean hr_replica_apply_job (HrStore *store, HrJob *job, const json_t *value, guint64 revision);
