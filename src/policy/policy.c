#include "policy/policy.h"
#include "policy/tunables.h"

GQuark
hr_policy_error_quark (void)
{
  return g_quark_from_static_string ("hr-policy-error-quark");
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
  for (gsize i = 0; i < hr_n_tunables; i++) {
    const HrTunable *tunable = &hr_tunables[i];
    double value = G_STRUCT_MEMBER (double, policy, tunable->offset);
    g_string_append_printf (text, "%-20s %10g   %s\n", tunable->name, value, tunable->description);
  }
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
