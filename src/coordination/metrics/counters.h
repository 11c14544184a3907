/* Counters of what a controller told its workers and why, since its process began. They are
 * printed at `info`, at most once every ten seconds and only when one has changed. */
#pragma once
#include "coordination/core.h"

/* X (name, meaning) */
#define HR_COUNTERS(X)                                                                             \
  X (reports_answered, "reports of the current order, answered with all orders")                   \
  X (reports_overtaken, "reports that a newer message had overtaken, answered with 200")           \
  X (reports_before_token, "reports from before the leader's token, answered with 200")            \
  X (reports_refused_not_entitled, "reports answered with 421 or 503: this node may not act")      \
  X (reports_refused_token, "reports that show a newer token")                                     \
  X (reports_refused_machine, "reports of machines that are being returned or not known")          \
  X (reports_refused_order, "reports not answered, since an order to the worker may still come")   \
  X (reports_malformed, "reports that make no sense")                                              \
  X (starts, "start orders sent")                                                                  \
  X (stops, "stop orders sent")                                                                    \
  X (clears, "clear orders sent")                                                                  \
  X (direct_calls, "direct calls to workers")                                                      \
  X (direct_put_off, "direct calls put off, since another one to the machine is out or was lost")  \
  X (direct_unanswered, "direct calls without an answer")                                          \
  X (direct_refused, "direct calls refused by the worker, for token or session")                   \
  X (withdrawals, "withdrawals that this node learnt of while it led")                             \
  X (invariants_violated, "conditions that the rules rest on and that did not hold")               \
  X (terms, "times that this node began to lead")

typedef struct {
#define X(name, meaning) guint64 name;
  HR_COUNTERS (X)
#undef X
} HrCounters;

/* Prints the counters when it is time and one has changed. */
void hr_counters_tick (HrCore *core);
