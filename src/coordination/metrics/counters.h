/* Counters of a controller since its process started: answers to workers by reason, orders, direct
 * calls, cancellations, violated invariants and terms. A clear order tells a worker to forget an
 * attempt that has exited. The counters appear in /metrics (metrics.h) and, after a change, in a
 * log line at level `info`. Each module of the core increments its own counters; they are never
 * reset.
 */
#pragma once
#include "coordination/core.h"

/* X (field, name, help): the field of HrCounters, its name in the log and, with `hoprock_` before
 * it and `_total` after it, in /metrics, and its help text there. Names and help texts are an
 * operator interface: they stay the same when a field is renamed. */
#define HR_COUNTERS(X)                                                                             \
  X (reports_answered, reports_answered, "reports of the current order, answered with all orders") \
  X (reports_superseded, reports_overtaken,                                                        \
     "reports that a newer message had overtaken, answered with 200")                              \
  X (reports_before_token, reports_before_token,                                                   \
     "reports from before the leader's token, answered with 200")                                  \
  X (reports_refused_not_entitled, reports_refused_not_entitled,                                   \
     "reports answered with 421 or 503: this node may not act")                                    \
  X (reports_refused_token, reports_refused_token, "reports that show a newer token")              \
  X (reports_refused_machine, reports_refused_machine,                                             \
     "reports of machines that are being returned or not known")                                   \
  X (reports_refused_order, reports_refused_order,                                                 \
     "reports not answered, since an order to the worker may still come")                          \
  X (reports_malformed, reports_malformed, "reports that make no sense")                           \
  X (submissions_refused_syntax, submissions_refused_syntax,                                       \
     "submissions answered with 400: not JSON")                                                    \
  X (submissions_refused_field, submissions_refused_field,                                         \
     "submissions answered with 400: a field is missing or invalid")                               \
  X (submissions_refused_size, submissions_refused_size,                                           \
     "submissions answered with 400: larger than 64 KiB")                                          \
  X (submissions_refused_infeasible, submissions_refused_infeasible,                               \
     "submissions answered with 422: the job can never run")                                       \
  X (submissions_refused_memory, submissions_refused_memory,                                       \
     "submissions answered with 429: no memory for more unfinished jobs")                          \
  X (submissions_refused_backlog, submissions_refused_backlog,                                     \
     "submissions answered with 429: their records would be written too late")                     \
  X (answers_unreadable, answers_unreadable,                                                       \
     "answers of the state service, the cloud or workers that are not JSON")                       \
  X (starts, starts, "start orders sent")                                                          \
  X (stops, stops, "stop orders sent")                                                             \
  X (clears, clears, "clear orders sent")                                                          \
  X (direct_calls, direct_calls, "direct calls to workers")                                        \
  X (direct_postponed, direct_put_off,                                                             \
     "direct calls put off, since another one to the machine is out or was lost")                  \
  X (direct_unanswered, direct_unanswered, "direct calls without an answer")                       \
  X (direct_refused, direct_refused, "direct calls refused by the worker, for token or session")   \
  X (cancellations, withdrawals, "withdrawals that this node learnt of while it led")              \
  X (invariants_violated, invariants_violated,                                                     \
     "conditions that the rules rest on and that did not hold")                                    \
  X (terms, terms, "times that this node began to lead")

typedef struct {
#define X(field, name, help) guint64 field;
  HR_COUNTERS (X)
#undef X
} HrCounters;

/**
 * hr_counters_tick:
 * @core: the controller
 *
 * Logs the counters that are not 0, at most once every ten seconds and only if one has changed
 * since the last time.
 */
void hr_counters_tick (HrCore *core);
