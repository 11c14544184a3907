/* Users of pipelines (jobs that await other jobs, submitted one after another), and the two rules
 * for such jobs. too_early: no task starts before all tasks of the awaited jobs are done. orphaned:
 * a job that awaits a cancelled job, directly or indirectly, is cancelled too. Once a user has
 * learned of that cancellation, answers to later requests say so, and no task of the job is on a
 * machine longer than cancel_s after it. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* The pipelines of a day. */
typedef struct {
  guint pipelines;                   /* number of pipelines */
  double from, to;                   /* first steps are submitted in this period, in seconds */
  double cancelled;                  /* share of pipelines of which some job is cancelled */
  gboolean crash_after_cancellation; /* all controllers crash when a user learns of a
                                        cancellation, half of the time along with an outage of the
                                        state store */
} PipelineDay;

/* Creates the day's users: they submit pipelines only. */
void users_pipelines (SimCluster *cluster, const PipelineDay *day);
/* Adds pipelines to the day's other users; called after users_init(). */
void users_add_pipelines (SimCluster *cluster, const PipelineDay *day);
/* Checks at the end of a day that every job has reached its required final state. */
void pipelines_check_end (SimCluster *cluster);

/* Returns whether a user has requested to cancel the job or one that it awaits, directly or
 * indirectly. */
gboolean pipeline_cancel_requested (const SimJob *job);

/* Returns whether all tasks of the awaited jobs are done, and no user has learned that a job that
 * this one awaits, directly or indirectly, is cancelled. */
gboolean pipeline_ready (const SimJob *job);

/* Hooks that the simulated workers and users call to check the two rules. */

/* A task starts. */
void pipeline_on_task_start (SimCluster *cluster, const SimJob *job, guint32 task_index);
/* A task is on a machine: it starts now, or a periodic check finds it there. */
void pipeline_on_machine (SimCluster *cluster, const SimJob *job, guint32 task_index);
/* The job's user receives its state. sent: time at which the user sent the request. */
void pipeline_state_reported (SimCluster *cluster, SimJob *job, const char *state, double sent);
