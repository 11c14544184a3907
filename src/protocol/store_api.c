#include "protocol/store_api.h"
#include "protocol/json_util.h"
#include "protocol/wire_names.h"

/* Maximum number of keys on one page of a list. */
#define LIST_PAGE_KEYS "1000"

char *
hr_store_list_path (const char *prefix, const char *cursor)
{
  return cursor ? g_strdup_printf ("/kv?starts=%s&after=%s&limit=" LIST_PAGE_KEYS, prefix, cursor)
                : g_strdup_printf ("/kv?starts=%s&limit=" LIST_PAGE_KEYS, prefix);
}

char *
hr_store_changes_path (const char *prefix, guint64 after, guint wait_ms)
{
  return g_strdup_printf ("/changes?starts=%s&after=%" G_GUINT64_FORMAT "&" HR_WIRE_WATCH_MS "=%u",
                          prefix, after, wait_ms);
}

char *
hr_store_key_path (const char *key)
{
  return g_strconcat ("/kv/", key, NULL);
}

char *
hr_store_lease_path (guint64 lease_id)
{
  return g_strdup_printf (HR_STORE_LEASES_PATH "/%" G_GUINT64_FORMAT, lease_id);
}

char *
hr_store_lease_renewal_path (guint64 lease_id)
{
  return g_strdup_printf (HR_STORE_LEASES_PATH "/%" G_GUINT64_FORMAT "/touch", lease_id);
}

char *
hr_store_lease_text (int life_ms)
{
  return g_strdup_printf ("{\"" HR_WIRE_LEASE_LIFE_MS "\":%d}", life_ms);
}

gboolean
hr_store_read_lease_id (const json_t *answer, guint64 *lease_id)
{
  return hr_json_count (answer, HR_WIRE_LEASE_ID, G_MAXINT64, lease_id) && *lease_id;
}

gboolean
hr_store_read_revision (const json_t *answer, guint64 *revision)
{
  return hr_json_count (answer, HR_WIRE_STORE_REVISION, G_MAXINT64, revision);
}

gboolean
hr_store_read_key_revision (const json_t *answer, guint64 *revision)
{
  return hr_json_count (answer, HR_WIRE_KEY_REVISION, G_MAXINT64, revision);
}

const json_t *
hr_store_read_value (const json_t *answer)
{
  return json_object_get (answer, HR_WIRE_VALUE);
}

const json_t *
hr_store_changes (const json_t *answer)
{
  return json_object_get (answer, HR_WIRE_CHANGES);
}

gboolean
hr_store_read_change (const json_t *entry, HrStoreChange *change)
{
  const char *put = hr_json_str (entry, HR_WIRE_PUT);
  change->key = put ? put : hr_json_str (entry, HR_WIRE_DELETE);
  change->value = put ? hr_store_read_value (entry) : NULL;
  return change->key && hr_store_read_key_revision (entry, &change->revision);
}

const json_t *
hr_store_list_rows (const json_t *answer)
{
  return json_object_get (answer, HR_WIRE_LIST_ROWS);
}

gboolean
hr_store_read_row (const json_t *entry, HrStoreChange *row)
{
  row->key = hr_json_str (entry, HR_WIRE_KEY);
  row->value = hr_store_read_value (entry);
  return row->key && hr_store_read_key_revision (entry, &row->revision);
}

gboolean
hr_store_list_has_more (const json_t *answer)
{
  gboolean more = FALSE;
  hr_json_bool (answer, HR_WIRE_MORE, &more);
  return more;
}

json_t *
hr_store_condition (const char *key, guint64 revision)
{
  return json_pack ("{sssI}", HR_WIRE_KEY, key, HR_WIRE_KEY_REVISION, (json_int_t)revision);
}

json_t *
hr_store_put (const char *key, json_t *value, guint64 lease_id)
{
  json_t *put = json_pack ("{ssso}", HR_WIRE_PUT, key, HR_WIRE_VALUE, value);
  if (lease_id)
    json_object_set_new (put, HR_WIRE_LEASE_ID, json_integer (lease_id));
  return put;
}

json_t *
hr_store_delete (const char *key)
{
  return json_pack ("{ss}", HR_WIRE_DELETE, key);
}

char *
hr_store_commit_text (json_t *conditions, json_t *writes)
{
  return hr_json_take_text (
      json_pack ("{sOsO}", HR_WIRE_CONDITIONS, conditions, HR_WIRE_WRITES, writes));
}
