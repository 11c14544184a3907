/* The whole state of a controller, and the parts of the owner that work on it.
 * Only files of coordination/ and bookkeeping/ include this. */
#pragma once
#include "bookkeeping/record.h"
#include "bookkeeping/tables.h"
#include "coordination/core.h"
#include "coordination/counters.h"
#include "coordination/histogram.h"
#include <jansson.h>

/* An answer to one of our calls. status 0: no answer; the call may have been
 * carried out, or may yet be. sent: when the call was made. */
typedef void (*HrResultCallback) (HrCore *c, int status, json_t *body, double sent, gpointer data);

typedef enum { HR_REPLICA_UNREAD, HR_REPLICA_LISTING, HR_REPLICA_FOLLOWING } HrReplicaState;

typedef struct {
  double tokens, rate, burst, at;
} HrTokenBucket;

/* Someone who waits for a reading of the ledger that is newer than his question. */
typedef void (*HrReadCallback) (HrCore *c, gboolean ok, gpointer data);
typedef struct {
  HrReadCallback callback;
  gpointer data;
  double since;
} HrReadWaiter;

typedef struct {
  json_t *conditions, *writes;
  guint changes;
  double timeout_s;
  HrResultCallback callback;
  gpointer data;
} HrTransaction;

typedef enum {
  HR_TRANSACTION_USER,
  HR_TRANSACTION_LAUNCH,
  HR_TRANSACTION_BOOKKEEPING,
  HR_TRANSACTION_KINDS
} HrTransactionKind;

typedef struct {
  guint32 job, page;
} HrDirtyPage;

/* A page in the ledger that nobody reads any more. */
typedef struct {
  guint32 job, page;
  guint tasks_per_page; /* under h/u, of that size; 0: under h/t */
} HrObsoletePage;

typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  double until;
} HrCapacityRefusal;

/* Machines that the plan is short of. */
typedef struct {
  guint32 type, zone; /* zone: HR_NONE for any */
  gboolean is_spot;
  guint count;
} HrDemand;

typedef struct {
  HrPeerStatus status;
  double received_at;
  double attested_at; /* by our clock: what it stated was so then; see attested_at in leader.c */
  guint64 cancellations_taken; /* of this process of it: position up to which we took in its
                                  withdrawals */
} HrPeer;

/* A withdrawal that this node confirmed to its user, or read. */
typedef struct {
  guint32 job;
  guint64 revision;
} HrCancellation;

/* What a limit of a team is about. */
typedef struct {
  double cpus, gpus;
} HrQuota;

/* A team in one pass. */
typedef struct {
  gboolean is_limited;
  HrQuota limit, used;   /* used: by every task that is not proven gone */
  HrQuota ending;        /* of that, by tasks that are being stopped */
  HrQuota available;     /* of the limit, not granted yet */
  HrQuota backfill;      /* of that, what the reservation leaves to work without an end in time */
  HrQuota reclaimed;     /* left over, or soon free, while room is made */
  gboolean is_exhausted; /* a job found too little there */
  gboolean has_reservation; /* a job that the limit holds back has what is left reserved */
  double shadow_time;       /* running work has made room for that job by then; INFINITY: unknown */
} HrTeamUsage;

struct HrCore {
  const HrSettings *set;
  HrPolicy pol;
  HrNames *names;
  char *incarnation;
  GRand *rand;
  double now, wall, started;
  GPtrArray *out;
  GHashTable *calls;
  guint64 next_call, next_tag;

  /* Following the ledger. */
  HrReplicaState sync;
  guint sync_gen;
  guint64 applied, sync_base;
  char *sync_after;
  gboolean synced_once, watching, reading;
  double watch_not_before;
  GArray *waiters, *waiters_now;  /* HrReadWaiter */
  double read_sent, confirmed_at; /* confirmed_at: when the last good reading was sent */
  double store_latency;           /* s: what readings took of late, the longest ones for longer */
  double served_since;            /* the state service answers us without a gap */
  double sync_retry_at;
  gboolean store_down;
  guint store_fails;
  guint64 withdrawn; /* stamp of the latest withdrawal that we have read or confirmed */

  /* The log of withdrawals (withdrawals.c). */
  GArray *withdrawals;         /* HrCancellation, in the order in which we learnt of them */
  guint64 withdrawals_begin;   /* position of the first one kept */
  guint64 withdrawals_dropped; /* stamp up to which some may have been dropped */

  /* Writing to it. */
  GQueue txns[HR_TRANSACTION_KINDS];
  GArray *dirty;      /* HrDirtyPage: pages with something to record */
  GArray *garbage;    /* HrObsoletePage, of final jobs and of layouts left behind */
  GArray *tombstones; /* guint32: withdrawn jobs that still wait; their record may be shortened */
  gboolean tidying;
  double tidy_at;
  HrTokenBucket write_bucket, cloud_bucket;
  guint txns_out;
  double write_pause, books_pause;
  HrStateLimits limits; /* that this node plans for */

  /* The format of records. */
  guint speaks; /* the newest that this node understands; 0: there were none yet */
  guint format; /* that the ledger states every member understands */
  guint64 format_stamp;
  gboolean format_writing;
  double format_at;
  gboolean planned_in_force; /* the state service refused what only the planned limits forbid */
  guint names_measured;      /* machine names looked at; the longest of them, bytes */
  gsize name_longest;
  GArray *to_split;          /* guint32: jobs whose records are too large, the most urgent first */
  guint nsplits, split_scan; /* under way; how far c->open was searched for large records */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MOST + 1]; /* see HrPeerStatus */
  guint noversized;

  /* The map and the leader's key. */
  guint64 map_stamp, baton, leader_stamp, fenced;
  char *map_owner, *map_inc, *leader_label, *leader_inc;
  guint64 claim;
  double claim_touched, claim_tried, claim_asked;
  gboolean leads, electing, raising, touching;
  guint64 led_baton; /* of our first map as leader */
  double led_at, elect_at, abstain_until, raised_at, leaderless_at;
  gboolean raise_wanted;
  GArray *peers; /* HrPeer */
  double hint_at;
  gboolean hint_soon; /* there is news for a member that the state service does not serve */
  GArray *contacts;   /* times of workers' reports, a ring */
  double contact_at;
  guint contact_count, contact_last;

  /* Tables. */
  HrIntern job_ids, machine_ids;
  GPtrArray *jobs, *machines; /* by index */
  GArray *open;               /* guint32: jobs that are not final, or not shrunk */
  GArray *types;              /* HrMachineType */
  gboolean types_saved;
  guint64 types_stamp;
  GArray *classes;  /* HrClassStats by class index */
  GPtrArray *fleet; /* the machines that are not gone */

  /* Planning and the fleet. */
  GArray *teams;           /* HrTeamUsage by team, as of this pass */
  GPtrArray *waiting;      /* HrJob of limited teams that wait, in the order of their grants */
  gboolean entitled_waits; /* a job within its team's guarantee waits for room */
  gboolean plan_dirty;
  guint nparts;
  double planned_at;
  gboolean planned_now; /* the batch being worked through has a planning pass */
  double pass_took;     /* seconds, of the latest batch with one; 0: not known */
  double held_back_at;  /* when jobs that wait beside free room are looked at next */
  guint booting;        /* machines that were starting at the latest pass, for those who ask */
  gboolean urgent;      /* some machine has orders to send at once */
  gboolean types_asked, listing;
  double types_at, list_at, rent_at;
  double listed_at; /* when the latest whole pass through the cloud's list began */
  gboolean list_complete;
  char *list_after;
  guint64 ask;
  GArray *wants;   /* HrDemand */
  GArray *refused; /* HrCapacityRefusal: where the cloud had no capacity, until when */
  guint asks_out;
  GQueue rentals_again; /* of fleet.c: not answered clearly, to be asked for again at rent_at */
  guint deletes_out;

  HrCounters counters, counters_printed;
  double counters_at; /* when they were last printed */
  HrHistogram reading_latency, renewal_age;
};

/* core.c */
void hr_core_call (HrCore *c, HrTarget target, const char *addr, HrMethod method, char *path,
                   char *body, double timeout, HrResultCallback fn,
                   gpointer data); /* takes path and body */
void hr_core_reply (HrCore *c, guint64 id, int status, json_t *body,
                    int retry_after); /* takes body */
/* Takes the text, which is plain and no JSON. */
void hr_core_reply_text (HrCore *c, guint64 id, char *text);
void hr_core_refuse (HrCore *c, guint64 id, int status, int retry_after, const char *reason);
char *hr_core_new_tag (HrCore *c);
gboolean hr_token_bucket_take (HrTokenBucket *b, double now, double n, double keep);
HrJob *hr_job_find (HrCore *c, const char *id);
HrJob *hr_job_get (HrCore *c, const char *id); /* makes the row when there is none */
/* Its latest record could not be read, so nothing is known of its present state. */
gboolean hr_job_unreadable (HrCore *c, const char *id);
HrMachine *hr_machine_find (HrCore *c, const char *name);
HrMachine *hr_machine_get (HrCore *c, const char *name);
HrClassStats *hr_class_stats (HrCore *c, guint32 job_class);
const HrTeam *hr_team (const HrCore *c, guint32 team); /* NULL: not known here */
const HrMachineType *hr_machine_type_of (const HrCore *c, const HrMachine *m);
const HrMachineType *hr_machine_type_find (const HrCore *c, guint32 name);

/* urgency.c: deadline and rank of jobs that others need */
/* The job is known, or has become ready. */
void hr_priority_inheritance_job_read (HrCore *c, HrJob *j);
/* These jobs (HrJob) need what they awaited no more. */
void hr_priority_inheritance_jobs_cancelled (HrCore *c, const GPtrArray *jobs);

/* leader.c */
void hr_leadership_tick (HrCore *c);
void hr_leadership_record_read (HrCore *c);
void hr_leadership_step_down (HrCore *c, const char *why);
/* The ledger has to be read anew from the start. */
void hr_leadership_reset (HrCore *c, const char *why);
/* Gives the leader's key back and leaves it to others for a while. */
void hr_leadership_resign (HrCore *c, const char *why);
void hr_membership_status_received (HrCore *c, const HrPeerStatus *h);
gboolean hr_leadership_may_answer (const HrCore *c);
/* As far as other members say, the state service answers none of us. */
gboolean hr_membership_store_outage_for_all (const HrCore *c);
void hr_leadership_raise_token (HrCore *c, const char *why);

/* admission.c: why a job can never run here; NULL when it can. The machine types are known. */
char *hr_admission_refusal_reason (HrCore *c, const HrJobSpec *s);

/* withdrawals.c: naming withdrawals to a leader that cannot read them */
void hr_cancellation_log_append (HrCore *c, const HrJob *j, guint64 revision);
void hr_cancellation_log_fill_status (HrCore *c, HrPeerStatus *h);
void hr_cancellation_log_take_named (HrCore *c, HrPeer *p);
gboolean hr_cancellation_log_all_taken (const HrCore *c, const HrPeer *p);
void hr_cancellation_log_acknowledged (HrCore *c, const HrPeer *p);

/* users.c */
void hr_user_request_received (HrCore *c, HrCommand *cmd);

/* workers.c */
void hr_heartbeat_received (HrCore *c, HrCommand *cmd);
/* What a worker answered to a direct call: its list after the orders. */
void hr_heartbeat_direct_answer (HrCore *c, HrMachine *m, const HrHeartbeat *r);

/* direct.c */
void hr_direct_orders_send (HrCore *c);

/* tasks.c: what happens to a task on its machine */
void hr_task_assign (HrCore *c, HrJob *j, guint32 task, HrMachine *m, guint32 attempt);
void hr_task_bound (HrCore *c, HrJob *j, guint32 task);
void hr_task_unassign (HrCore *c, HrJob *j, guint32 task);
void hr_task_gone (HrCore *c, HrJob *j, guint32 task, HrExitCause why, const char *proof);
void hr_task_done (HrCore *c, HrJob *j, guint32 task);
void hr_task_stop (HrCore *c, HrJob *j, guint32 task, double grace);
/* All its tasks are recorded, of one attempt. */
gboolean hr_gang_ready (const HrJob *j);
/* Is it too early to launch this task of a gang that is ready? */
gboolean hr_gang_delays_launch (const HrCore *c, const HrJob *j, const HrTask *t);
/* Ends a gang's attempt: all its tasks have to go before the next one. */
void hr_gang_end_attempt (HrCore *c, HrJob *j, double grace);
/* A gang completes together: one is done, so all of that attempt (any: of all attempts) are, also
 * those whose machine went before it could say so. */
void hr_gang_done (HrCore *c, HrJob *j, guint32 attempt, gboolean any);
void hr_job_cancelled (HrCore *c, HrJob *j);
guint32 hr_job_next_attempt (const HrJob *j);
/* Tasks that are recorded on machines. The job has its tasks. */
guint hr_job_bound_tasks (const HrJob *j);

/* arrivals.c */
/* Counts tasks of the class that arrive; returns how many a second do, smoothed. */
double hr_class_arrivals (HrCore *c, HrClassStats *s, guint n);
void hr_job_open (HrCore *c, HrJob *j);

/* takeover.c */
void hr_failover_take_over (HrCore *c);

/* fleet.c */
void hr_fleet_add (HrCore *c, HrMachine *m);
void hr_fleet_tick (HrCore *c);
void hr_instance_requests_clear (HrCore *c);
void hr_fleet_delete (HrCore *c, HrMachine *m, const char *why);
void hr_machine_gone (HrCore *c, HrMachine *m, const char *why);
/* zone HR_NONE: refused in all of them. */
gboolean hr_capacity_is_refused (const HrCore *c, guint32 type, guint32 zone, gboolean spot);
void hr_demand_add (HrCore *c, guint32 type, guint32 zone, gboolean spot, guint count);
gboolean hr_machine_types_load (HrCore *c, const json_t *o);

/* rentals.c */
void hr_instance_requests_send (HrCore *c);
/* Requests without a clear answer, once more under their names. */
void hr_instance_requests_retry (HrCore *c);

/* machine_list.c */
void hr_instance_list_tick (HrCore *c);

/* parts.c */
guint32 hr_shard_of (const char *machine, guint n_shards);
void hr_shards_assign (HrCore *c);
void hr_shard_choose (HrCore *c, HrJob *j);

/* planner.c */
void hr_planner_pass (HrCore *c);

/* What a place in the controllers' zone is worth, as time to the start: behind a cut of it,
 * its workers still hear the owner. */
#define HR_HOME_S 2.0

/* project.c */
double hr_estimate_run_time (HrCore *c, const HrJob *j, const HrMachine *m);
/* When a task that is on the machine should end, by its estimate; INFINITY: a service. */
double hr_estimate_running_end (HrCore *c, const HrJob *j, const HrTask *t, const HrMachine *m);
/* How long the image keeps a task of the job from its work there. */
double hr_estimate_fetch_time (const HrCore *c, const HrJob *j, const HrMachine *m);
gboolean hr_job_allows_machine (const HrCore *c, const HrJob *j, const HrMachine *m);

/* Is the machine ruled out by where the job's other tasks are? */
gboolean hr_job_allows_zone (HrCore *c, HrJob *j, HrMachine *m);
/* Projects a list: its late count and tardiness, and each task's start when asked for. */
void hr_project_list (HrCore *c, HrMachine *m, double *starts);
void hr_list_remove (HrMachine *m, HrTaskRef r);
void hr_task_unplan (HrJob *j, guint32 task);
/* Takes all its tasks out of the lists: the next pass places them anew. */
void hr_job_unplan (HrCore *c, HrJob *j);

/* teams.c */
gboolean hr_team_allows_start (HrCore *c, const HrJob *j, guint n);
void hr_guarantees_mark_jobs (HrCore *c);

/* The rank that counts for the job's order and for what may be stopped. */
static inline HrPriority
hr_job_priority (const HrJob *j)
{
  return j->rank;
}

/* rent.c */
/* Tasks of the class that spare room is kept for: as many as cannot wait for a boot, within
 * what their teams' limits leave. */
guint hr_headroom (HrCore *c, guint32 job_class);
guint hr_headroom_wanted (HrCore *c, guint32 job_class);

/* dispatch.c */
void hr_dispatch (HrCore *c);

#include "bookkeeping/bookkeeping.h"
