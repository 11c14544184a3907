/* The job and machine tables: what is recorded, and what the leader knows on top. */
#pragma once
#include "protocol/cloud.h"
#include "protocol/jobspec.h"
#include "protocol/worker.h"

typedef enum { HR_JOB_QUEUED, HR_JOB_DONE, HR_JOB_CANCELLED } HrJobState;

typedef enum {
  HR_TASK_IDLE,      /* on no machine, as far as any proof goes */
  HR_TASK_ASSIGNING, /* its assignment is being recorded; nothing was sent */
  HR_TASK_BOUND,     /* recorded on a machine; may be there */
  HR_TASK_DONE,      /* the worker said done; `done_recorded` once that is recorded */
} HrTaskState;

#define HR_NOT_REPORTED 0xff

/* An attempt to run a task: on a machine, in an incarnation of its agent. */
typedef struct {
  guint32 machine, incarnation, attempt;
} HrPlacement;

typedef struct {
  HrPlacement recorded;   /* as in the record */
  HrPlacement placement;  /* as meant: differs while a write is under way */
  guint32 listed_on;      /* the machine in whose list it stands, if is_listed */
  guint8 state;           /* HrTaskState */
  guint8 done_recorded;   /* its end is in the record */
  guint8 write_in_flight; /* part of the write that is under way */
  guint8 reported_state;  /* HrReportedState on its machine, or HR_NOT_REPORTED */
  guint8 stop_wanted;
  guint8 is_listed;         /* stands in a machine's list */
  guint8 from_earlier_term; /* read from an earlier leader's record, not seen since */
  float stop_grace_s;
  float expected_fetch_s; /* of its image, as of when it was placed */
  double stop_sent_at;    /* the last stop order; steady time, s; 0: none */
  double bound_since;     /* steady time, s */
  double running_since;   /* first seen running; steady time, s; 0: not yet */
} HrTask;

typedef struct {
  guint64 revision;
  char *write_tag;         /* of the write under way, else NULL */
  gboolean is_dirty;       /* stands in the list of pages to write */
  gboolean write_is_final; /* the write under way is the tombstone */
} HrRecordPage;

/* A page in the state store that no main record names yet, or no longer: a page of another size. */
typedef struct {
  guint tasks_per_page, page;
  guint64 revision;
  json_t *value; /* NULL where only its writer needs it */
} HrStagedPage;

typedef struct HrJob HrJob;

/* How the job stands in the store. */
typedef struct {
  guint64 revision;     /* of the main record */
  char *tag;            /* writer's tag of the main record */
  guint tasks_per_page; /* 0: the tasks stand in the main record */
  HrRecordPage *pages;
  guint n_pages;
  gboolean sized_page_keys; /* pages stand under h/u, with their size in the key; else h/t */
  GArray *staged_pages;     /* HrStagedPage; NULL: none */
  json_t *unknown_members;  /* of the main record, kept as read; NULL: none */
  gboolean is_compacted;    /* final, and only what a tombstone holds is kept */
  gboolean
      tasks_unreadable;     /* what is recorded of its tasks makes no sense: they may be anywhere */
  gboolean main_unreadable; /* its latest main record makes no sense: any state is possible */
  /* A write under way, or due. */
  gboolean split_wanted, split_in_flight;
  double next_write_at, back_off_s; /* what cannot be written now waits until then, so long */
} HrJobRecord;

/* What is known of the job's cancellation, if its state is HR_JOB_CANCELLED. */
typedef struct {
  double unknown_until;  /* steady time up to which no user was told of it; 0: not cancelled */
  gboolean told_by_peer; /* a peer says so; the record is still to be read */
  HrJob *root;           /* the cancelled job that took this one along; NULL: none did */
} HrJobCancellation;

/* Jobs that the job awaits, and that await it (jobs/dependencies.c). */
typedef struct {
  HrJob **awaited;
  guint n_awaited;
  GPtrArray *dependents; /* HrJob whose records name this one; NULL: none, or this one is final */
  double ready_since;    /* time of day when the last awaited job was seen done; 0: not yet */
} HrJobDependencies;

/* What the leader knows of the job's attempts (jobs/task_lifecycle.c). Steady time, s. */
typedef struct {
  gboolean is_open;             /* in the list of open jobs */
  guint32 n_live;               /* tasks assigning or bound */
  gboolean attempt_ending;      /* the gang's attempt is to end; all tasks must go first */
  double gang_ready_at;         /* when all tasks of the gang's attempt were recorded */
  double gang_incomplete_since; /* the gang lost a task before its start, to be replaced; 0: no */
  double retry_at, retry_pause_s;
  guint failures; /* in a row */
  HrExitCause last_failure;
  guint32 failed_machine; /* where it failed last; avoided for a while */
  double failed_machine_avoided_until;
  gboolean arrival_counted;
} HrJobRun;

/* What the scheduler makes of the job (scheduling/). Steady time, s, but for `deadline`. */
typedef struct {
  HrPriority priority; /* the highest of its own and its dependents' */
  double deadline;     /* time of day; the earliest of its own and what its dependents need */
  guint n_listed;      /* tasks standing in machines' lists */
  guint32 shard;       /* whose lists it may stand in; HR_NONE: any */
  gboolean shard_chosen;
  double gang_start;                           /* planned common start of a gang */
  double expected_end;                         /* of its last task, as of the latest pass */
  double next_scale_out_at, scale_out_pause_s; /* of a gang larger than any fleet so far */
} HrJobPlan;

/* The job's share of its team's guarantee and limit (scheduling/quotas.c, guarantees.c). Steady
 * time, s. */
typedef struct {
  gboolean within_guarantee;   /* together with the team's earlier jobs */
  gboolean reclaims_guarantee; /* other teams borrow nothing while it waits */
  double reclaiming_since, next_reclaim_at, reclaim_pause_s;
  guint granted;        /* tasks that may start in this pass */
  double granted_since; /* it could have started something since; 0: it could not */
  gboolean grant_lent;  /* others may use what it does not start with */
  double lent_until, lending_pause_s;
  double starving_since; /* a task waits beside free capacity since; 0: none does */
  double kept_out_since; /* only another job's reservation holds it up since; 0: no */
} HrJobQuota;

struct HrJob {
  guint32 index;
  const char *id;
  gboolean is_known; /* the record has been read or written */
  HrJobState state;
  HrJobSpec spec;
  double submitted_at; /* time of day, s */
  guint32 n_tasks;
  guint32 n_recorded_done, n_done; /* tasks done, as recorded; as meant */
  HrTask *tasks;                   /* NULL once compacted */
  HrJobRecord record;
  HrJobCancellation cancellation;
  HrJobDependencies dependencies;
  HrJobRun run;
  HrJobPlan plan;
  HrJobQuota quota;
};

typedef enum {
  HR_MACHINE_BOOTING,
  HR_MACHINE_UP,
  HR_MACHINE_DELETING,
  HR_MACHINE_GONE
} HrMachineState;

typedef struct {
  guint32 job, task;
} HrTaskRef;

/* An attempt that was launched by a direct call, and the call's token. */
typedef struct {
  guint32 job, task, attempt;
  guint64 fencing_token;
} HrDirectLaunch;

/* An amount of a machine's capacity. */
typedef struct {
  double cpus, gpus, memory_gb;
} HrResources;

/* What the leader knows of the machine's agent (agents/). Steady time, s. */
typedef struct {
  guint32 incarnation;
  guint64 sequence;        /* of the newest message */
  guint64 fencing_token;   /* the newest that the agent has shown */
  double sequence_at;      /* when the message with that sequence number came */
  double heard_at;         /* last heartbeat; 0: none to this leader */
  double lease_renewed_at; /* last 200 to a heartbeat; 0: none */
  double
      answer_unreceived_at; /* when an incarnation first showed that it lacked an answer; 0: not */
  double unreachable_at;    /* when it showed that our answers do not reach it; 0: not */
  /* Orders that may still take effect. */
  guint64
      launch_answered_sequence; /* of the heartbeat whose answer held a launch; 0: none pending */
  guint direct_calls_in_flight;
  guint64 unanswered_launch_token; /* of the last direct launch whose answer was lost; 0: none */
  GArray *direct_launches;         /* HrDirectLaunch of this incarnation */
  gboolean has_urgent_orders;      /* to be sent at once */
  gboolean orders_postponed;       /* until an earlier direct call, or a pause after one, is over */
  double direct_paused_until;
} HrMachineAgent;

/* What is known of the machine as an instance of the cloud (scaling/). Steady time, s. */
typedef struct {
  gboolean requested_here; /* by this very process */
  double requested_at;
  double known_since;  /* in this leader's fleet since */
  double listed_at;    /* when the latest pass through the cloud's list that showed it began */
  double preempted_at; /* when the cloud takes it; 0: no notice */
  gboolean deletion_in_flight;
  gboolean is_deleted; /* the cloud confirmed it */
} HrMachineInstance;

/* What the scheduler plans for the machine (scheduling/). Steady time, s. */
typedef struct {
  guint32 shard;    /* by hash of its name */
  guint n_shards;   /* of how many */
  GArray *list;     /* HrTaskRef by deadline */
  double tardiness; /* expected, of the list */
  guint late_count;
  double ready_at;        /* when the first listed task can start */
  double candidate_start; /* scratch of one job's placement: ready, with the image fetch */
} HrMachinePlan;

typedef struct {
  guint32 index;
  const char *name;
  char *address;
  HrMachineState state;
  guint32 type, zone; /* type: index into the machine types; HR_NONE: not known yet */
  gboolean is_spot;
  gboolean is_draining;
  double idle_since;        /* without tasks since; steady time, s; 0: busy */
  GArray *tasks;            /* HrTaskRef of tasks assigning or bound */
  HrResources free;         /* as meant */
  HrResources reserved;     /* of that, kept for services */
  HrResources services;     /* taken by services */
  HrResources unrecognized; /* taken by tasks that should not be there */
  guint32 images[16];       /* cached, most recent first */
  guint n_images;
  guint failures; /* of different jobs in a row */
  guint32 last_failed_job;
  double full_until; /* it refused a task for want of capacity; steady time, s */
  HrMachineAgent agent;
  HrMachineInstance instance;
  HrMachinePlan plan;
} HrMachine;

/* How much of a class's recent work uses an image. */
typedef struct {
  guint32 image;
  double weight;
} HrImageUse;

/* Statistics per class, for estimates and spare room. */
typedef struct {
  double run_time_correction; /* actual / estimated run time, smoothed */
  guint run_time_samples;
  double arrivals, arrivals_weight;     /* tasks a second, smoothed: arrivals / arrivals_weight */
  double recent_arrivals, recent_since; /* of the last seconds, not in `arrivals` yet */
  double cpus, gpus, memory_gb;         /* of its recent jobs' tasks */
  HrImageUse images[12];                /* the most used ones, most used first */
  guint n_images;
  HrShape shape;
  HrPriority priority;
  gboolean allows_spot, is_seen;
  guint64 types;
  guint64 teams;  /* whose jobs are of it: bits, by index modulo 64 */
  guint headroom; /* tasks that room is kept for in this pass */
} HrClassStats;

/* All jobs and machines that this node knows of. Rows live as long as the tables. */
typedef struct {
  HrIntern job_ids, machine_ids; /* ids and names to indices */
  GPtrArray *jobs, *machines;    /* HrJob, HrMachine by index */
  GArray *open_jobs;             /* guint32: jobs that are not final, or not compacted */
} HrTables;

/**
 * hr_page_count:
 * @n_tasks: tasks of a job
 * @tasks_per_page: not 0
 *
 * Returns: how many pages hold them
 */
static inline guint
hr_page_count (guint32 n_tasks, guint tasks_per_page)
{
  return (n_tasks + tasks_per_page - 1) / tasks_per_page;
}

void hr_job_free (HrJob *job);
void hr_machine_free (HrMachine *machine);
void hr_job_set_spec (HrJob *job, const HrJobSpec *spec, guint tasks_per_page);
/* Drops what a final job no longer needs. */
void hr_job_compact (HrJob *job);
/* Is some job that it awaits not recorded as done? One that was not read yet is not. */
gboolean hr_job_has_unfinished_dependencies (const HrJob *job);
/* Time of day from which its times other than `due_s` count. */
double hr_job_eligible_since (const HrJob *job);
HrRecordPage *hr_job_page (HrJob *job, guint32 task_index);
/* A placed task takes a machine's name, an incarnation and an attempt: room for long names. */
#define HR_PLACED_TASK_BYTES 48
/* How many tasks a record or page of production holds. */
guint hr_tasks_per_page (double value_kb);
/* Counts tasks that use the image; older ones count less and less. */
void hr_class_use_image (HrClassStats *stats, guint32 image, guint tasks);
gboolean hr_machine_has_image (const HrMachine *machine, guint32 image);
void hr_machine_touch_image (HrMachine *machine, guint32 image);
void hr_machine_forget_image (HrMachine *machine, guint32 image);
/* What a machine is; its capacity counts from here on. Does nothing when that is known. */
void hr_machine_describe (HrMachine *machine, const HrMachineType *type, guint32 zone,
                          gboolean spot);
/* Room for a task, as meant. */
gboolean hr_machine_fits (const HrMachine *machine, const HrJobSpec *spec);
/* Room for an amount beside what is kept for services. */
gboolean hr_machine_has_unreserved (const HrMachine *machine, double cpus, double gpus,
                                    double memory_gb);
gboolean hr_machine_fits_unreserved (const HrMachine *machine, const HrJobSpec *spec);
void hr_machine_allocate (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref);
void hr_machine_release (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref);

/* The job with this id, if its record is known; else NULL. */
HrJob *hr_job_find (HrTables *tables, const char *id);
/* The job's row, which is made when there is none. */
HrJob *hr_job_get (HrTables *tables, const char *id);
/* Its latest record could not be read, so nothing is known of its present state. */
gboolean hr_job_unreadable (HrTables *tables, const char *id);
/* The machine with this name, or NULL. */
HrMachine *hr_machine_find (HrTables *tables, const char *name);
/* The machine's row, which is made when there is none. */
HrMachine *hr_machine_get (HrTables *tables, const char *name);
