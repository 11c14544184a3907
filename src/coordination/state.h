/* The state of a controller: the parts, and what all of them use. Each part's header says who
 * writes it. */
#pragma once
#include "bookkeeping/record.h"
#include "bookkeeping/store.h"
#include "coordination/core.h"
#include "coordination/leadership/leadership_state.h"
#include "coordination/membership/membership_state.h"
#include "coordination/metrics/metrics_state.h"
#include "coordination/scaling/scaling_state.h"
#include "coordination/scheduling/scheduling_state.h"
#include <jansson.h>

/* Calls without an answer yet (core.c). */
typedef struct {
  GHashTable *pending; /* id of the call -> PendingCall */
  guint64 last_id;
} HrCalls;

/* Orders to workers (agents/). */
typedef struct {
  gboolean has_urgent_orders; /* some machine has orders to send at once */
} HrAgents;

/* Jobs that await others (jobs/dependencies.c). */
typedef struct {
  GArray
      *to_tombstone; /* guint32: cancelled jobs that still waited; their record may be shortened */
} HrDependencies;

struct HrCore {
  const HrSettings *settings;
  HrPolicy policy;
  HrNames *names;
  char *incarnation; /* of this process */
  GRand *random;
  double now, started_at; /* steady time, s */
  double wall_time;       /* time of day, s */
  GPtrArray *effects;     /* HrEffect, of the step under way */
  guint64 last_tag;       /* of a write */
  HrCalls calls;

  HrStore store;
  HrLeadership leadership;
  HrMembership membership;
  HrCancellationLog cancellations;
  HrAgents agents;
  HrDependencies dependencies;
  HrScheduling scheduling;
  HrScaling scaling;
  HrMetrics metrics;
};

/* What a place in the controllers' zone is worth, as time to the start: behind a cut of it,
 * its workers still hear the leader. */
#define HR_HOME_S 2.0

/* The priority that counts for the job's order and for what may be stopped. */
static inline HrPriority
hr_job_priority (const HrJob *job)
{
  return job->plan.priority;
}
