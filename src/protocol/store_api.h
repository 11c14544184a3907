/* The requests and answers of the replicated state store: a key-value service with revisions,
 * transactions and leases. Here its names for them become terms and back; bookkeeping and
 * leadership call these functions and spell none of the names.
 *
 * Paths and bodies that are returned are the caller's to free. What is read points into the answer
 * and lives as long as it does. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* Where transactions are sent. */
#define HR_STORE_COMMIT_PATH "/commit"
/* Where leases are granted. */
#define HR_STORE_LEASES_PATH "/leases"

/* One change, or one row of a list. */
typedef struct {
  const char *key;
  const json_t *value; /* NULL: the key was deleted */
  guint64 revision;    /* at which it was written */
} HrStoreChange;

/**
 * hr_store_list_path:
 * @prefix: of the keys
 * @cursor: (nullable): the last key of the page before; %NULL for the first page
 *
 * Returns: (transfer full): the path of one page of the list of keys
 */
char *hr_store_list_path (const char *prefix, const char *cursor);

/**
 * hr_store_changes_path:
 * @prefix: of the keys
 * @after: a revision; later changes are wanted
 * @wait_ms: how long the store may wait for a change before it answers
 *
 * Returns: (transfer full): the path of a read of changes
 */
char *hr_store_changes_path (const char *prefix, guint64 after, guint wait_ms);

/**
 * hr_store_key_path:
 *
 * Returns: (transfer full): the path of a read of one key
 */
char *hr_store_key_path (const char *key);

/**
 * hr_store_lease_path:
 *
 * Returns: (transfer full): the path at which the lease is given back
 */
char *hr_store_lease_path (guint64 lease_id);

/**
 * hr_store_lease_renewal_path:
 *
 * Returns: (transfer full): the path at which the lease is renewed
 */
char *hr_store_lease_renewal_path (guint64 lease_id);

/**
 * hr_store_lease_text:
 * @life_ms: how long the lease lasts after its last renewal
 *
 * Returns: (transfer full): the body of a request for a lease
 */
char *hr_store_lease_text (int life_ms);

/**
 * hr_store_read_lease_id:
 * @answer: (nullable): to a request for a lease
 *
 * Returns: %FALSE when the answer grants none
 */
gboolean hr_store_read_lease_id (const json_t *answer, guint64 *lease_id);

/**
 * hr_store_read_revision:
 * @answer: (nullable): to a read or a transaction
 *
 * Reads the revision of the store as a whole; of a transaction, the one that it was carried out at.
 *
 * Returns: %FALSE when the answer makes no sense
 */
gboolean hr_store_read_revision (const json_t *answer, guint64 *revision);

/**
 * hr_store_read_key_revision:
 * @answer: (nullable): to a read of one key
 *
 * Returns: %FALSE, with *@revision as it was, when the answer names none
 */
gboolean hr_store_read_key_revision (const json_t *answer, guint64 *revision);

/**
 * hr_store_read_value:
 *
 * Returns: (nullable): the value in the answer to a read of one key
 */
const json_t *hr_store_read_value (const json_t *answer);

/**
 * hr_store_changes:
 *
 * Returns: (nullable): the list of changes in an answer, the oldest first
 */
const json_t *hr_store_changes (const json_t *answer);

/**
 * hr_store_read_change:
 *
 * Reads an entry of hr_store_changes().
 *
 * Returns: %FALSE when the entry makes no sense
 */
gboolean hr_store_read_change (const json_t *entry, HrStoreChange *change);

/**
 * hr_store_list_rows:
 *
 * Returns: (nullable): the rows in the answer with a page of the list
 */
const json_t *hr_store_list_rows (const json_t *answer);

/**
 * hr_store_read_row:
 *
 * Reads an entry of hr_store_list_rows().
 *
 * Returns: %FALSE when the entry makes no sense
 */
gboolean hr_store_read_row (const json_t *entry, HrStoreChange *row);

/**
 * hr_store_list_has_more:
 *
 * Returns: whether another page follows
 */
gboolean hr_store_list_has_more (const json_t *answer);

/**
 * hr_store_condition:
 * @revision: that the key must have; 0: it must not exist
 *
 * Returns: (transfer full): a condition of a transaction
 */
json_t *hr_store_condition (const char *key, guint64 revision);

/**
 * hr_store_put:
 * @value: (transfer full): what is written
 * @lease_id: the key is deleted with this lease; 0: it stays
 *
 * Returns: (transfer full): a write of a transaction
 */
json_t *hr_store_put (const char *key, json_t *value, guint64 lease_id);

/**
 * hr_store_delete:
 *
 * Returns: (transfer full): the deletion of a key, for a transaction
 */
json_t *hr_store_delete (const char *key);

/**
 * hr_store_commit_text:
 *
 * Returns: (transfer full): the body of a transaction; takes references of its own
 */
char *hr_store_commit_text (json_t *conditions, json_t *writes);
