/* Writes messages with counts above 2^63 - 1, which jansson's integers cannot hold, or with values
 * that are JSON text already. The generator is yajl's: members and elements are written in order,
 * each name and each value by one call. */
#pragma once
#include <glib.h>
#include <yajl/yajl_gen.h>

/**
 * hr_json_write_string:
 * @generator: a generator
 * @text: a name or a string, in UTF-8
 */
void hr_json_write_string (yajl_gen generator, const char *text);

/**
 * hr_json_write_count:
 * @generator: a generator
 * @count: a value
 */
void hr_json_write_count (yajl_gen generator, guint64 count);

/**
 * hr_json_write_real:
 * @generator: a generator
 * @number: a value; finite
 *
 * Writes the number as jansson does, with a decimal point.
 */
void hr_json_write_real (yajl_gen generator, double number);

/**
 * hr_json_write_raw:
 * @generator: a generator
 * @json: a value, as JSON text
 */
void hr_json_write_raw (yajl_gen generator, const char *json);

/**
 * hr_json_writer_finish:
 * @generator: (transfer full): a generator
 *
 * Returns: (transfer full): the text that was written
 */
char *hr_json_writer_finish (yajl_gen generator);
