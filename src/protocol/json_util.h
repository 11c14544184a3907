/* Reading JSON with checks: small helpers over jansson. Each accepts NULL, or a value of another
 * type, for the object; no field is found there then. */
#pragma once
#include "protocol/protocol_error.h"
#include <glib.h>
#include <jansson.h>

/**
 * hr_json_num:
 * @object: (nullable): where to look
 * @key: name of the field
 * @out: (out): the number; as it was where there is none
 *
 * Returns: %FALSE if the field is missing, no number or not finite
 */
gboolean hr_json_num (const json_t *object, const char *key, double *out);

/**
 * hr_json_count:
 * @object: (nullable): where to look
 * @key: name of the field
 * @max: the greatest count that is accepted
 * @out: (out): the count; as it was where there is none
 *
 * Returns: %FALSE if the field is missing, or no integer from 0 to @max
 */
gboolean hr_json_count (const json_t *object, const char *key, guint64 max, guint64 *out);

/**
 * hr_json_str:
 * @object: (nullable): where to look
 * @key: name of the field
 *
 * Returns: (transfer none) (nullable): the text, which belongs to @object
 */
const char *hr_json_str (const json_t *object, const char *key);

/**
 * hr_json_bool:
 * @object: (nullable): where to look
 * @key: name of the field
 * @out: (out): the value; as it was where there is none
 *
 * Returns: %FALSE if the field is missing or of another type
 */
gboolean hr_json_bool (const json_t *object, const char *key, gboolean *out);

/**
 * hr_json_parse:
 * @data: (nullable): the bytes of a whole body
 * @len: their number
 * @error: %HR_PROTOCOL_ERROR_SYNTAX; its text may quote bytes of @data that are no UTF-8
 *
 * Returns: (transfer full) (nullable): %NULL when the body is not one JSON value
 */
json_t *hr_json_parse (const char *data, gsize len, GError **error);

/**
 * hr_json_take_text:
 * @value: (transfer full): any value
 *
 * Returns: (transfer full): its compact text
 */
char *hr_json_take_text (json_t *value);
