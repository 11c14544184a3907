/* What becomes of a single request where a search decides it, in place of the drawn losses. */
#pragma once
#include "sim/request.h"

typedef enum {
  OUTCOME_DELIVERED,
  OUTCOME_LOST,        /* never carried out */
  OUTCOME_ANSWER_LOST, /* carried out at once; its answer is lost */
  OUTCOME_LATE,        /* carried out seconds after its sender gave up */
  OUTCOME_COPIED,      /* carried out at once, and again later */
  OUTCOME_ENDS_BACK,   /* carried out; the controller concerned ends then, and is back at once */
  OUTCOME_ENDS_AWAY,   /* the same, and it stays away for longer than a leader's lease */
  OUTCOME_COUNT
} SimOutcome;

/* The request, which would arrive at this time, has this outcome. */
void w_apply_outcome (World *world, SimRequest *request, SimOutcome outcome, double arrives_at);
