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

/* core.c */
void hr_core_call (HrCore *core, HrTarget target, const char *addr, HrMethod method, char *path,
                   char *body, double timeout, HrResultCallback callback,
                   gpointer data); /* takes path and body */
void hr_core_reply (HrCore *core, guint64 id, int status, json_t *body,
                    int retry_after); /* takes body */
/* Takes the text, which is plain and no JSON. */
void hr_core_reply_text (HrCore *core, guint64 id, char *text);
void hr_core_refuse (HrCore *core, guint64 id, int status, int retry_after, const char *reason);
char *hr_core_new_tag (HrCore *core);
HrJob *hr_job_find (HrCore *core, const char *id);
HrJob *hr_job_get (HrCore *core, const char *id); /* makes the row when there is none */
/* Its latest record could not be read, so nothing is known of its present state. */
gboolean hr_job_unreadable (HrCore *core, const char *id);
HrMachine *hr_machine_find (HrCore *core, const char *name);
HrMachine *hr_machine_get (HrCore *core, const char *name);
HrClassStats *hr_class_stats (HrCore *core, guint32 job_class);
const HrTeam *hr_team (const HrCore *core, guint32 team); /* NULL: not known here */
const HrMachineType *hr_machine_type_of (const HrCore *core, const HrMachine *machine);
const HrMachineType *hr_machine_type_find (const HrCore *core, guint32 name);

/* priority_inheritance.c: deadline and priority of jobs that others need */
/* The job is known, or has become ready. */
void hr_priority_inheritance_job_read (HrCore *core, HrJob *job);
/* These jobs (HrJob) need what they awaited no more. */
void hr_priority_inheritance_jobs_cancelled (HrCore *core, const GPtrArray *jobs);

/* leadership.c */
void hr_leadership_tick (HrCore *core);
void hr_leadership_record_read (HrCore *core);
void hr_leadership_step_down (HrCore *core, const char *why);
/* The state store has to be read anew from the start. */
void hr_leadership_reset (HrCore *core, const char *why);
/* Gives the leader's key back and leaves it to others for a while. */
void hr_leadership_resign (HrCore *core, const char *why);
void hr_membership_status_received (HrCore *core, const HrPeerStatus *status);
gboolean hr_leadership_may_answer (const HrCore *core);
/* As far as other members say, the state service answers none of us. */
gboolean hr_membership_store_outage_for_all (const HrCore *core);
void hr_leadership_raise_token (HrCore *core, const char *why);

/* admission.c: why a job can never run here; NULL when it can. The machine types are known. */
char *hr_admission_refusal_reason (HrCore *core, const HrJobSpec *spec);

/* cancellation_log.c: naming cancellations to a leader that cannot read them */
void hr_cancellation_log_append (HrCore *core, const HrJob *job, guint64 revision);
void hr_cancellation_log_fill_status (HrCore *core, HrPeerStatus *status);
void hr_cancellation_log_take_named (HrCore *core, HrPeer *peer);
gboolean hr_cancellation_log_all_taken (const HrCore *core, const HrPeer *peer);
void hr_cancellation_log_acknowledged (HrCore *core, const HrPeer *peer);

/* user_requests.c */
void hr_user_request_received (HrCore *core, HrCommand *command);

/* heartbeats.c */
void hr_heartbeat_received (HrCore *core, HrCommand *command);
/* What a worker answered to a direct call: its list after the orders. */
void hr_heartbeat_direct_answer (HrCore *core, HrMachine *machine, const HrHeartbeat *heartbeat);

/* direct.c */
void hr_direct_orders_send (HrCore *core);

/* task_lifecycle.c: what happens to a task on its machine */
void hr_task_assign (HrCore *core, HrJob *job, guint32 task_index, HrMachine *machine,
                     guint32 attempt);
void hr_task_bound (HrCore *core, HrJob *job, guint32 task_index);
void hr_task_unassign (HrCore *core, HrJob *job, guint32 task_index);
void hr_task_gone (HrCore *core, HrJob *job, guint32 task_index, HrExitCause why,
                   const char *proof);
void hr_task_done (HrCore *core, HrJob *job, guint32 task_index);
void hr_task_stop (HrCore *core, HrJob *job, guint32 task_index, double grace);
/* All its tasks are recorded, of one attempt. */
gboolean hr_gang_ready (const HrJob *job);
/* Is it too early to launch this task of a gang that is ready? */
gboolean hr_gang_delays_launch (const HrCore *core, const HrJob *job, const HrTask *task);
/* Ends a gang's attempt: all its tasks have to go before the next one. */
void hr_gang_end_attempt (HrCore *core, HrJob *job, double grace);
/* A gang completes together: one is done, so all of that attempt (any: of all attempts) are, also
 * those whose machine went before it could say so. */
void hr_gang_done (HrCore *core, HrJob *job, guint32 attempt, gboolean any);
void hr_job_cancelled (HrCore *core, HrJob *job);
guint32 hr_job_next_attempt (const HrJob *job);
/* Tasks that are recorded on machines. The job has its tasks. */
guint hr_job_bound_tasks (const HrJob *job);

/* arrivals.c */
/* Counts tasks of the class that arrive; returns how many a second do, smoothed. */
double hr_class_arrivals (HrCore *core, HrClassStats *stats, guint n);
void hr_job_open (HrCore *core, HrJob *job);

/* takeover.c */
void hr_failover_take_over (HrCore *core);

/* fleet.c */
void hr_fleet_add (HrCore *core, HrMachine *machine);
void hr_fleet_tick (HrCore *core);
void hr_instance_requests_clear (HrCore *core);
void hr_fleet_delete (HrCore *core, HrMachine *machine, const char *why);
void hr_machine_gone (HrCore *core, HrMachine *machine, const char *why);
/* zone HR_NONE: refused in all of them. */
gboolean hr_capacity_is_refused (const HrCore *core, guint32 type, guint32 zone, gboolean spot);
void hr_demand_add (HrCore *core, guint32 type, guint32 zone, gboolean spot, guint count);
gboolean hr_machine_types_load (HrCore *core, const json_t *object);

/* instance_requests.c */
void hr_instance_requests_send (HrCore *core);
/* Requests without a clear answer, once more under their names. */
void hr_instance_requests_retry (HrCore *core);

/* machine_list.c */
void hr_instance_list_tick (HrCore *core);

/* shards.c */
guint32 hr_shard_of (const char *machine, guint n_shards);
void hr_shards_assign (HrCore *core);
void hr_shard_choose (HrCore *core, HrJob *job);

/* planner.c */
void hr_planner_pass (HrCore *core);

/* What a place in the controllers' zone is worth, as time to the start: behind a cut of it,
 * its workers still hear the leader. */
#define HR_HOME_S 2.0

/* projection.c */
double hr_estimate_run_time (HrCore *core, const HrJob *job, const HrMachine *machine);
/* When a task that is on the machine should end, by its estimate; INFINITY: a service. */
double hr_estimate_running_end (HrCore *core, const HrJob *job, const HrTask *task,
                                const HrMachine *machine);
/* How long the image keeps a task of the job from its work there. */
double hr_estimate_fetch_time (const HrCore *core, const HrJob *job, const HrMachine *machine);
gboolean hr_job_allows_machine (const HrCore *core, const HrJob *job, const HrMachine *machine);

/* Is the machine ruled out by where the job's other tasks are? */
gboolean hr_job_allows_zone (HrCore *core, HrJob *job, HrMachine *machine);
/* Projects a list: its late count and tardiness, and each task's start when asked for. */
void hr_project_list (HrCore *core, HrMachine *machine, double *starts);
void hr_list_remove (HrMachine *machine, HrTaskRef ref);
void hr_task_unplan (HrJob *job, guint32 task_index);
/* Takes all its tasks out of the lists: the next pass places them anew. */
void hr_job_unplan (HrCore *core, HrJob *job);

/* guarantees.c */
gboolean hr_team_allows_start (HrCore *core, const HrJob *job, guint n);
void hr_guarantees_mark_jobs (HrCore *core);

/* The priority that counts for the job's order and for what may be stopped. */
static inline HrPriority
hr_job_priority (const HrJob *job)
{
  return job->plan.priority;
}

/* scale_out.c */
/* Tasks of the class that spare room is kept for: as many as cannot wait for a boot, within
 * what their teams' limits leave. */
guint hr_headroom (HrCore *core, guint32 job_class);
guint hr_headroom_wanted (HrCore *core, guint32 job_class);

/* dispatch.c */
void hr_dispatch (HrCore *core);

#include "bookkeeping/bookkeeping.h"
