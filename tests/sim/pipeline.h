/* Users of pipelines: jobs that await others, submitted one after another, and the two rules
 * that came with them (too_early, orphaned). */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* What the users of a day's pipelines do. */
typedef struct {
  guint pipelines;
  double from, to;  /* their first steps are submitted then */
  double cancelled; /* share of them of which some job is cancelled */
  gboolean shock;   /* whenever a cancellation was told, all controllers end, half of the time
                       together with the state service */
} PipelineDay;

void users_pipelines (SimCluster *cluster, const PipelineDay *day);
/* The same beside other users, after users_init. */
void users_pipelines_beside (SimCluster *cluster, const PipelineDay *day);
/* At the end of a day: every job has come to the end that it had to come to. */
void pipelines_verdict (SimCluster *cluster);

/* Has the user of the job, or of one before it, asked to cancel that? */
gboolean pipeline_cancel_asked (const SimJob *job);

/* All that the job awaits is done, and no user was told that one before it is cancelled. */
gboolean pipeline_ready (const SimJob *job);

/* Hooks of the stand-ins. */
void pipeline_start (SimCluster *cluster, const SimJob *job, guint32 task_index);
void pipeline_on_machine (SimCluster *cluster, const SimJob *job, guint32 task_index);
/* The job's user hears its stance; sent: when he asked. */
void pipeline_told (SimCluster *cluster, SimJob *job, const char *state, double sent);
