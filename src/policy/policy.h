/* The operators' policy: a file of lines `name = expression;` that give each tunable its value,
 * computed from figures of the platform. policy_parser.c has the grammar. Values are in the units
 * that their names say; `_s` means seconds. */
#pragma once
#include <glib.h>

/* Every tunable, with the range that its value must be in, and a description that is shown to
 * operators: X (name, min, max, description) */
#define HR_POLICY_TUNABLES(X)                                                                      \
  X (leader_lease_s, 1, 60, "life of the leader's key in the state service")                       \
  X (hold_s, 0.5, 3600, "how long an owner without a confirmed map reading keeps answering")       \
  X (alone_s, 0.5, 3600, "the same for an owner that hears of no outage from any other member")    \
  X (lease_margin_s, 0.1, 60, "added to every worker lease before it counts as over")              \
  X (silent_s, 1, 3600, "silence after which a machine's tasks are moved")                         \
  X (overdue_s, 1, 3600, "silence that no report's period explains: a sign, if many show it")      \
  X (silent_share, 0, 1, "more overdue machines than this share: blame the network, delete none")  \
  X (boot_limit, 1, 100, "boots longer than this many times startup_s are given up")               \
  X (machines_per_part, 1, 1e6, "machines in one hash part of the plan")                           \
  X (tabu_rounds, 0, 100000, "rounds of tabu search in one pass")                                  \
  X (tabu_jobs, 0, 100000, "length of the list of tabu jobs")                                      \
  X (default_deadline, 0.1, 1000, "deadline of a job without one, in estimates after arrival")     \
  X (sample_lists, 1, 100000, "least number of lists tried for one task")                          \
  X (pass_trials, 1, 1e9, "trial placements in one planning pass; above, lists are sampled")       \
  X (plan_gap_s, 0.01, 60, "least time between planning passes; grows with the fleet")             \
  X (headroom_base, 0, 1000, "spare service tasks always kept room for")                           \
  X (headroom_boots, 0, 100, "boot times of service arrivals kept room for")                       \
  X (headroom_waits, 0, 100, "the same for other classes whose start is an aim")                   \
  X (headroom_deadlines, 0, 100, "the same for classes with a deadline aim")                       \
  X (rent_slack, 0, 100, "boot times of wait tolerated before a machine is rented for it")         \
  X (idle_s, 0, 86400, "idle time after which a spare machine is returned")                        \
  X (spot_use, 0, 1, "1: rent spot machines for jobs that allow them")                             \
  X (error_limit, 1, 1000, "failures in a row, of several jobs, that make a machine faulty")       \
  X (retry_s, 0.1, 3600, "first pause of a task that failed; doubles each time")                   \
  X (retry_most_s, 1, 86400, "longest pause of a task that keeps failing")                         \
  X (correction_least, 0.01, 1, "least factor by which a class's estimates are corrected")         \
  X (correction_most, 1, 100, "greatest factor by which a class's estimates are corrected")        \
  X (direct_launch, 0, 1, "1: send orders to workers at once; 0: with their next report")

/**
 * HrPolicyError:
 * @HR_POLICY_ERROR_SYNTAX: the file does not follow the grammar, or names what does not exist
 * @HR_POLICY_ERROR_RANGE: a tunable's value is out of its range
 * @HR_POLICY_ERROR_MISSING: the file sets no value for a tunable
 * @HR_POLICY_ERROR_CONFLICT: values that are each in range do not go together
 */
typedef enum {
  HR_POLICY_ERROR_SYNTAX,
  HR_POLICY_ERROR_RANGE,
  HR_POLICY_ERROR_MISSING,
  HR_POLICY_ERROR_CONFLICT
} HrPolicyError;

#define HR_POLICY_ERROR (hr_policy_error_quark ())
GQuark hr_policy_error_quark (void);

typedef struct {
#define X(name, min, max, description) double name;
  HR_POLICY_TUNABLES (X)
#undef X
} HrPolicy;

/**
 * hr_policy_eval:
 * @file: the file's name, for errors
 * @text: its text
 * @vars: from hr_policy_vars_new(): the figures that expressions may use
 * @out: (out): the policy; without a meaning after an error
 * @error: an #HrPolicyError; names file, line, position and what was expected
 *
 * Computes a policy. Every tunable has to be set, once.
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
 * Returns: (transfer full): an empty table of figures of the platform, name -> double *
 */
GHashTable *hr_policy_vars_new (void);

/**
 * hr_policy_vars_set:
 *
 * Sets a figure that expressions may use by its name.
 */
void hr_policy_vars_set (GHashTable *vars, const char *name, double value);
