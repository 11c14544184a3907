/* Outcomes of single requests that an exhaustive search chooses, instead of random losses. */
#pragma once
#include "sim/request.h"

typedef enum {
  OUTCOME_DELIVERED,
  OUTCOME_LOST,        /* never arrives */
  OUTCOME_ANSWER_LOST, /* executed at once; its answer is lost */
  OUTCOME_LATE,        /* executed seconds after its sender's timeout */
  OUTCOME_COPIED,      /* executed at once, and again later */
  OUTCOME_CRASH_SHORT, /* executed; then the controller that sent or received it crashes, and
                          restarts at once */
  OUTCOME_CRASH_LONG,  /* the same, and it is down for longer than a leader's lease */
  OUTCOME_COUNT
} SimOutcome;

/* Applies the outcome to a request that would arrive at this time. */
void sim_apply_outcome (SimCluster *cluster, SimRequest *request, SimOutcome outcome,
                        double arrives_at);
