/* The scheduler's state, which is kept between planning passes. Times are monotonic time, s.
 */
#pragma once
#include "coordination/scheduling/quota.h"

/* The quota usage of a team in one pass (team_usage.c, quotas.c, quota_reservation.c,
 * quota_preemption.c). */
typedef struct {
  gboolean is_limited;
  HrQuota limit;            /* INFINITY: not limited */
  HrQuota used;             /* by all tasks that are not proven to have ended */
  HrQuota stopping;         /* the part of `used` that belongs to tasks that are being stopped */
  HrQuota available;        /* the part of the limit that is neither used nor granted */
  HrQuota backfill;         /* the part of `available` for jobs that don't end by the shadow time */
  HrQuota reclaimed;        /* during preemption: quota that is free or is being freed */
  gboolean is_exhausted;    /* `reclaimed` did not suffice for a job */
  gboolean has_reservation; /* `available` is reserved for the first job that does not fit */
  double shadow_time;       /* when enough quota is expected to be free for it; INFINITY: unknown */
} HrTeamUsage;

/* The scheduler's state. */
typedef struct {
  GArray *class_stats;           /* HrClassStats by class index */
  GArray *team_usage;            /* HrTeamUsage by team, as of this pass */
  GPtrArray *waiting_jobs;       /* HrJob of limited teams, in the order of grants */
  gboolean guaranteed_job_waits; /* a job that reclaims its team's guarantee waits for capacity */
  gboolean plan_is_stale;        /* a pass is due */
  guint n_shards;
  double planned_at;                /* start of the latest pass */
  gboolean pass_ran_in_latest_step; /* a planning pass, in the latest step of the core */
  double pass_duration_s;           /* duration of the latest step with a pass; 0: unknown */
  double next_starvation_check_at;
  guint booting_machines; /* number at the latest pass, for metrics */
} HrScheduling;
