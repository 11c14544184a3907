/* The operators' policy: a file of assignments `name = expression;` that set each tunable, computed
 * from variables that describe the platform. policy_parser.c has the grammar. Names that end in
 * `_s` are in seconds. */
#pragma once
#include <glib.h>

/* All tunables, with the range of valid values and the description that `hoprockd --check-policy`
 * prints for operators: X (name, min, max, description) */
#define HR_POLICY_TUNABLES(X)                                                                      \
  X (leader_lease_s, 1, 60, "life of the leader lock's lease in the state service, in seconds")    \
  X (hold_s, 0.5, 3600,                                                                            \
     "seconds that the leader answers workers after its last snapshot read or attestation")        \
  X (alone_s, 0.5, 3600,                                                                           \
     "the same while no member confirms a store outage for all controllers, in seconds")           \
  X (lease_margin_s, 0.1, 60, "seconds added to each worker's lease before it counts as expired")  \
  X (silent_s, 1, 3600,                                                                            \
     "seconds without a heartbeat after which a machine is returned and its tasks are moved")      \
  X (overdue_s, 1, 3600, "seconds without a heartbeat after which a machine counts as overdue")    \
  X (silent_share, 0, 1,                                                                           \
     "share of overdue machines above which a network fault is assumed and none is returned")      \
  X (boot_limit, 1, 100, "multiple of the machine type's startup_s after which a boot has failed") \
  X (machines_per_part, 1, 1e6, "machines in one shard of the plan")                               \
  X (tabu_rounds, 0, 100000, "rounds of tabu search in one planning pass")                         \
  X (tabu_jobs, 0, 100000, "length of the tabu list, in tasks")                                    \
  X (default_deadline, 0.1, 1000,                                                                  \
     "deadline of a job without one, in estimated run times from when it may start")               \
  X (sample_lists, 1, 100000, "least number of machine lists tried for one task")                  \
  X (pass_trials, 1, 1e9, "trial placements in one planning pass; above it, lists are sampled")    \
  X (plan_gap_s, 0.01, 60, "least time between planning passes, in seconds; grows with the fleet") \
  X (headroom_base, 0, 1000,                                                                       \
     "tasks of each service class for which spare capacity is always kept")                        \
  X (headroom_boots, 0, 100,                                                                       \
     "period of service arrivals for which spare capacity is kept, in boot times")                 \
  X (headroom_waits, 0, 100,                                                                       \
     "the same period for other classes with a wait objective, in boot times")                     \
  X (headroom_deadlines, 0, 100,                                                                   \
     "the same period for other classes with a deadline objective, in boot times")                 \
  X (rent_slack, 0, 100, "wait tolerated before an instance is requested, in boot times")          \
  X (idle_s, 0, 86400, "seconds after which an idle machine is returned to the cloud")             \
  X (spot_use, 0, 1, "1: request spot instances for jobs that allow them; 0: never")               \
  X (error_limit, 1, 1000,                                                                         \
     "consecutive failures, of several jobs, after which a machine is drained")                    \
  X (retry_s, 0.1, 3600, "pause before a job's second retry, in seconds; doubles each time")       \
  X (retry_most_s, 1, 86400,                                                                       \
     "longest pause between retries of a job that keeps failing, in seconds")                      \
  X (correction_least, 0.01, 1,                                                                    \
     "least factor by which a class's run time estimates are corrected")                           \
  X (correction_most, 1, 100,                                                                      \
     "greatest factor by which a class's run time estimates are corrected")                        \
  X (direct_launch, 0, 1,                                                                          \
     "1: send orders to workers at once; 0: in the answer to their next heartbeat")

/**
 * HrPolicyError:
 * @HR_POLICY_ERROR_SYNTAX: the file violates the grammar, uses an unknown name, sets a tunable
 * twice or divides by 0
 * @HR_POLICY_ERROR_RANGE: a tunable's value is out of its range
 * @HR_POLICY_ERROR_MISSING: the file sets no value for a tunable
 * @HR_POLICY_ERROR_CONFLICT: values that are each in range contradict one another
 */
typedef enum {
  HR_POLICY_ERROR_SYNTAX,
  HR_POLICY_ERROR_RANGE,
  HR_POLICY_ERROR_MISSING,
  HR_POLICY_ERROR_CONFLICT
} HrPolicyError;

#define HR_POLICY_ERROR (hr_policy_error_quark ())
GQuark hr_policy_error_quark (void);

/* The value of each tunable. */
typedef struct {
#define X(name, min, max, description) double name;
  HR_POLICY_TUNABLES (X)
#undef X
} HrPolicy;

/**
 * hr_policy_eval:
 * @file: the file's name, for error messages
 * @text: the file's content
 * @vars: the platform variables that expressions may use, from hr_policy_vars_new()
 * @out: (out): the policy; undefined after an error
 * @error: an #HrPolicyError; its message gives the file, line, column and what was expected
 *
 * Evaluates a policy file. It must set every tunable exactly once.
 *
 * Returns: %FALSE with @error set when the text is not valid
 */
gboolean hr_policy_eval (const char *file, const char *text, GHashTable *vars, HrPolicy *out,
                         GError **error);

/**
 * hr_policy_load:
 * @file: path of a policy file
 * @vars: as for hr_policy_eval()
 * @out: (out): as for hr_policy_eval()
 * @error: a #GFileError, or as for hr_policy_eval()
 *
 * Reads and evaluates a policy file.
 *
 * Returns: %FALSE with @error set when the file cannot be read or is not valid
 */
gboolean hr_policy_load (const char *file, GHashTable *vars, HrPolicy *out, GError **error);

/**
 * hr_policy_describe:
 *
 * Returns: (transfer full): a line for each tunable, with its value and description
 */
char *hr_policy_describe (const HrPolicy *policy);

/**
 * hr_policy_vars_new:
 *
 * Returns: (transfer full): an empty table of platform variables, name -> double *
 */
GHashTable *hr_policy_vars_new (void);

/**
 * hr_policy_vars_set:
 *
 * Sets a platform variable, which expressions may use by its name.
 */
void hr_policy_vars_set (GHashTable *vars, const char *name, double value);
