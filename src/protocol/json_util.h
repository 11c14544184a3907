/* Reading JSON with checks: small helpers over jansson. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* A number field, integer or real; false if missing, of another type or not finite. */
gboolean hr_json_num (const json_t *object, const char *key, double *out);
/* A count: a JSON integer from 0 to max; false otherwise. */
gboolean hr_json_count (const json_t *object, const char *key, guint64 max, guint64 *out);
const char *hr_json_str (const json_t *object, const char *key);
gboolean hr_json_bool (const json_t *object, const char *key, gboolean *out);
/* Parses a whole body; NULL and an error text when it is not one JSON value. */
json_t *hr_json_parse (const char *data, gsize len, char **error);
/* Compact text of a value; steals the value. */
char *hr_json_take_text (json_t *value);
