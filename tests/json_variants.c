#include "json_variants.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DEPTH 3
#define DEEP_NESTING 3000
#define ESCAPED_SHARE 0.2

static const char *
pick (GRand *rand, const char *const *texts, guint n)
{
  return texts[g_rand_int_range (rand, 0, n)];
}
#define PICK(rand, texts) pick (rand, texts, G_N_ELEMENTS (texts))

static const char *const scalars[] = {"0",
                                      "-0",
                                      "18446744073709551615",
                                      "-9223372036854775809",
                                      "1e999",
                                      "-1E+400",
                                      "1.25",
                                      "5e-324",
                                      "null",
                                      "true",
                                      "\"\"",
                                      "\"\\u0000\"",
                                      "\"\\ud800\"",
                                      "\"\\udc00\"",
                                      "\"\\\"}],{[\"",
                                      "\"\xe6\x97\xa5\xe6\x9c\xac\"",
                                      "\"\\/\"",
                                      "[]"};
static const char *const names[] = {"x_labels",         "z", "z", "", "x\\u0000", "\\udc00",
                                    "gr\\u00f6\\u00dfe"};

static void
append_value (GRand *rand, GString *text, guint depth)
{
  guint form = g_rand_int_range (rand, 0, depth < MAX_DEPTH ? 6 : 4);
  guint n = g_rand_int_range (rand, 0, 4);
  if (form < 4) {
    g_string_append (text, PICK (rand, scalars));
    return;
  }
  g_string_append_c (text, form == 4 ? '[' : '{');
  for (guint i = 0; i < n; i++) {
    if (i)
      g_string_append_c (text, ',');
    if (form == 5)
      g_string_append_printf (text, "\"%s\":", PICK (rand, names));
    append_value (rand, text, depth + 1);
  }
  g_string_append_c (text, form == 4 ? ']' : '}');
}

void
json_random_value (GRand *rand, GString *text)
{
  if (g_rand_int_range (rand, 0, 20)) {
    append_value (rand, text, 0);
    return;
  }
  for (guint i = 0; i < DEEP_NESTING; i++)
    g_string_append_c (text, '[');
  for (guint i = 0; i < DEEP_NESTING; i++)
    g_string_append_c (text, ']');
}

char *
json_with_unknown_member (GRand *rand, const char *text)
{
  if (text[0] != '{')
    return g_strdup (text);
  GString *out = g_string_new ("{\"x_added\":");
  json_random_value (rand, out);
  return g_string_free (
      g_string_append (g_string_append (out, text[1] == '}' ? "" : ","), text + 1), FALSE);
}

/* ---- another spelling ---- */

static void
append_space (GRand *rand, GString *text)
{
  static const char *const spaces[] = {"", "", "", " ", "\n\t", "\r\n  "};
  g_string_append (text, PICK (rand, spaces));
}

static void
append_plain (GString *text, const json_t *value)
{
  char *plain = json_dumps (value, JSON_ENCODE_ANY);
  g_string_append (text, plain);
  free (plain);
}

static void
append_string (GRand *rand, GString *text, const char *string)
{
  g_string_append_c (text, '"');
  for (const char *at = string; *at; at++)
    if (g_rand_double (rand) < ESCAPED_SHARE && g_ascii_isprint (*at))
      g_string_append_printf (text, g_rand_boolean (rand) ? "\\u%04x" : "\\u%04X", *at);
    else
      g_string_append_c (text, *at);
  g_string_append_c (text, '"');
}

/* An amount, such as 1.0, 1, 1E0 or 10e-1. */
static void
append_real (GRand *rand, GString *text, const json_t *value)
{
  static const char *const forms[] = {"%.0f", "%.3f", "%.0fE0", "%.1fe+00", "%.0f0e-1"};
  double number = json_real_value (value);
  /* A leading 0 is malformed, so the last form is for other numbers. */
  guint n_forms = G_N_ELEMENTS (forms) - (number == 0);
  if (number == floor (number) && number < 1e9)
    g_string_append_printf (text, pick (rand, forms, n_forms), number);
  else {
    append_plain (text, value);
    g_string_append (text, g_rand_boolean (rand) ? "e0" : "0");
  }
}

static void append_object (GRand *rand, GString *text, const json_t *object,
                           const HrJsonMember *members);

static void
append_known (GRand *rand, GString *text, const json_t *value, const HrJsonMember *member)
{
  size_t i;
  json_t *element;
  HrJsonMember within = {.kind = HR_JSON_OBJECT, .members = member->members};
  if (json_is_object (value) && member->members)
    append_object (rand, text, value, member->members);
  else if (json_is_array (value) && member->kind == HR_JSON_LIST) {
    g_string_append_c (text, '[');
    json_array_foreach (value, i, element)
    {
      g_string_append (text, i ? "," : "");
      append_space (rand, text);
      append_known (rand, text, element, &within);
    }
    g_string_append_c (text, ']');
  } else if (json_is_string (value) && member->kind != HR_JSON_ANY)
    append_string (rand, text, json_string_value (value));
  else if (json_is_real (value) && member->kind != HR_JSON_ANY)
    append_real (rand, text, value);
  else
    append_plain (text, value);
}

static void
append_unknown_members (GRand *rand, GString *text, gboolean *is_first)
{
  while (g_rand_int_range (rand, 0, 8) == 0) {
    g_string_append_printf (text, "%s\"%s\":", *is_first ? "" : ",", PICK (rand, names));
    json_random_value (rand, text);
    *is_first = FALSE;
  }
}

static void
append_object (GRand *rand, GString *text, const json_t *object, const HrJsonMember *members)
{
  g_autoptr (GPtrArray) present = g_ptr_array_new ();
  gboolean is_first = TRUE;
  for (const HrJsonMember *member = members; member->name; member++) {
    const json_t *value = json_object_get (object, member->name);
    if (value && !(json_is_null (value) && g_rand_boolean (rand)))
      g_ptr_array_add (present, (gpointer)member);
  }
  g_string_append_c (text, '{');
  while (present->len) {
    const HrJsonMember *member =
        g_ptr_array_steal_index_fast (present, g_rand_int_range (rand, 0, present->len));
    append_unknown_members (rand, text, &is_first);
    g_string_append (text, is_first ? "" : ",");
    append_space (rand, text);
    append_string (rand, text, member->name);
    append_space (rand, text);
    g_string_append_c (text, ':');
    append_space (rand, text);
    append_known (rand, text, json_object_get (object, member->name), member);
    is_first = FALSE;
  }
  append_unknown_members (rand, text, &is_first);
  g_string_append_c (text, '}');
}

char *
json_variant (GRand *rand, const json_t *message, const HrJsonMember *members)
{
  GString *text = g_string_new (NULL);
  append_space (rand, text);
  append_object (rand, text, message, members);
  append_space (rand, text);
  return g_string_free (text, FALSE);
}

/* ---- malformed ---- */

/* In place of the closing brace. */
static const char *const bad_ends[] = {",}",
                                       ",\"z\":NaN}",
                                       ",\"z\":-Infinity}",
                                       ",\"z\":01}",
                                       ",\"z\":1.}",
                                       ",\"z\":.5}",
                                       ",\"z\":+1}",
                                       ",\"z\":-}",
                                       ",\"z\":1e}",
                                       ",\"z\":0x1}",
                                       ",\"z\":tru}",
                                       ",\"z\":\"\x01\"}",
                                       ",\"z\":\"\n\"}",
                                       ",\"z\":\"\xff\"}",
                                       ",\"z\":\"\xc0\xaf\"}",
                                       ",\"z\":\"\xed\xa0\x80\"}",
                                       ",\"z\":\"\xf4\x90\x80\x80\"}",
                                       ",\"z\":\"\\x\"}",
                                       ",\"z\":\"\\u12g4\"}",
                                       ",'z':1}",
                                       ",z:1}",
                                       ",\"z\" 1}",
                                       ",\"z\":}",
                                       ",\"z\"}",
                                       ",\"z\":[1,]}",
                                       ",\"z\":[[[]]}",
                                       ",\"z\":[}]}",
                                       ",\"z\":1 2}",
                                       ",/*z*/\"z\":1}",
                                       "}}",
                                       "},{}",
                                       "} x",
                                       "}]",
                                       "}1",
                                       ",\"z\":\"}",
                                       ",\"z\":{\"y\":1}",
                                       "]",
                                       ""};

char *
json_malformed (GRand *rand, const char *text)
{
  gsize last = strrchr (text, '}') - text;
  if (g_rand_int_range (rand, 0, 8) == 0)
    return g_strndup (text, g_rand_int_range (rand, 0, last + 1));
  if (g_rand_int_range (rand, 0, 20) == 0)
    return g_strconcat ("\xef\xbb\xbf", text, NULL);
  g_autofree char *open = g_strndup (text, last);
  return g_strconcat (open, PICK (rand, bad_ends), NULL);
}
