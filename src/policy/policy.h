/* The operators' own settings: `name = expression;` lines over the platform's figures. */
#pragma once
#include <glib.h>

/* Every tunable, with the range that the checker holds it to and what it is for.
 * X (name, least, most, meaning) */
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

typedef struct {
#define X(name, lo, hi, doc) double name;
  HR_POLICY_TUNABLES (X)
#undef X
} HrPolicy;

/* Evaluates the text. `vars`: name -> double*, the platform's figures that an
 * expression may use. The error names file, line, position and what was expected. */
gboolean hr_policy_eval (const char *file, const char *text, GHashTable *vars, HrPolicy *out,
                         GError **error);
gboolean hr_policy_load (const char *file, GHashTable *vars, HrPolicy *out, GError **error);
/* One line per tunable: its value, range and meaning. */
char *hr_policy_describe (const HrPolicy *policy);

/* name -> double*, for figures of the platform. */
GHashTable *hr_policy_vars_new (void);
void hr_policy_vars_set (GHashTable *vars, const char *name, double value);
