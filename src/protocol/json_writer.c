#include "protocol/json_writer.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Longest count as text, with the terminating NUL. */
#define MAX_COUNT_BYTES 21

void
hr_json_write_string (yajl_gen generator, const char *text)
{
  yajl_gen_string (generator, (const unsigned char *)text, strlen (text));
}

void
hr_json_write_count (yajl_gen generator, guint64 count)
{
  char text[MAX_COUNT_BYTES];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, count);
  hr_json_write_raw (generator, text);
}

void
hr_json_write_real (yajl_gen generator, double number)
{
  json_t *value = json_real (number);
  char *text = json_dumps (value, JSON_ENCODE_ANY);
  json_decref (value);
  hr_json_write_raw (generator, text);
  free (text);
}

void
hr_json_write_raw (yajl_gen generator, const char *json)
{
  /* yajl writes the text of a number as it is. */
  yajl_gen_number (generator, json, strlen (json));
}

char *
hr_json_writer_finish (yajl_gen generator)
{
  const unsigned char *text;
  size_t len;
  yajl_gen_get_buf (generator, &text, &len);
  char *copy = g_strndup ((const char *)text, len);
  yajl_gen_free (generator);
  return copy;
}
