/* Counters and histograms of this process. */
#pragma once
#include "coordination/metrics/counters.h"
#include "coordination/metrics/histogram.h"

typedef struct {
  HrCounters counters, counters_printed;
  double counters_printed_at; /* steady time, s */
  HrHistogram read_latency;   /* of reads of the store, s */
  HrHistogram renewal_age;    /* of the latest read, when a lease was renewed, s */
} HrMetrics;
