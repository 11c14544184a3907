/* What becomes of single requests, as a search over message outcomes decides. Times in seconds. */
#include "sim/request.h"
#include "sim/request_outcomes.h"
#include "sim/world.h"

/* After every timeout of a call, so that its sender has given up. */
#define LATE_S 6.0
/* Long enough for a new leader to act, short of a worker's lease. */
#define COPY_S 9.0
#define BACK_S 0.3
/* Longer than a leader's lease of the state service. */
#define AWAY_S 7.0

static void
end_process (World *world, gpointer node)
{
  node_kill (world, GPOINTER_TO_INT (node));
}

/* The request that a copy is made of may be answered and gone by then. */
static SimRequest *
copy_of (const SimRequest *request)
{
  SimRequest *core = g_new0 (SimRequest, 1);
  *core = *request;
  core->addr = g_strdup (request->addr);
  core->path = g_strdup (request->path);
  core->body = g_strdup (request->body);
  core->answered = TRUE; /* nobody waits for it */
  core->refs = 1;
  return core;
}

static void
end_and_return (World *world, const SimRequest *request, double at, double away)
{
  gpointer node = GINT_TO_POINTER (request->node >= 0 ? request->node : request->to);
  w_at (world, at, end_process, node);
  node_start_at (world, GPOINTER_TO_INT (node), at + away);
}

void
w_apply_outcome (World *world, SimRequest *request, SimOutcome outcome, double arrives_at)
{
  /* The answer takes at least as long: the process ends before it comes. */
  const double carried_out = arrives_at + 1e-5;
  switch (outcome) {
  case OUTCOME_LOST:
    return;
  case OUTCOME_ANSWER_LOST:
    request->answer_lost = TRUE;
    break;
  case OUTCOME_LATE:
    arrives_at += LATE_S;
    break;
  case OUTCOME_COPIED:
    w_at (world, arrives_at + COPY_S, req_arrive, copy_of (request));
    break;
  case OUTCOME_ENDS_BACK:
    end_and_return (world, request, carried_out, BACK_S);
    break;
  case OUTCOME_ENDS_AWAY:
    end_and_return (world, request, carried_out, AWAY_S);
    break;
  default:
    break;
  }
  request->refs++;
  w_at (world, arrives_at, req_arrive, request);
}
