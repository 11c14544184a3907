/* The scheduler's state, which outlives a planning pass (scheduling/). Steady time, s.
 */
#pragma once
#include "coordination/scheduling/quota.h"

/* A team in one pass (team_usage.c, quotas.c, quota_reservation.c, quota_preemption.c). */
typedef struct {
  gboolean is_limited;
  HrQuota limit;         /* INFINITY where there is none */
  HrQuota used;          /* by every task that is not proven gone */
  HrQuota ending;        /* of that, by tasks that are being stopped */
  HrQuota available;     /* of the limit, not granted yet */
  HrQuota backfill;      /* of that, what the reservation leaves to work without an end in time */
  HrQuota reclaimed;     /* left over, or soon free, while work is preempted */
  gboolean is_exhausted; /* a job found too little in `reclaimed` */
  gboolean has_reservation; /* what is available is reserved for a job that the limit holds up */
  double shadow_time; /* running work should leave enough for that job by then; INFINITY: unknown */
} HrTeamUsage;

typedef struct {
  GArray *class_stats;           /* HrClassStats by class index */
  GArray *team_usage;            /* HrTeamUsage by team, as of this pass */
  GPtrArray *waiting_jobs;       /* HrJob of limited teams, in the order of their grants */
  gboolean guaranteed_job_waits; /* a job within its team's guarantee waits for capacity */
  gboolean plan_is_stale;        /* a pass is due */
  guint n_shards;
  double planned_at; /* when the latest pass began */
  gboolean planned_in_this_step;
  double pass_duration_s; /* of the latest step with a pass; 0: not known */
  double next_starvation_check_at;
  guint booting_machines; /* at the latest pass; for metrics */
} HrScheduling;
