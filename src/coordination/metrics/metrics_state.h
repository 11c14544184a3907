/* Counters and histograms of this process. Each module of the core adds to its own; counters.c
 * alone writes the fields `counters_logged`. Times are in seconds of the steady clock. */
#pragma once
#include "coordination/metrics/counters.h"
#include "coordination/metrics/histogram.h"

typedef struct {
  HrCounters counters;
  HrCounters counters_logged; /* as of the latest line in the log */
  double counters_logged_at;
  HrHistogram read_latency; /* of reads of the store, s (store_events.c) */
  HrHistogram renewal_age;  /* of the latest read, when a lease was renewed, s (agents/) */
} HrMetrics;
