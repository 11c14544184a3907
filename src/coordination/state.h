/* The state of a controller: its parts, and the fields that all parts use. Every module of the core
 * may read all of it; each part is written only by the modules that its own header names. Private
 * to the core: other folders see an opaque HrCore (core.h). */
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

/* Calls that await a response (effects.c). */
typedef struct {
  GHashTable *pending; /* id of the call -> PendingCall */
  guint64 last_id;
} HrCalls;

/* State of the orders to workers (agents/). */
typedef struct {
  gboolean has_urgent_orders; /* at least one machine has orders to send at once */
} HrAgents;

/* State of the dependencies between jobs (jobs/dependencies.c). */
typedef struct {
  /* guint32: jobs that were cancelled while they awaited other jobs; their records can be replaced
   * by tombstones. */
  GArray *to_tombstone;
} HrDependencies;

/* Memory for jobs that are being accepted (jobs/memory_budget.c). */
typedef struct {
  gsize reserved_bytes;
} HrMemoryBudget;

struct HrCore {
  /* Set by core.c. */
  const HrSettings *settings; /* not owned */
  HrPolicy policy;
  HrNames *names;    /* not owned */
  char *incarnation; /* of this process */
  GRand *random;
  double now;         /* of the current step: monotonic time, s */
  double started_at;  /* of the first step: monotonic time, s */
  double wall_time;   /* of the current step: real time, s since the Epoch */
  GPtrArray *effects; /* HrEffect, of the current step; not owned; NULL between steps */

  /* Set by effects.c. */
  guint64 last_tag; /* number of the latest write tag */
  HrCalls calls;

  /* The parts. */
  HrStore store;
  HrLeadership leadership;
  HrMembership membership;
  HrCancellationLog cancellations;
  HrAgents agents;
  HrDependencies dependencies;
  HrMemoryBudget memory;
  HrScheduling scheduling;
  HrScaling scaling;
  HrMetrics metrics;
};

/* A start in the controllers' zone is scored as this many seconds earlier: if a network partition
 * cuts off the zone, its workers still reach the leader. */
#define HR_HOME_ZONE_BONUS_S 2.0

/* Returns the job's effective priority, which decides its order and which tasks it may preempt: its
 * own priority, or the higher one of a job that awaits it (jobs/priority_inheritance.c). */
static inline HrPriority
hr_job_priority (const HrJob *job)
{
  return job->plan.priority;
}
