/* Users of pipelines (jobs that await other jobs, submitted one after another), and the two rules
 * that apply to such jobs: too_early and orphaned. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* The pipelines of a day. */
typedef struct {
  guint pipelines;
  double from, to;                   /* period in which their first steps are submitted */
  double cancelled;                  /* share of pipelines of which some job is cancelled */
  gboolean crash_after_cancellation; /* all controllers crash when a user learns of a
                                        cancellation, half of the time along with an outage of the
                                        state store */
} PipelineDay;

void users_pipelines (SimCluster *cluster, const PipelineDay *day);
/* Adds pipelines to the day's other users; called after users_init(). */
void users_add_pipelines (SimCluster *cluster, const PipelineDay *day);
/* Checks at the end of a day that every job has reached its required final state. */
void pipelines_check_end (SimCluster *cluster);

/* Returns whether a user has requested to cancel the job or one that it awaits, directly or
 * indirectly. */
gboolean pipeline_cancel_requested (const SimJob *job);

/* Returns whether all jobs that the job awaits are done and no user has learned that one before it
 * is cancelled. */
gboolean pipeline_ready (const SimJob *job);

/* Hooks of the simulated workers and users. */
void pipeline_on_task_start (SimCluster *cluster, const SimJob *job, guint32 task_index);
void pipeline_on_machine (SimCluster *cluster, const SimJob *job, guint32 task_index);
/* The job's user receives its state. sent: when the user's request was sent. */
void pipeline_state_reported (SimCluster *cluster, SimJob *job, const char *state, double sent);
