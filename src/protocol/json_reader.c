#include "protocol/json_reader.h"
#include <errno.h>
#include <math.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* Maximum nesting of arrays and objects that are kept; jansson frees them recursively. */
#define MAX_KEPT_DEPTH 2048
/* Containers of most messages nest no deeper than this. */
#define USUAL_DEPTH 8
/* Numbers of most messages are shorter than this. */
#define USUAL_NUMBER_BYTES 32

static const HrJsonMember any_value = {.kind = HR_JSON_ANY};
static const HrJsonMember any_scalar = {.kind = HR_JSON_SCALAR};

/* An array or object that is being read. */
typedef struct {
  json_t *container;           /* belongs to the root */
  const HrJsonMember *members; /* known members of the object, or of the array's objects */
  gboolean is_any;             /* everything in it is kept */
} Frame;

typedef struct {
  yajl_handle parser;
  const char *data;
  gsize len;
  gsize token_end;            /* offset behind the last token that was handed over */
  GArray *frames;             /* Frame, the innermost last */
  const HrJsonMember *member; /* of the innermost object: the one whose value follows */
  char *any_name;             /* name of that member, if everything in the object is kept */
  gsize skipped_depth;        /* nesting within a value that is skipped; 0: none */
  json_t *root;
  GError **error;
} Reader;

/* ---- results of the callbacks ---- */

static int
go_on (Reader *reader)
{
  reader->token_end = yajl_get_bytes_consumed (reader->parser);
  return 1;
}

static const char *
member_name (const Reader *reader)
{
  if (reader->any_name)
    return reader->any_name;
  return reader->member && reader->member->name ? reader->member->name : "(array)";
}

static int
stop_at_member (Reader *reader, const char *why)
{
  g_set_error (reader->error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_FIELD, "field %s: %s",
               member_name (reader), why);
  return 0;
}

/* ---- the tree of what is kept ---- */

static Frame *
innermost (const Reader *reader)
{
  return reader->frames->len ? &g_array_index (reader->frames, Frame, reader->frames->len - 1)
                             : NULL;
}

/* Returns the description of the value that begins now; NULL: it is skipped. */
static const HrJsonMember *
expected_value (const Reader *reader)
{
  const Frame *frame = innermost (reader);
  if (reader->skipped_depth)
    return NULL;
  if (!frame || !json_is_array (frame->container))
    return reader->member;
  return frame->is_any ? &any_value : &any_scalar;
}

static void
attach (Reader *reader, json_t *value)
{
  const Frame *frame = innermost (reader);
  if (!frame)
    reader->root = value;
  else if (json_is_array (frame->container))
    json_array_append_new (frame->container, value);
  else
    json_object_set_new_nocheck (frame->container, member_name (reader), value);
}

static int
keep (Reader *reader, json_t *value)
{
  attach (reader, value);
  return go_on (reader);
}

/* Returns the members that are read of an array or object; NULL: none, or all. */
static const HrJsonMember *
members_within (const Reader *reader, const HrJsonMember *expected, gboolean is_array)
{
  const Frame *frame = innermost (reader);
  gboolean is_element = frame && json_is_array (frame->container);
  if (is_element)
    return is_array ? NULL : frame->members;
  return expected->kind == (is_array ? HR_JSON_LIST : HR_JSON_OBJECT) ? expected->members : NULL;
}

static int
begin_container (Reader *reader, gboolean is_array)
{
  const HrJsonMember *expected = expected_value (reader);
  if (!expected) {
    reader->skipped_depth++;
    return go_on (reader);
  }
  Frame frame = {.is_any = expected->kind == HR_JSON_ANY};
  frame.members = members_within (reader, expected, is_array);
  gboolean is_list = is_array && expected->kind == HR_JSON_LIST;
  if (reader->frames->len >= MAX_KEPT_DEPTH)
    return stop_at_member (reader, "nested too deeply");
  frame.container = is_array ? json_array () : json_object ();
  attach (reader, frame.container);
  if (frame.is_any || frame.members || is_list)
    g_array_append_val (reader->frames, frame);
  else
    reader->skipped_depth = 1;
  return go_on (reader);
}

static int
end_container (Reader *reader)
{
  if (reader->skipped_depth)
    reader->skipped_depth--;
  else
    g_array_set_size (reader->frames, reader->frames->len - 1);
  return go_on (reader);
}

/* ---- strings ---- */

/* Decodes a string with escapes as jansson does, which refuses NUL and unpaired surrogates; yajl
 * replaces the latter. */
static json_t *
decode_escapes (const Reader *reader)
{
  gsize end = yajl_get_bytes_consumed (reader->parser);
  const char *from = reader->data + reader->token_end;
  const char *quote = memchr (from, '"', end - reader->token_end);
  if (!quote)
    return NULL;
  return json_loadb (quote, reader->data + end - quote, JSON_DECODE_ANY, NULL);
}

static gboolean
has_escapes (const Reader *reader, const char *text)
{
  return text < reader->data || text >= reader->data + reader->len;
}

static int
on_string (void *data, const unsigned char *bytes, size_t len)
{
  Reader *reader = data;
  const char *text = (const char *)bytes;
  if (!expected_value (reader))
    return go_on (reader);
  json_t *value =
      has_escapes (reader, text) ? decode_escapes (reader) : json_stringn_nocheck (text, len);
  return value ? keep (reader, value) : stop_at_member (reader, "a string with an invalid escape");
}

/* ---- numbers ---- */

static json_t *
real_value (const char *text)
{
  double number = g_ascii_strtod (text, NULL);
  return isfinite (number) ? json_real (number) : NULL;
}

/* Returns the integer; one without a 64-bit form becomes a real number. Of a count, the value holds
 * the 64 bits without a sign, so a negative one becomes a real number too. */
static json_t *
integer_value (const char *text, gboolean is_count)
{
  errno = 0;
  if (text[0] == '-') {
    gint64 value = g_ascii_strtoll (text, NULL, 10);
    if (!errno && (!is_count || !value))
      return json_integer (value);
  } else {
    guint64 value = g_ascii_strtoull (text, NULL, 10);
    if (!errno && (is_count || value <= G_MAXINT64))
      return json_integer ((json_int_t)value);
  }
  return real_value (text);
}

/* Returns the number; NULL if it is too large for a double. */
static json_t *
number_value (const char *text, gboolean is_count)
{
  return strpbrk (text, ".eE") ? real_value (text) : integer_value (text, is_count);
}

static int
on_number (void *data, const char *digits, size_t len)
{
  Reader *reader = data;
  const HrJsonMember *expected = expected_value (reader);
  if (!expected)
    return go_on (reader);
  char usual[USUAL_NUMBER_BYTES];
  g_autofree char *longer = len < sizeof usual ? NULL : g_strndup (digits, len);
  if (!longer) {
    memcpy (usual, digits, len);
    usual[len] = 0;
  }
  json_t *value = number_value (longer ? longer : usual, expected->kind == HR_JSON_COUNT);
  return value ? keep (reader, value) : stop_at_member (reader, "a number out of range");
}

/* ---- other values ---- */

static int
on_null (void *data)
{
  Reader *reader = data;
  return expected_value (reader) ? keep (reader, json_null ()) : go_on (reader);
}

static int
on_boolean (void *data, int value)
{
  Reader *reader = data;
  return expected_value (reader) ? keep (reader, json_boolean (value)) : go_on (reader);
}

static int
on_object_begin (void *data)
{
  return begin_container (data, FALSE);
}

static int
on_array_begin (void *data)
{
  return begin_container (data, TRUE);
}

static int
on_end (void *data)
{
  return end_container (data);
}

/* ---- names ---- */

static const HrJsonMember *
find_member (const HrJsonMember *members, const char *name, gsize len)
{
  for (const HrJsonMember *member = members; member->name; member++)
    if (strlen (member->name) == len && memcmp (member->name, name, len) == 0)
      return member;
  return NULL;
}

/* Sets the name of a member of an object in which everything is kept. */
static gboolean
take_any_name (Reader *reader, const char *name, gsize len)
{
  g_clear_pointer (&reader->any_name, g_free);
  reader->member = &any_value;
  if (!has_escapes (reader, name)) {
    reader->any_name = g_strndup (name, len);
    return TRUE;
  }
  json_t *decoded = decode_escapes (reader);
  reader->any_name = g_strdup (json_string_value (decoded));
  json_decref (decoded);
  return reader->any_name != NULL;
}

static int
on_name (void *data, const unsigned char *bytes, size_t len)
{
  Reader *reader = data;
  const char *name = (const char *)bytes;
  if (reader->skipped_depth)
    return go_on (reader);
  const Frame *frame = innermost (reader);
  if (frame->is_any) {
    if (!take_any_name (reader, name, len))
      return stop_at_member (reader, "a name with an invalid escape");
  } else {
    g_clear_pointer (&reader->any_name, g_free);
    reader->member = find_member (frame->members, name, len);
  }
  if (reader->member && json_object_get (frame->container, member_name (reader)))
    return stop_at_member (reader, "given more than once");
  return go_on (reader);
}

static const yajl_callbacks callbacks = {.yajl_null = on_null,
                                         .yajl_boolean = on_boolean,
                                         .yajl_number = on_number,
                                         .yajl_string = on_string,
                                         .yajl_start_map = on_object_begin,
                                         .yajl_map_key = on_name,
                                         .yajl_end_map = on_end,
                                         .yajl_start_array = on_array_begin,
                                         .yajl_end_array = on_end};

/* ---- the whole text ---- */

static void
set_syntax_error (GError **error, gsize offset, const char *why)
{
  g_set_error (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_SYNTAX, "not valid JSON at byte %d: %s",
               (int)MIN (offset, G_MAXINT), why);
}

static void
set_parser_error (Reader *reader)
{
  unsigned char *text = yajl_get_error (reader->parser, 0, NULL, 0);
  g_strchomp ((char *)text);
  set_syntax_error (reader->error, yajl_get_bytes_consumed (reader->parser), (const char *)text);
  yajl_free_error (reader->parser, text);
}

static gboolean
parse_text (Reader *reader)
{
  yajl_status status =
      yajl_parse (reader->parser, (const unsigned char *)reader->data, reader->len);
  if (status == yajl_status_ok)
    status = yajl_complete_parse (reader->parser);
  if (status == yajl_status_error)
    set_parser_error (reader);
  return status == yajl_status_ok;
}

json_t *
hr_json_parse (const char *data, gsize len, const HrJsonMember *members, GError **error)
{
  const char *invalid;
  if (!data)
    len = 0;
  if (!g_utf8_validate_len (data ? data : "", len, &invalid)) {
    set_syntax_error (error, invalid - data, "not UTF-8");
    return NULL;
  }
  HrJsonMember body = {.kind = HR_JSON_OBJECT, .members = members};
  Reader reader = {.data = data ? data : "", .len = len, .member = &body, .error = error};
  reader.frames = g_array_sized_new (FALSE, FALSE, sizeof (Frame), USUAL_DEPTH);
  reader.parser = yajl_alloc (&callbacks, NULL, &reader);
  yajl_config (reader.parser, yajl_dont_validate_strings, 1); /* validated above */
  gboolean ok = parse_text (&reader);
  yajl_free (reader.parser);
  g_array_unref (reader.frames);
  g_free (reader.any_name);
  if (ok && json_is_object (reader.root))
    return reader.root;
  if (ok)
    g_set_error_literal (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_FIELD,
                         "the body is not a JSON object");
  json_decref (reader.root);
  return NULL;
}
