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
  json_int_t i = json_integer_value (value);
  if (i < 0 || (guint64)i > max)
    return FALSE;
  *out = (guint64)i;
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

json_t *
hr_json_parse (const char *data, gsize len, GError **error)
{
  json_error_t parse_error;
  json_t *value =
      json_loadb (data ? data : "", data ? len : 0, JSON_REJECT_DUPLICATES, &parse_error);
  if (!value)
    g_set_error (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_SYNTAX,
                 "not valid JSON at byte %d: %s", parse_error.position, parse_error.text);
  return value;
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
