/* Connects the operators' policy with the platform: the platform variables that a policy may use,
 * and the constraints between the policy's tunables and the platform variables. */
#include "coordination/core.h"

/* Workers vary the interval between heartbeats by up to a quarter of report_s. */
#define LONGEST_HEARTBEAT_GAP 1.25

/* The variables of a sample platform, used to check a policy without settings. */
#define SAMPLE_REPORT_S 2.5
#define SAMPLE_LEASE_S 14
#define SAMPLE_GANG_WAIT_S 30
#define SAMPLE_GANG_PEER_S 4
#define SAMPLE_CANCEL_S 40
#define SAMPLE_STATE_RPS 100
#define SAMPLE_WRITE_RPS 15
#define SAMPLE_VALUE_KB 4
#define SAMPLE_CLOUD_RPS 8
#define SAMPLE_LIST_LAG_S 3
#define SAMPLE_CONTROLLERS 3

gboolean
hr_core_policy_check (const HrPolicy *policy, GHashTable *vars, GError **error)
{
  const double *lease_s = g_hash_table_lookup (vars, "lease_s");
  const double *cancel_s = g_hash_table_lookup (vars, "cancel_s");
  const double *report_s = g_hash_table_lookup (vars, "report_s");
  /* A leader that the store does not answer cannot read a cancellation. It continues to answer
   * workers for hold_s, and the leases that it renews outlast that time. The cancelled tasks must
   * have ended before cancel_s has passed. */
  double tasks_ended_s = policy->hold_s + *lease_s * HR_LEASE_DRIFT_FACTOR + policy->lease_margin_s;
  double longest_gap_s = LONGEST_HEARTBEAT_GAP * *report_s;
  const struct {
    gboolean holds;
    const char *expression, *relation;
    double limit, value;
  } constraints[] = {
      {tasks_ended_s < *cancel_s, "hold_s + lease_s + lease_margin_s", "below cancel_s", *cancel_s,
       tasks_ended_s},
      {policy->overdue_s > longest_gap_s, "overdue_s", "above 1.25 report_s", longest_gap_s,
       policy->overdue_s},
      {policy->silent_s >= policy->overdue_s, "silent_s", "at least overdue_s", policy->overdue_s,
       policy->silent_s},
  };
  for (guint i = 0; i < G_N_ELEMENTS (constraints); i++)
    if (!constraints[i].holds) {
      g_set_error (error, HR_POLICY_ERROR, HR_POLICY_ERROR_CONFLICT,
                   "policy: expected %s %s (%g), not %g", constraints[i].expression,
                   constraints[i].relation, constraints[i].limit, constraints[i].value);
      return FALSE;
    }
  return TRUE;
}

void
hr_core_policy_vars (const HrSettings *settings, GHashTable *vars)
{
  hr_policy_vars_set (vars, "report_s", settings ? settings->report_s : SAMPLE_REPORT_S);
  hr_policy_vars_set (vars, "lease_s", settings ? settings->lease_s : SAMPLE_LEASE_S);
  hr_policy_vars_set (vars, "gang_wait_s", settings ? settings->gang_wait_s : SAMPLE_GANG_WAIT_S);
  hr_policy_vars_set (vars, "gang_peer_s", settings ? settings->gang_peer_s : SAMPLE_GANG_PEER_S);
  hr_policy_vars_set (vars, "cancel_s", settings ? settings->cancel_s : SAMPLE_CANCEL_S);
  hr_policy_vars_set (vars, "state_rps",
                      settings ? settings->planned_limits.rps : SAMPLE_STATE_RPS);
  hr_policy_vars_set (vars, "write_rps",
                      settings ? settings->planned_limits.write_rps : SAMPLE_WRITE_RPS);
  hr_policy_vars_set (vars, "value_kb",
                      settings ? settings->planned_limits.value_kb : SAMPLE_VALUE_KB);
  hr_policy_vars_set (vars, "cloud_rps", settings ? settings->cloud_rps : SAMPLE_CLOUD_RPS);
  hr_policy_vars_set (vars, "list_lag_s", settings ? settings->list_lag_s : SAMPLE_LIST_LAG_S);
  hr_policy_vars_set (vars, "controllers",
                      settings ? settings->members->len + 1 : SAMPLE_CONTROLLERS);
}
