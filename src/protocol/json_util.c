#include "protocol/json_util.h"
#include <math.h>

gboolean
hr_json_num (const json_t *object, const char *key, double *out)
{
  const json_t *value = json_object_get (object, key);
  if (!json_is_number (value))
    return FALSE;
  double number = json_number_value (value);
  if (!isfinite (number))
    return FALSE;
  *out = number;
  return TRUE;
}

gboolean
hr_json_count (const json_t *object, const char *key, guint64 max, guint64 *out)
{
  const json_t *value = json_object_get (object, key);
  if (!json_is_integer (value))
    return FALSE;
  guint64 count = (guint64)json_integer_value (value);
  if (count > max)
    return FALSE;
  *out = count;
  return TRUE;
}

const char *
hr_json_str (const json_t *object, const char *key)
{
  return json_string_value (json_object_get (object, key));
}

gboolean
hr_json_bool (const json_t *object, const char *key, gboolean *out)
{
  const json_t *value = json_object_get (object, key);
  if (!json_is_boolean (value))
    return FALSE;
  *out = json_is_true (value);
  return TRUE;
}

char *
hr_json_take_text (json_t *value)
{
  char *raw = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  json_decref (value);
  char *out = g_strdup (raw ? raw : "null");
  free (raw);
  return out;
}
