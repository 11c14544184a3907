/* Parses policy files. Expressions are evaluated while they are parsed.
 *
 * Grammar:
 *   file   = { name "=" expr ";" }
 *   expr   = or [ "?" expr ":" expr ]
 *   or     = and { "||" and }          and = cmp { "&&" cmp }
 *   cmp    = sum [ ("<" | ">" | "<=" | ">=" | "==" | "!=") sum ]
 *   sum    = prod { ("+" | "-") prod } prod = unary { ("*" | "/") unary }
 *   unary  = "-" unary | "!" unary | number | name | ("min" | "max") "(" expr { "," expr } ")"
 *          | "(" expr ")"
 * A name is a platform variable or a tunable assigned above. Both branches of `?:` are parsed and
 * checked whatever the condition is, so that an error in the unused branch is reported too. */
#include "policy/policy.h"
#include "policy/tunables.h"
#include <math.h>
#include <string.h>

/* Limit on nested expressions: without it, a deeply nested file could overflow the stack. */
#define MAX_DEPTH 200

typedef struct {
  GScanner *scanner;
  const char *file;
  GHashTable *variables; /* name -> double *: platform variables */
  GHashTable *assigned;  /* set of names: tunables already assigned */
  HrPolicy *out;
  GError **error;
  gboolean failed;
  guint depth; /* of nested expressions */
} Parser;

static const GScannerConfig scanner_config = {
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

/* Records the first error, after which parsing stops. Always returns 0, as the value that the
 * caller returns. */
static double
fail (Parser *parser, HrPolicyError code, const char *expected)
{
  if (!parser->failed) {
    g_scanner_get_next_token (parser->scanner);
    g_set_error (parser->error, HR_POLICY_ERROR, code, "%s:%u:%u: expected %s", parser->file,
                 g_scanner_cur_line (parser->scanner), g_scanner_cur_position (parser->scanner),
                 expected);
  }
  parser->failed = TRUE;
  return 0;
}

static gboolean
accept_token (Parser *parser, guint token)
{
  if (parser->failed || g_scanner_peek_next_token (parser->scanner) != token)
    return FALSE;
  g_scanner_get_next_token (parser->scanner);
  return TRUE;
}

static void
require_token (Parser *parser, guint token, const char *expected)
{
  if (!parser->failed && !accept_token (parser, token))
    fail (parser, HR_POLICY_ERROR_SYNTAX, expected);
}

static double parse_expression (Parser *parser);

static double
parse_name (Parser *parser)
{
  g_autofree char *name = g_strdup (parser->scanner->next_value.v_identifier);
  const double *variable = g_hash_table_lookup (parser->variables, name);
  gboolean is_min = g_str_equal (name, "min");
  if (variable) {
    g_scanner_get_next_token (parser->scanner);
    return *variable;
  }
  const HrTunable *tunable = hr_tunable_find (name);
  if (tunable && g_hash_table_contains (parser->assigned, name)) {
    g_scanner_get_next_token (parser->scanner);
    return *hr_tunable_value (tunable, parser->out);
  }
  if (!is_min && !g_str_equal (name, "max"))
    return fail (parser, HR_POLICY_ERROR_SYNTAX,
                 "a platform variable, or a tunable assigned above");
  g_scanner_get_next_token (parser->scanner);
  require_token (parser, '(', "'('");
  double value = parse_expression (parser);
  while (accept_token (parser, ',')) {
    double next = parse_expression (parser);
    value = is_min ? MIN (value, next) : MAX (value, next);
  }
  require_token (parser, ')', "')' or ','");
  return value;
}

static double
parse_unary (Parser *parser)
{
  if (parser->failed)
    return 0;
  if (++parser->depth > MAX_DEPTH)
    return fail (parser, HR_POLICY_ERROR_SYNTAX, "fewer nested expressions");
  double value = 0;
  if (accept_token (parser, '-'))
    value = -parse_unary (parser);
  else if (accept_token (parser, '!'))
    value = !parse_unary (parser);
  else if (accept_token (parser, G_TOKEN_FLOAT))
    value = parser->scanner->value.v_float;
  else if (accept_token (parser, '(')) {
    value = parse_expression (parser);
    require_token (parser, ')', "')'");
  } else if (g_scanner_peek_next_token (parser->scanner) == G_TOKEN_IDENTIFIER)
    value = parse_name (parser);
  else
    value = fail (parser, HR_POLICY_ERROR_SYNTAX, "a number, a name or '('");
  parser->depth--;
  return value;
}

static double
parse_product (Parser *parser)
{
  double value = parse_unary (parser);
  while (!parser->failed) {
    if (accept_token (parser, '*'))
      value *= parse_unary (parser);
    else if (accept_token (parser, '/')) {
      double divisor = parse_unary (parser);
      if (!parser->failed && divisor == 0)
        return fail (parser, HR_POLICY_ERROR_SYNTAX, "a divisor other than 0");
      value /= divisor;
    } else
      break;
  }
  return value;
}

static double
parse_sum (Parser *parser)
{
  double value = parse_product (parser);
  while (!parser->failed) {
    if (accept_token (parser, '+'))
      value += parse_product (parser);
    else if (accept_token (parser, '-'))
      value -= parse_product (parser);
    else
      break;
  }
  return value;
}

static double
parse_comparison (Parser *parser)
{
  double left = parse_sum (parser);
  if (accept_token (parser, '<'))
    return accept_token (parser, '=') ? left <= parse_sum (parser) : left < parse_sum (parser);
  if (accept_token (parser, '>'))
    return accept_token (parser, '=') ? left >= parse_sum (parser) : left > parse_sum (parser);
  if (accept_token (parser, '=')) {
    require_token (parser, '=', "'=='");
    return left == parse_sum (parser);
  }
  if (accept_token (parser, '!')) {
    require_token (parser, '=', "'!='");
    return left != parse_sum (parser);
  }
  return left;
}

static double
parse_and (Parser *parser)
{
  double left = parse_comparison (parser);
  while (accept_token (parser, '&')) {
    require_token (parser, '&', "'&&'");
    double right = parse_comparison (parser);
    left = left != 0 && right != 0;
  }
  return left;
}

static double
parse_or (Parser *parser)
{
  double left = parse_and (parser);
  while (accept_token (parser, '|')) {
    require_token (parser, '|', "'||'");
    double right = parse_and (parser);
    left = left != 0 || right != 0;
  }
  return left;
}

static double
parse_expression (Parser *parser)
{
  double value = parse_or (parser);
  if (!accept_token (parser, '?'))
    return value;
  double if_true = parse_expression (parser);
  require_token (parser, ':', "':'");
  double if_false = parse_expression (parser);
  return value != 0 ? if_true : if_false;
}

static void
parse_assignment (Parser *parser)
{
  if (g_scanner_peek_next_token (parser->scanner) != G_TOKEN_IDENTIFIER) {
    fail (parser, HR_POLICY_ERROR_SYNTAX, "the name of a tunable");
    return;
  }
  const HrTunable *tunable = hr_tunable_find (parser->scanner->next_value.v_identifier);
  if (!tunable || g_hash_table_contains (parser->assigned, tunable->name)) {
    fail (parser, HR_POLICY_ERROR_SYNTAX,
          tunable ? "each tunable to be set once"
                  : "the name of a tunable (see docs/operations.md)");
    return;
  }
  g_scanner_get_next_token (parser->scanner);
  require_token (parser, '=', "'='");
  double value = parse_expression (parser);
  if (parser->failed)
    return;
  if (!isfinite (value) || value < tunable->min || value > tunable->max) {
    g_autofree char *expected = g_strdup_printf ("%s from %g to %g, not %g", tunable->name,
                                                 tunable->min, tunable->max, value);
    fail (parser, HR_POLICY_ERROR_RANGE, expected);
    return;
  }
  require_token (parser, ';', "';'");
  *hr_tunable_value (tunable, parser->out) = value;
  g_hash_table_add (parser->assigned, (gpointer)tunable->name);
}

static void
ignore_message (GScanner *scanner G_GNUC_UNUSED, gchar *message G_GNUC_UNUSED,
                gboolean is_error G_GNUC_UNUSED)
{
}

static GScanner *
new_scanner (const char *text)
{
  GScanner *scanner = g_scanner_new (&scanner_config);
  scanner->msg_handler = ignore_message; /* the parser reports errors itself */
  g_scanner_input_text (scanner, text, strlen (text));
  return scanner;
}

gboolean
hr_policy_eval (const char *file, const char *text, GHashTable *vars, HrPolicy *out, GError **error)
{
  memset (out, 0, sizeof *out);
  g_autoptr (GHashTable) assigned = g_hash_table_new (g_str_hash, g_str_equal);
  Parser parser = {.scanner = new_scanner (text),
                   .file = file,
                   .variables = vars,
                   .assigned = assigned,
                   .out = out,
                   .error = error};
  while (!parser.failed && g_scanner_peek_next_token (parser.scanner) != G_TOKEN_EOF)
    parse_assignment (&parser);
  for (gsize i = 0; !parser.failed && i < hr_n_tunables; i++)
    if (!g_hash_table_contains (assigned, hr_tunables[i].name)) {
      g_autofree char *expected = g_strdup_printf ("a line that sets %s", hr_tunables[i].name);
      fail (&parser, HR_POLICY_ERROR_MISSING, expected);
    }
  g_scanner_destroy (parser.scanner);
  return !parser.failed;
}
