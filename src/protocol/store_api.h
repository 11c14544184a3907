/* Requests to the replicated state store and its answers. The store is a key-value service with
 * revisions, transactions and leases. This module translates between the store's field names and
 * the terms that the rest of the controller uses; no other module contains the field names.
 *
 * The caller frees the paths and bodies that are returned. Values read from an answer belong to the
 * answer and are valid as long as it is. */
#pragma once
#include "protocol/json_reader.h"
#include <glib.h>
#include <jansson.h>

/* Path for transactions. */
#define HR_STORE_COMMIT_PATH "/commit"
/* Path for requesting leases. */
#define HR_STORE_LEASES_PATH "/leases"

/* The members of all answers of the store. */
extern const HrJsonMember hr_store_answer_members[];

/* A condition of a transaction. */
typedef struct {
  char *key;
  guint64 revision; /* that the key must have; 0: the key must not exist */
} HrStoreCondition;

/* A change that a transaction makes. */
typedef struct {
  char *key;
  char *value;      /* JSON text; NULL: the key is deleted */
  guint64 lease_id; /* lease to which the key is attached; 0: none */
} HrStoreWrite;

/* One change, or one row of a list of keys. */
typedef struct {
  const char *key;
  const json_t *value; /* NULL: the key was deleted */
  guint64 revision;    /* revision of this write */
} HrStoreChange;

/**
 * hr_store_list_path:
 * @prefix: prefix of the listed keys
 * @cursor: (nullable): the last key on the previous page; %NULL for the first page
 *
 * Returns: (transfer full): the path of one page of the list of keys
 */
char *hr_store_list_path (const char *prefix, const char *cursor);

/**
 * hr_store_changes_path:
 * @prefix: prefix of the watched keys
 * @after: revision after which changes are read
 * @wait_ms: how long the store may wait for a change before it answers, in milliseconds
 *
 * Returns: (transfer full): the path for reading changes
 */
char *hr_store_changes_path (const char *prefix, guint64 after, guint wait_ms);

/**
 * hr_store_key_path:
 *
 * Returns: (transfer full): the path for reading one key
 */
char *hr_store_key_path (const char *key);

/**
 * hr_store_lease_path:
 *
 * Returns: (transfer full): the path for releasing the lease
 */
char *hr_store_lease_path (guint64 lease_id);

/**
 * hr_store_lease_renewal_path:
 *
 * Returns: (transfer full): the path for renewing the lease
 */
char *hr_store_lease_renewal_path (guint64 lease_id);

/**
 * hr_store_lease_text:
 * @life_ms: time in milliseconds after which the lease expires unless it is renewed
 *
 * Returns: (transfer full): the body of a request for a lease
 */
char *hr_store_lease_text (int life_ms);

/**
 * hr_store_read_lease_id:
 * @answer: (nullable): the answer to a request for a lease
 *
 * Returns: %FALSE when the answer grants no lease
 */
gboolean hr_store_read_lease_id (const json_t *answer, guint64 *lease_id);

/**
 * hr_store_read_revision:
 * @answer: (nullable): the answer to a read or a transaction
 *
 * Reads the revision of the whole store; after a transaction, the revision that it created.
 *
 * Returns: %FALSE when the answer has no valid revision
 */
gboolean hr_store_read_revision (const json_t *answer, guint64 *revision);

/**
 * hr_store_read_key_revision:
 * @answer: (nullable): the answer to a read of one key
 *
 * Reads the revision at which the key was last written.
 *
 * Returns: %FALSE, with *@revision unchanged, when the answer has no valid revision
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
 * Returns: (nullable): the changes in an answer, the oldest first
 */
const json_t *hr_store_changes (const json_t *answer);

/**
 * hr_store_read_change:
 *
 * Reads an entry of hr_store_changes().
 *
 * Returns: %FALSE when the entry is malformed
 */
gboolean hr_store_read_change (const json_t *entry, HrStoreChange *change);

/**
 * hr_store_list_rows:
 *
 * Returns: (nullable): the rows of a page of the list of keys
 */
const json_t *hr_store_list_rows (const json_t *answer);

/**
 * hr_store_read_row:
 *
 * Reads an entry of hr_store_list_rows().
 *
 * Returns: %FALSE when the entry is malformed
 */
gboolean hr_store_read_row (const json_t *entry, HrStoreChange *row);

/**
 * hr_store_list_has_more:
 *
 * Returns: whether another page follows
 */
gboolean hr_store_list_has_more (const json_t *answer);

/**
 * hr_store_commit_text:
 * @conditions: a list of #HrStoreCondition
 * @writes: a list of #HrStoreWrite
 *
 * Returns: (transfer full): the body of a transaction
 */
char *hr_store_commit_text (const GArray *conditions, const GArray *writes);
