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
  GHashTable *vars, *set; /* set: tunables already given */
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
fail (Parser *p, const char *expected)
{
  if (!p->failed) {
    g_scanner_get_next_token (p->scan);
    g_set_error (p->error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "%s:%u:%u: expected %s", p->file,
                 g_scanner_cur_line (p->scan), g_scanner_cur_position (p->scan), expected);
  }
  p->failed = TRUE;
  return 0;
}

static gboolean
accept (Parser *p, guint token)
{
  if (p->failed || g_scanner_peek_next_token (p->scan) != token)
    return FALSE;
  g_scanner_get_next_token (p->scan);
  return TRUE;
}

static void
need (Parser *p, guint token, const char *expected)
{
  if (!p->failed && !accept (p, token))
    fail (p, expected);
}

static double expr (Parser *p);

static double
named (Parser *p)
{
  g_autofree char *name = g_strdup (p->scan->next_value.v_identifier);
  const double *v = g_hash_table_lookup (p->vars, name);
  gboolean least = g_str_equal (name, "min");
  if (v) {
    g_scanner_get_next_token (p->scan);
    return *v;
  }
  for (gsize i = 0; i < G_N_ELEMENTS (tunables); i++)
    if (g_str_equal (tunables[i].name, name) && g_hash_table_contains (p->set, name)) {
      g_scanner_get_next_token (p->scan);
      return G_STRUCT_MEMBER (double, p->out, tunables[i].offset);
    }
  if (!least && !g_str_equal (name, "max"))
    return fail (p, "a figure of the platform, or a tunable set further up");
  g_scanner_get_next_token (p->scan);
  need (p, '(', "'('");
  double r = expr (p);
  while (accept (p, ',')) {
    double x = expr (p);
    r = least ? MIN (r, x) : MAX (r, x);
  }
  need (p, ')', "')' or ','");
  return r;
}

static double
unary (Parser *p)
{
  if (p->failed)
    return 0;
  if (++p->depth > 200)
    return fail (p, "fewer nested parts");
  double r = 0;
  if (accept (p, '-'))
    r = -unary (p);
  else if (accept (p, '!'))
    r = !unary (p);
  else if (accept (p, G_TOKEN_FLOAT))
    r = p->scan->value.v_float;
  else if (accept (p, '(')) {
    r = expr (p);
    need (p, ')', "')'");
  } else if (g_scanner_peek_next_token (p->scan) == G_TOKEN_IDENTIFIER)
    r = named (p);
  else
    r = fail (p, "a number, a name or '('");
  p->depth--;
  return r;
}

static double
product (Parser *p)
{
  double r = unary (p);
  while (!p->failed) {
    if (accept (p, '*'))
      r *= unary (p);
    else if (accept (p, '/')) {
      double d = unary (p);
      if (!p->failed && d == 0)
        return fail (p, "a divisor other than 0");
      r /= d;
    } else
      break;
  }
  return r;
}

static double
sum (Parser *p)
{
  double r = product (p);
  while (!p->failed) {
    if (accept (p, '+'))
      r += product (p);
    else if (accept (p, '-'))
      r -= product (p);
    else
      break;
  }
  return r;
}

static double
compare (Parser *p)
{
  double l = sum (p);
  if (accept (p, '<'))
    return accept (p, '=') ? l <= sum (p) : l < sum (p);
  if (accept (p, '>'))
    return accept (p, '=') ? l >= sum (p) : l > sum (p);
  if (accept (p, '=')) {
    need (p, '=', "'=='");
    return l == sum (p);
  }
  if (accept (p, '!')) {
    need (p, '=', "'!='");
    return l != sum (p);
  }
  return l;
}

static double
both (Parser *p)
{
  double l = compare (p);
  while (accept (p, '&')) {
    need (p, '&', "'&&'");
    double r = compare (p);
    l = l != 0 && r != 0;
  }
  return l;
}

static double
either (Parser *p)
{
  double l = both (p);
  while (accept (p, '|')) {
    need (p, '|', "'||'");
    double r = both (p);
    l = l != 0 || r != 0;
  }
  return l;
}

static double
expr (Parser *p)
{
  double c = either (p);
  if (!accept (p, '?'))
    return c;
  double a = expr (p);
  need (p, ':', "':'");
  double b = expr (p);
  return c != 0 ? a : b;
}

static void
assignment (Parser *p)
{
  if (g_scanner_peek_next_token (p->scan) != G_TOKEN_IDENTIFIER) {
    fail (p, "the name of a tunable");
    return;
  }
  const Tunable *t = NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (tunables); i++)
    if (g_str_equal (tunables[i].name, p->scan->next_value.v_identifier))
      t = &tunables[i];
  if (!t || g_hash_table_contains (p->set, t->name)) {
    fail (p, t ? "each tunable once" : "a tunable that exists (see docs/operations.md)");
    return;
  }
  g_scanner_get_next_token (p->scan);
  need (p, '=', "'='");
  double v = expr (p);
  if (p->failed)
    return;
  if (!isfinite (v) || v < t->lo || v > t->hi) {
    g_autofree char *want = g_strdup_printf ("%s from %g to %g, not %g", t->name, t->lo, t->hi, v);
    fail (p, want);
    return;
  }
  need (p, ';', "';'");
  G_STRUCT_MEMBER (double, p->out, t->offset) = v;
  g_hash_table_add (p->set, (gpointer)t->name);
}

static void
quiet (GScanner *s, gchar *message, gboolean is_error)
{
}

gboolean
hr_policy_eval (const char *file, const char *text, GHashTable *vars, HrPolicy *out, GError **error)
{
  memset (out, 0, sizeof *out);
  Parser p = {
      .scan = g_scanner_new (&config), .file = file, .vars = vars, .out = out, .error = error};
  p.set = g_hash_table_new (g_str_hash, g_str_equal);
  p.scan->msg_handler = quiet;
  g_scanner_input_text (p.scan, text, strlen (text));
  while (!p.failed && g_scanner_peek_next_token (p.scan) != G_TOKEN_EOF)
    assignment (&p);
  for (gsize i = 0; !p.failed && i < G_N_ELEMENTS (tunables); i++)
    if (!g_hash_table_contains (p.set, tunables[i].name)) {
      g_autofree char *want = g_strdup_printf ("a line that sets %s", tunables[i].name);
      fail (&p, want);
    }
  g_scanner_destroy (p.scan);
  g_hash_table_unref (p.set);
  return !p.failed;
}

gboolean
hr_policy_load (const char *file, GHashTable *vars, HrPolicy *out, GError **error)
{
  g_autofree char *text = NULL;
  return g_file_get_contents (file, &text, NULL, error) &&
         hr_policy_eval (file, text, vars, out, error);
}

char *
hr_policy_describe (const HrPolicy *p)
{
  GString *s = g_string_new (NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (tunables); i++)
    g_string_append_printf (s, "%-20s %10g   %s\n", tunables[i].name,
                            G_STRUCT_MEMBER (double, p, tunables[i].offset), tunables[i].doc);
  return g_string_free (s, FALSE);
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
