/* What the operators' policy may use of the platform's figures, and what has to hold between them.
 */
#include "coordination/core.h"

gboolean
hr_core_policy_check (const HrPolicy *policy, GHashTable *vars, GError **error)
{
  const double *lease = g_hash_table_lookup (vars, "lease_s");
  const double *cancel = g_hash_table_lookup (vars, "cancel_s");
  /* A leader that the state service refuses cannot see a cancellation. It goes on
   * answering workers for hold_s, and their leases outlast that. */
  double ends = policy->hold_s + *lease * 1.002 + policy->lease_margin_s;
  const double *report = g_hash_table_lookup (vars, "report_s");
  const struct {
    gboolean good;
    const char *what, *relation;
    double limit, value;
  } figures[] = {
      {ends < *cancel, "hold_s + lease_s + lease_margin_s", "below cancel_s", *cancel, ends},
      /* Reports come every report_s, give or take a quarter. */
      {policy->overdue_s > 1.25 * *report, "overdue_s", "above 1.25 report_s", 1.25 * *report,
       policy->overdue_s},
      {policy->silent_s >= policy->overdue_s, "silent_s", "at least overdue_s", policy->overdue_s,
       policy->silent_s},
  };
  for (guint i = 0; i < G_N_ELEMENTS (figures); i++)
    if (!figures[i].good) {
      g_set_error (error, HR_POLICY_ERROR, HR_POLICY_ERROR_CONFLICT,
                   "policy: expected %s %s (%g), not %g", figures[i].what, figures[i].relation,
                   figures[i].limit, figures[i].value);
      return FALSE;
    }
  return TRUE;
}

void
hr_core_policy_vars (const HrSettings *settings, GHashTable *vars)
{
  hr_policy_vars_set (vars, "report_s", settings ? settings->report_s : 2.5);
  hr_policy_vars_set (vars, "lease_s", settings ? settings->lease_s : 14);
  hr_policy_vars_set (vars, "gang_wait_s", settings ? settings->gang_wait_s : 30);
  hr_policy_vars_set (vars, "gang_peer_s", settings ? settings->gang_peer_s : 4);
  hr_policy_vars_set (vars, "cancel_s", settings ? settings->cancel_s : 40);
  hr_policy_vars_set (vars, "state_rps", settings ? settings->planned.rps : 100);
  hr_policy_vars_set (vars, "write_rps", settings ? settings->planned.write_rps : 15);
  hr_policy_vars_set (vars, "value_kb", settings ? settings->planned.value_kb : 4);
  hr_policy_vars_set (vars, "cloud_rps", settings ? settings->cloud_rps : 8);
  hr_policy_vars_set (vars, "list_lag_s", settings ? settings->list_lag_s : 3);
  hr_policy_vars_set (vars, "controllers", settings ? settings->members->len + 1 : 3);
}
