/* Counters and histograms of this process. Each module of the core updates its own; only counters.c
 * writes `counters_logged` and `counters_logged_at`. Times are monotonic, in seconds. */
#pragma once
#include "coordination/metrics/counters.h"
#include "coordination/metrics/histogram.h"
#include "coordination/metrics/refusals.h"

typedef struct {
  HrCounters counters;
  HrCounters counters_logged; /* as of the latest log line */
  double counters_logged_at;
  HrRefusalLog refusals[HR_REFUSAL_KINDS]; /* by HrRefusalKind (refusals.c) */
  HrHistogram read_latency;                /* duration of reads of the store, s (store_events.c) */
  HrHistogram renewal_age; /* age of the latest read when a lease is renewed, s (agents/) */
} HrMetrics;
