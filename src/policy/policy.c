/* Grammar:
 *   file   = { name "=" expr ";" }
 *   expr   = or [ "?" expr ":" expr ]
 *   or     = and { "||" and }          and = cmp { "&&" cmp }
 *   cmp    = sum [ ("<" | ">" | "<=" | ">=" | "==" | "!=") sum ]
 *   sum    = prod { ("+" | "-") prod } prod = unary { ("*" | "/") unary }
 *   unary  = "-" unary | "!" unary | number | name | ("min" | "max") "(" expr { "," expr } ")"
 *          | "(" expr ")"
 * A name is a figure of the platform or a tunable set further up. Both arms of
 * a choice are always checked, so that a mistake shows before it matters. */
#include "policy/policy.h"
#include <gio/gio.h>
#include <math.h>
#include <string.h>

typedef struct {
  const char *name;
  double lo, hi;
  gsize offset;
  const char *doc;
} Tunable;

static const Tunable tunables[] = {
#define X(name, lo, hi, doc) {#name, lo, hi, G_STRUCT_OFFSET (HrPolicy, name), doc},
    HR_POLICY_TUNABLES (X)
#undef X
};

typedef struct {
  GScanner *scan;
  const char *file;
  GHashTable *vars, *assigned; /* set: tunables already given */
  HrPolicy *out;
  GError **error;
  gboolean failed;
  guint depth;
} Parser;

static const GScannerConfig config = {
    .cset_skip_characters = (char *)" \t\r\n",
    .cset_identifier_first = (char *)G_CSET_a_2_z "_" G_CSET_A_2_Z,
    .cset_identifier_nth = (char *)G_CSET_a_2_z "_" G_CSET_A_2_Z G_CSET_DIGITS,
    .cpair_comment_single = (char *)"#\n",
    .case_sensitive = TRUE,
    .skip_comment_single = TRUE,
    .scan_identifier = TRUE,
    .scan_identifier_1char = TRUE,
    .scan_float = TRUE,
    .numbers_2_int = TRUE,
    .int_2_float = TRUE,
    .scan_identifier_NULL = FALSE,
    .char_2_token = TRUE,
};

static double
fail (Parser *parser, const char *expected)
{
  if (!parser->failed) {
    g_scanner_get_next_token (parser->scan);
    g_set_error (parser->error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "%s:%u:%u: expected %s",
                 parser->file, g_scanner_cur_line (parser->scan),
                 g_scanner_cur_position (parser->scan), expected);
  }
  parser->failed = TRUE;
  return 0;
}

static gboolean
accept (Parser *parser, guint token)
{
  if (parser->failed || g_scanner_peek_next_token (parser->scan) != token)
    return FALSE;
  g_scanner_get_next_token (parser->scan);
  return TRUE;
}

static void
need (Parser *parser, guint token, const char *expected)
{
  if (!parser->failed && !accept (parser, token))
    fail (parser, expected);
}

static double expr (Parser *parser);

static double
named (Parser *parser)
{
  g_autofree char *name = g_strdup (parser->scan->next_value.v_identifier);
  const double *variable = g_hash_table_lookup (parser->vars, name);
  gboolean least = g_str_equal (name, "min");
  if (variable) {
    g_scanner_get_next_token (parser->scan);
    return *variable;
  }
  for (gsize i = 0; i < G_N_ELEMENTS (tunables); i++)
    if (g_str_equal (tunables[i].name, name) && g_hash_table_contains (parser->assigned, name)) {
      g_scanner_get_next_token (parser->scan);
      return G_STRUCT_MEMBER (double, parser->out, tunables[i].offset);
    }
  if (!least && !g_str_equal (name, "max"))
    return fail (parser, "a figure of the platform, or a tunable set further up");
  g_scanner_get_next_token (parser->scan);
  need (parser, '(', "'('");
  double right = expr (parser);
  while (accept (parser, ',')) {
    double left = expr (parser);
    right = least ? MIN (right, left) : MAX (right, left);
  }
  need (parser, ')', "')' or ','");
  return right;
}

static double
unary (Parser *parser)
{
  if (parser->failed)
    return 0;
  if (++parser->depth > 200)
    return fail (parser, "fewer nested parts");
  double right = 0;
  if (accept (parser, '-'))
    right = -unary (parser);
  else if (accept (parser, '!'))
    right = !unary (parser);
  else if (accept (parser, G_TOKEN_FLOAT))
    right = parser->scan->value.v_float;
  else if (accept (parser, '(')) {
    right = expr (parser);
    need (parser, ')', "')'");
  } else if (g_scanner_peek_next_token (parser->scan) == G_TOKEN_IDENTIFIER)
    right = named (parser);
  else
    right = fail (parser, "a number, a name or '('");
  parser->depth--;
  return right;
}

static double
product (Parser *parser)
{
  double right = unary (parser);
  while (!parser->failed) {
    if (accept (parser, '*'))
      right *= unary (parser);
    else if (accept (parser, '/')) {
      double d = unary (parser);
      if (!parser->failed && d == 0)
        return fail (parser, "a divisor other than 0");
      right /= d;
    } else
      break;
  }
  return right;
}

static double
sum (Parser *parser)
{
  double right = product (parser);
  while (!parser->failed) {
    if (accept (parser, '+'))
      right += product (parser);
    else if (accept (parser, '-'))
      right -= product (parser);
    else
      break;
  }
  return right;
}

static double
compare (Parser *parser)
{
  double left = sum (parser);
  if (accept (parser, '<'))
    return accept (parser, '=') ? left <= sum (parser) : left < sum (parser);
  if (accept (parser, '>'))
    return accept (parser, '=') ? left >= sum (parser) : left > sum (parser);
  if (accept (parser, '=')) {
    need (parser, '=', "'=='");
    return left == sum (parser);
  }
  if (accept (parser, '!')) {
    need (parser, '=', "'!='");
    return left != sum (parser);
  }
  return left;
}

static double
both (Parser *parser)
{
  double left = compare (parser);
  while (accept (parser, '&')) {
    need (parser, '&', "'&&'");
    double right = compare (parser);
    left = left != 0 && right != 0;
  }
  return left;
}

static double
either (Parser *parser)
{
  double left = both (parser);
  while (accept (parser, '|')) {
    need (parser, '|', "'||'");
    double right = both (parser);
    left = left != 0 || right != 0;
  }
  return left;
}

static double
expr (Parser *parser)
{
  double value = either (parser);
  if (!accept (parser, '?'))
    return value;
  double a = expr (parser);
  need (parser, ':', "':'");
  double b = expr (parser);
  return value != 0 ? a : b;
}

static void
assignment (Parser *parser)
{
  if (g_scanner_peek_next_token (parser->scan) != G_TOKEN_IDENTIFIER) {
    fail (parser, "the name of a tunable");
    return;
  }
  const Tunable *tunable = NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (tunables); i++)
    if (g_str_equal (tunables[i].name, parser->scan->next_value.v_identifier))
      tunable = &tunables[i];
  if (!tunable || g_hash_table_contains (parser->assigned, tunable->name)) {
    fail (parser, tunable ? "each tunable once" : "a tunable that exists (see docs/operations.md)");
    return;
  }
  g_scanner_get_next_token (parser->scan);
  need (parser, '=', "'='");
  double value = expr (parser);
  if (parser->failed)
    return;
  if (!isfinite (value) || value < tunable->lo || value > tunable->hi) {
    g_autofree char *want = g_strdup_printf ("%s from %g to %g, not %g", tunable->name, tunable->lo,
                                             tunable->hi, value);
    fail (parser, want);
    return;
  }
  need (parser, ';', "';'");
  G_STRUCT_MEMBER (double, parser->out, tunable->offset) = value;
  g_hash_table_add (parser->assigned, (gpointer)tunable->name);
}

static void
quiet (GScanner *scanner, gchar *message, gboolean is_error)
{
}

gboolean
hr_policy_eval (const char *file, const char *text, GHashTable *vars, HrPolicy *out, GError **error)
{
  memset (out, 0, sizeof *out);
  Parser parser = {
      .scan = g_scanner_new (&config), .file = file, .vars = vars, .out = out, .error = error};
  parser.assigned = g_hash_table_new (g_str_hash, g_str_equal);
  parser.scan->msg_handler = quiet;
  g_scanner_input_text (parser.scan, text, strlen (text));
  while (!parser.failed && g_scanner_peek_next_token (parser.scan) != G_TOKEN_EOF)
    assignment (&parser);
  for (gsize i = 0; !parser.failed && i < G_N_ELEMENTS (tunables); i++)
    if (!g_hash_table_contains (parser.assigned, tunables[i].name)) {
      g_autofree char *want = g_strdup_printf ("a line that sets %s", tunables[i].name);
      fail (&parser, want);
    }
  g_scanner_destroy (parser.scan);
  g_hash_table_unref (parser.assigned);
  return !parser.failed;
}

gboolean
hr_policy_load (const char *file, GHashTable *vars, HrPolicy *out, GError **error)
{
  g_autofree char *text = NULL;
  return g_file_get_contents (file, &text, NULL, error) &&
         hr_policy_eval (file, text, vars, out, error);
}

char *
hr_policy_describe (const HrPolicy *policy)
{
  GString *text = g_string_new (NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (tunables); i++)
    g_string_append_printf (text, "%-20s %10g   %s\n", tunables[i].name,
                            G_STRUCT_MEMBER (double, policy, tunables[i].offset), tunables[i].doc);
  return g_string_free (text, FALSE);
}

GHashTable *
hr_policy_vars_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
hr_policy_vars_set (GHashTable *vars, const char *name, double value)
{
  g_hash_table_replace (vars, g_strdup (name), g_memdup2 (&value, sizeof value));
}
