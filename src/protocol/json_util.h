/* Type-checked access to JSON values, on top of jansson. Each function accepts NULL or a value of
 * another type in place of the object, and treats every field as missing then. */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * hr_json_num:
 * @object: (nullable): a JSON object
 * @key: name of the field
 * @out: (out): the number; unchanged on failure
 *
 * Returns: %FALSE if the field is missing, not a number or not finite
 */
gboolean hr_json_num (const json_t *object, const char *key, double *out);

/**
 * hr_json_count:
 * @object: (nullable): a JSON object
 * @key: name of the field
 * @max: the largest valid count; above %G_MAXINT64 only for an %HR_JSON_COUNT that hr_json_parse()
 *   has read, whose integer holds the 64 bits without a sign
 * @out: (out): the count; unchanged on failure
 *
 * Returns: %FALSE if the field is missing or not an integer from 0 to @max
 */
gboolean hr_json_count (const json_t *object, const char *key, guint64 max, guint64 *out);

/**
 * hr_json_str:
 * @object: (nullable): a JSON object
 * @key: name of the field
 *
 * Returns: (transfer none) (nullable): the string, which belongs to @object; %NULL if the field is
 *   missing or not a string
 */
const char *hr_json_str (const json_t *object, const char *key);

/**
 * hr_json_bool:
 * @object: (nullable): a JSON object
 * @key: name of the field
 * @out: (out): the value; unchanged on failure
 *
 * Returns: %FALSE if the field is missing or of another type
 */
gboolean hr_json_bool (const json_t *object, const char *key, gboolean *out);

/**
 * hr_json_take_text:
 * @value: (transfer full): any value
 *
 * Serialises a value and releases it.
 *
 * Returns: (transfer full): the value as compact JSON text
 */
char *hr_json_take_text (json_t *value);
