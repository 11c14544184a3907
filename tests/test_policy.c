/* The expression language of the policy file. */
#include "coordination/core.h"
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

static char *
policy_with_line (const char *line)
{
  g_autofree char *text = NULL;
  g_assert_true (g_file_get_contents (SOURCE_ROOT "/deploy/policy.hop", &text, NULL, NULL));
  /* idle_s is the tunable under test: its line in the file is replaced. */
  g_autoptr (GRegex) regex = g_regex_new ("^idle_s = .*$", G_REGEX_MULTILINE, 0, NULL);
  return g_regex_replace_literal (regex, text, -1, 0, line, 0, NULL);
}

static double
evaluate (const char *expr)
{
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  g_autofree char *line = g_strdup_printf ("idle_s = %s;", expr);
  g_autofree char *text = policy_with_line (line);
  g_autoptr (GError) error = NULL;
  HrPolicy policy;
  hr_core_policy_vars (NULL, vars);
  return hr_policy_eval ("t", text, vars, &policy, &error) ? policy.idle_s : NAN;
}

static void
arithmetic (void **state G_GNUC_UNUSED)
{
  assert_float_equal (evaluate ("2 + 3 * 4"), 14, 1e-9);
  assert_float_equal (evaluate ("(2 + 3) * 4"), 20, 1e-9);
  assert_float_equal (evaluate ("10 - 2 - 3"), 5, 1e-9);
  assert_float_equal (evaluate ("2 * lease_s"), 28, 1e-9);
  assert_float_equal (evaluate ("min(9, 4, 6) + max(1, 2)"), 6, 1e-9);
  assert_float_equal (evaluate ("lease_s > 10 && report_s < 3 ? 7 : 8"), 7, 1e-9);
  assert_float_equal (evaluate ("lease_s <= 10 || 0 ? 7 : 8"), 8, 1e-9);
  assert_float_equal (evaluate ("!0 + 1"), 2, 1e-9);
  assert_float_equal (evaluate ("- -5"), 5, 1e-9);
  assert_float_equal (evaluate ("tabu_jobs / 2"), 10, 1e-9);
}

static void
invalid_expressions_are_rejected (void **state G_GNUC_UNUSED)
{
  static const char *const invalid[] = {"",        "1 +",    "nothing", "1 / 0",   "min()", "(1",
                                        "1 ? 2",   "1 == ",  "-1",      "1e99",    "1 2",   "&& 1",
                                        "1 ? 2 :", "max(1,", "idle_s",  "\"text\""};
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    if (!isnan (evaluate (invalid[i])))
      fail_msg ("accepted: %s", invalid[i]);
  assert_true (isnan (evaluate ("1; idle_s = 2")));  /* a tunable may be set only once */
  assert_true (isnan (evaluate ("1; no_such = 2"))); /* unknown tunable */
}

/* Guards against crashes on corrupted files: each randomly changed file is either accepted, or
 * rejected with an error that names the position in the file. */
static void
randomly_changed_files (void **state G_GNUC_UNUSED)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  hr_core_policy_vars (NULL, vars);
  guint rejected = 0;
  for (guint n = 0; n < 3000; n++) {
    g_autofree char *text = policy_with_line ("idle_s = max(1, lease_s * (2 + 3)) ? 4 : 5;");
    for (int k = g_rand_int_range (rand, 1, 5); k > 0; k--)
      text[g_rand_int_range (rand, 0, strlen (text))] =
          "();=+-*/?:&|<>!,.#\"'0a \n\x80"[g_rand_int_range (rand, 0, 24)];
    g_autoptr (GError) error = NULL;
    HrPolicy policy;
    if (!hr_policy_eval ("t", text, vars, &policy, &error)) {
      assert_non_null (error);
      assert_true (g_str_has_prefix (error->message, "t:"));
      rejected++;
    } else
      assert_true (policy.idle_s >= 0 && policy.tabu_rounds >= 0);
  }
  assert_true (rejected > 500);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (arithmetic),
                                     cmocka_unit_test (invalid_expressions_are_rejected),
                                     cmocka_unit_test (randomly_changed_files)};
  return cmocka_run_group_tests (tests, NULL, NULL);
}
