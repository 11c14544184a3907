#include "protocol/store_api.h"
#include "protocol/json_util.h"
#include "protocol/json_writer.h"
#include "protocol/wire_names.h"

/* Maximum number of keys on one page of a list. */
#define LIST_PAGE_KEYS "1000"

static const HrJsonMember row_members[] = {{.name = HR_WIRE_KEY},
                                           {.name = HR_WIRE_VALUE, .kind = HR_JSON_ANY},
                                           {.name = HR_WIRE_KEY_REVISION, .kind = HR_JSON_COUNT},
                                           {.name = NULL}};

static const HrJsonMember change_members[] = {{.name = HR_WIRE_PUT},
                                              {.name = HR_WIRE_DELETE},
                                              {.name = HR_WIRE_VALUE, .kind = HR_JSON_ANY},
                                              {.name = HR_WIRE_KEY_REVISION, .kind = HR_JSON_COUNT},
                                              {.name = NULL}};

const HrJsonMember hr_store_answer_members[] = {
    {.name = HR_WIRE_KEY},
    {.name = HR_WIRE_VALUE, .kind = HR_JSON_ANY},
    {.name = HR_WIRE_KEY_REVISION, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_STORE_REVISION, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_LEASE_ID, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_LIST_ROWS, .kind = HR_JSON_LIST, .members = row_members},
    {.name = HR_WIRE_MORE},
    {.name = HR_WIRE_CHANGES, .kind = HR_JSON_LIST, .members = change_members},
    {.name = HR_WIRE_ERROR},
    {.name = NULL}};

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
  return hr_json_count (answer, HR_WIRE_LEASE_ID, G_MAXUINT64, lease_id) && *lease_id;
}

gboolean
hr_store_read_revision (const json_t *answer, guint64 *revision)
{
  return hr_json_count (answer, HR_WIRE_STORE_REVISION, G_MAXUINT64, revision);
}

gboolean
hr_store_read_key_revision (const json_t *answer, guint64 *revision)
{
  return hr_json_count (answer, HR_WIRE_KEY_REVISION, G_MAXUINT64, revision);
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

static void
write_condition (yajl_gen generator, const HrStoreCondition *condition)
{
  yajl_gen_map_open (generator);
  hr_json_write_string (generator, HR_WIRE_KEY);
  hr_json_write_string (generator, condition->key);
  hr_json_write_string (generator, HR_WIRE_KEY_REVISION);
  hr_json_write_count (generator, condition->revision);
  yajl_gen_map_close (generator);
}

static void
write_change (yajl_gen generator, const HrStoreWrite *change)
{
  yajl_gen_map_open (generator);
  hr_json_write_string (generator, change->value ? HR_WIRE_PUT : HR_WIRE_DELETE);
  hr_json_write_string (generator, change->key);
  if (change->value) {
    hr_json_write_string (generator, HR_WIRE_VALUE);
    hr_json_write_raw (generator, change->value);
  }
  if (change->lease_id) {
    hr_json_write_string (generator, HR_WIRE_LEASE_ID);
    hr_json_write_count (generator, change->lease_id);
  }
  yajl_gen_map_close (generator);
}

char *
hr_store_commit_text (const GArray *conditions, const GArray *writes)
{
  yajl_gen generator = yajl_gen_alloc (NULL);
  yajl_gen_map_open (generator);
  hr_json_write_string (generator, HR_WIRE_CONDITIONS);
  yajl_gen_array_open (generator);
  for (guint i = 0; i < conditions->len; i++)
    write_condition (generator, &g_array_index (conditions, HrStoreCondition, i));
  yajl_gen_array_close (generator);
  hr_json_write_string (generator, HR_WIRE_WRITES);
  yajl_gen_array_open (generator);
  for (guint i = 0; i < writes->len; i++)
    write_change (generator, &g_array_index (writes, HrStoreWrite, i));
  yajl_gen_array_close (generator);
  yajl_gen_map_close (generator);
  return hr_json_writer_finish (generator);
}
