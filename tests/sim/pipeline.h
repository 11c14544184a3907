/* Users of pipelines: jobs that await others, submitted one after another, and the two rules
 * that came with them (too_early, orphaned). */
#pragma once
#include "sim/world.h"

/* What the users of a day's pipelines do. */
typedef struct {
  guint pipelines;
  double from, to;  /* their first steps are submitted then */
  double cancelled; /* share of them of which some job is withdrawn */
  gboolean shock;   /* whenever a withdrawal was told, all controllers end, half of the time
                       together with the state service */
} PipelineDay;

void users_pipelines (World *w, const PipelineDay *day);
/* The same beside other users, after users_init. */
void users_pipelines_beside (World *w, const PipelineDay *day);
/* At the end of a day: every job has come to the end that it had to come to. */
void pipelines_verdict (World *w);

/* Has the user of the job, or of one before it, asked to withdraw that? */
gboolean pipeline_cancel_asked (const SJob *j);

/* All that the job awaits is done, and no user was told that one before it is withdrawn. */
gboolean pipeline_ready (const SJob *j);

/* Hooks of the stand-ins. */
void pipeline_start (World *w, const SJob *j, guint32 task);
void pipeline_on_machine (World *w, const SJob *j, guint32 task);
/* The job's user hears its stance; sent: when he asked. */
void pipeline_told (World *w, SJob *j, const char *state, double sent);
