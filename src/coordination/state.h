/* The state of a controller: its parts, and what all of them use. Every module of the core may read
 * all of it; each part is written by the modules that its own header names. For the core alone:
 * others see an opaque HrCore (core.h). */
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

/* Calls without an answer yet (effects.c). */
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
  /* guint32: jobs that were cancelled while they awaited others; their records may be shortened to
   * tombstones. */
  GArray *to_tombstone;
} HrDependencies;

struct HrCore {
  /* Set by core.c. */
  const HrSettings *settings; /* not owned */
  HrPolicy policy;
  HrNames *names;    /* not owned */
  char *incarnation; /* of this process */
  GRand *random;
  double now;         /* of the step under way: steady time, s */
  double started_at;  /* of the first step: steady time, s */
  double wall_time;   /* of the step under way: time of day, s */
  GPtrArray *effects; /* HrEffect, of the step under way; not owned; NULL between steps */

  /* Set by effects.c. */
  guint64 last_tag; /* number of the latest tag of a write */
  HrCalls calls;

  /* The parts. */
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

/* A start in the controllers' zone counts as so many seconds earlier: when the zone is cut off, its
 * workers still hear the leader. */
#define HR_HOME_S 2.0

/* The priority that counts for the job's order and for what it may preempt: its own, or a higher
 * one of a job that awaits it (jobs/priority_inheritance.c). */
static inline HrPriority
hr_job_priority (const HrJob *job)
{
  return job->plan.priority;
}
