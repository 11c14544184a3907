/* Applies the outcomes that a search over message outcomes chooses. Times in seconds. */
#include "sim/request.h"
#include "sim/request_outcomes.h"
#include "sim/cluster.h"

/* Longer than every timeout of a call, so that its sender has given up. */
#define LATE_S 6.0
/* Long enough for a new leader to act, shorter than a worker's lease. */
#define COPY_S 9.0
/* How long a crashed controller is down; DOWN_LONG_S is longer than a leader's lease in the state
 * store. */
#define DOWN_S 0.3
#define DOWN_LONG_S 7.0

static void
end_process (SimCluster *cluster, gpointer node)
{
  node_kill (cluster, GPOINTER_TO_INT (node));
}

/* Returns a full copy: the original may be answered and freed when the copy arrives. */
static SimRequest *
copy_request (const SimRequest *request)
{
  SimRequest *copy = g_new0 (SimRequest, 1);
  *copy = *request;
  copy->addr = g_strdup (request->addr);
  copy->path = g_strdup (request->path);
  copy->body = g_strdup (request->body);
  copy->answered = TRUE; /* its answer is dropped */
  copy->refs = 1;
  return copy;
}

static void
crash_and_restart (SimCluster *cluster, const SimRequest *request, double at, double down_s)
{
  gpointer node = GINT_TO_POINTER (request->node >= 0 ? request->node : request->to);
  sim_schedule (cluster, at, end_process, node);
  node_start_at (cluster, GPOINTER_TO_INT (node), at + down_s);
}

void
sim_apply_outcome (SimCluster *cluster, SimRequest *request, SimOutcome outcome, double arrives_at)
{
  /* Before the answer can arrive, so that the process ends first. */
  const double executed_at = arrives_at + 1e-5;
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
    sim_schedule (cluster, arrives_at + COPY_S, req_arrive, copy_request (request));
    break;
  case OUTCOME_CRASH_SHORT:
    crash_and_restart (cluster, request, executed_at, DOWN_S);
    break;
  case OUTCOME_CRASH_LONG:
    crash_and_restart (cluster, request, executed_at, DOWN_LONG_S);
    break;
  default:
    break;
  }
  request->refs++;
  sim_schedule (cluster, arrives_at, req_arrive, request);
}
