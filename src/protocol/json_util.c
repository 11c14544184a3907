#include "protocol/json_util.h"
#include <math.h>

gboolean
hr_json_num (const json_t *o, const char *key, double *out)
{
  const json_t *v = json_object_get (o, key);
  if (!json_is_number (v))
    return FALSE;
  double d = json_number_value (v);
  if (!isfinite (d))
    return FALSE;
  *out = d;
  return TRUE;
}

gboolean
hr_json_count (const json_t *o, const char *key, guint64 max, guint64 *out)
{
  const json_t *v = json_object_get (o, key);
  if (!json_is_integer (v))
    return FALSE;
  json_int_t i = json_integer_value (v);
  if (i < 0 || (guint64)i > max)
    return FALSE;
  *out = (guint64)i;
  return TRUE;
}

const char *
hr_json_str (const json_t *o, const char *key)
{
  return json_string_value (json_object_get (o, key));
}

gboolean
hr_json_bool (const json_t *o, const char *key, gboolean *out)
{
  const json_t *v = json_object_get (o, key);
  if (!json_is_boolean (v))
    return FALSE;
  *out = json_is_true (v);
  return TRUE;
}

json_t *
hr_json_parse (const char *data, gsize len, char **error)
{
  json_error_t e;
  json_t *v = json_loadb (data ? data : "", data ? len : 0, JSON_REJECT_DUPLICATES, &e);
  if (!v && error)
    *error = g_strdup_printf ("not valid JSON at byte %d: %s", e.position, e.text);
  return v;
}

char *
hr_json_take_text (json_t *v)
{
  char *raw = json_dumps (v, JSON_COMPACT | JSON_ENCODE_ANY);
  json_decref (v);
  char *out = g_strdup (raw ? raw : "null");
  free (raw);
  return out;
}
