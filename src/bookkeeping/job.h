/* Jobs and their tasks: what is recorded of them, and what the leader knows on top.
 *
 * Rows are owned by HrTables (tables.h). Each group of members says which module updates it;
 * others only read it. Times are in seconds of the steady clock unless said otherwise; revisions
 * are the store's. */
#pragma once
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/worker.h"
#include <glib.h>
#include <jansson.h>

/* The numbers are in the records (record.h). */
typedef enum {
  HR_JOB_QUEUED, /* open: accepted, and not final */
  HR_JOB_DONE,
  HR_JOB_CANCELLED
} HrJobState;

typedef enum {
  HR_TASK_IDLE,      /* on no machine: that is proved */
  HR_TASK_ASSIGNING, /* its assignment is being recorded; nothing was sent */
  HR_TASK_BOUND,     /* its assignment is recorded; it may be on the machine */
  HR_TASK_DONE,      /* its agent reported its end; `done_recorded` once that is recorded */
} HrTaskState;

/* In place of an HrReportedState: no heartbeat has shown the task. */
#define HR_NOT_REPORTED 0xff

/* An attempt to run a task: on a machine, in an incarnation of its agent. */
typedef struct {
  guint32 machine, incarnation, attempt;
} HrPlacement;

typedef struct {
  HrPlacement recorded;   /* as in the record */
  HrPlacement placement;  /* as decided: differs from `recorded` until the write is confirmed */
  guint32 listed_on;      /* the machine in whose list it is, if is_listed */
  guint8 state;           /* HrTaskState */
  guint8 done_recorded;   /* its end is in the record */
  guint8 write_in_flight; /* part of the write in flight */
  guint8 reported_state;  /* HrReportedState on its machine, or HR_NOT_REPORTED */
  guint8 stop_wanted;
  guint8 is_listed;         /* is in the list of a machine (HrMachinePlan) */
  guint8 from_earlier_term; /* placed by an earlier leader, in no heartbeat since */
  float stop_grace_s;
  float expected_fetch_s; /* of its image, as of when it was placed */
  double stop_sent_at;    /* the last stop order; steady time, s; 0: none */
  double bound_since;     /* steady time, s */
  double running_since;   /* first seen running; steady time, s; 0: not yet */
} HrTask;

/* A page of the record; the main record is the only one where the tasks are in it. */
typedef struct {
  guint64 revision;
  char *write_tag;         /* of the write in flight; NULL: none */
  gboolean is_dirty;       /* is in the list of pages to write */
  gboolean write_is_final; /* the write in flight is the tombstone */
} HrRecordPage;

/* A page in the store that no main record names yet, or no longer (staged_pages.h). */
typedef struct {
  guint tasks_per_page, page;
  guint64 revision;
  json_t *value; /* NULL where only its writer needs it */
} HrStagedPage;

typedef struct HrJob HrJob;

/* What is known of the job's record in the store. */
typedef struct {
  guint64 revision;     /* of the main record */
  char *tag;            /* writer's tag of the main record */
  guint tasks_per_page; /* 0: the tasks are in the main record */
  HrRecordPage *pages;
  guint n_pages;
  gboolean sized_page_keys;  /* keys of pages are under h/u, with their size; else h/t */
  GArray *staged_pages;      /* HrStagedPage; NULL: none */
  json_t *unknown_members;   /* of the main record, preserved as read; NULL: none */
  gboolean is_compacted;     /* final: its record is a tombstone */
  gboolean tasks_unreadable; /* its recorded tasks are invalid: they may be on any machine */
  gboolean main_unreadable;  /* its latest main record is invalid: it may be in any state */
  gboolean split_wanted;     /* is in the queue of splits (record_split.h) */
  gboolean split_in_flight;
  double next_write_at; /* steady time, s, after a write that failed */
  double back_off_s;    /* how long that one made it wait; 0: none failed */
} HrJobRecord;

/* What is known of the job's cancellation, if its state is HR_JOB_CANCELLED. */
typedef struct {
  double unknown_until;  /* steady time up to which no user knew of it; 0: not cancelled */
  gboolean told_by_peer; /* a peer stated it; the record is still to be read */
  HrJob *root;           /* the cancelled job that this one awaited; NULL: none */
} HrJobCancellation;

/* Jobs that the job awaits, and that await it (coordination/jobs/dependencies.c). */
typedef struct {
  HrJob **awaited;
  guint n_awaited;
  GPtrArray *dependents; /* HrJob whose records name this one; NULL: none, or this one is final */
  double ready_since;    /* time of day when the last awaited job was seen done; 0: not yet */
} HrJobDependencies;

/* What the leader knows of the job's attempts (coordination/jobs/task_lifecycle.c). Steady
 * time, s. */
typedef struct {
  gboolean is_open;             /* in the list of open jobs */
  guint32 n_live;               /* tasks assigning or bound */
  gboolean attempt_ending;      /* the gang's attempt is to end; all tasks must go first */
  double gang_ready_at;         /* when all tasks of the gang's attempt were recorded */
  double gang_incomplete_since; /* a task was lost before the start, to be replaced; 0: none */
  double retry_at, retry_pause_s;
  guint failures; /* in a row */
  HrExitCause last_failure;
  guint32 failed_machine; /* where it failed last; avoided for a while */
  double failed_machine_avoided_until;
  gboolean arrival_counted;
} HrJobRun;

/* What the scheduler concludes about the job (coordination/scheduling/). Steady time, s, but for
 * `deadline`. */
typedef struct {
  HrPriority priority; /* the highest of its own and its dependents' */
  double deadline;     /* time of day; the earliest of its own and what its dependents need */
  guint n_listed;      /* tasks in lists of machines */
  guint32 shard;       /* whose lists it may be in; HR_NONE: any */
  gboolean shard_chosen;
  double gang_start;                           /* planned common start of a gang */
  double expected_end;                         /* of its last task, as of the latest pass */
  double next_scale_out_at, scale_out_pause_s; /* of a gang larger than any fleet so far */
} HrJobPlan;

/* The job's share of its team's guarantee and limit (coordination/scheduling/). Steady time, s. */
typedef struct {
  gboolean within_guarantee;   /* together with the earlier jobs of its team */
  gboolean reclaims_guarantee; /* other teams use none of the guarantee while it waits */
  double reclaiming_since, next_reclaim_at, reclaim_pause_s;
  guint granted;        /* tasks that may start in this pass */
  double granted_since; /* it could have started something since; 0: it could not */
  gboolean grant_lent;  /* other jobs may use the part of its grant that it cannot use now */
  double lent_until, lending_pause_s;
  double starving_since; /* a task waits since, despite free capacity; 0: none does */
  double kept_out_since; /* only another job's reservation delays it since; 0: none does */
} HrJobQuota;

/* A job: its record, and what this node concludes from it. */
struct HrJob {
  guint32 index;
  const char *id;
  gboolean is_known; /* the record has been read or written */
  HrJobState state;
  HrJobSpec spec;
  double submitted_at; /* time of day, s */
  guint32 n_tasks;
  guint32 n_recorded_done; /* tasks whose end is recorded */
  guint32 n_done;          /* tasks that are done, recorded or not */
  HrTask *tasks;           /* NULL once compacted */
  HrJobRecord record;
  HrJobCancellation cancellation;
  HrJobDependencies dependencies;
  HrJobRun run;
  HrJobPlan plan;
  HrJobQuota quota;
};

/* Room for a placed task in a record: a long machine name, an incarnation and an attempt. */
#define HR_PLACED_TASK_BYTES 48

/**
 * hr_job_free:
 * @job: (transfer full): a job
 *
 * Frees a row; HrTables does so for its own.
 */
void hr_job_free (HrJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrJob, hr_job_free)

/**
 * hr_job_set_spec:
 * @job: a job
 * @spec: its specification
 * @tasks_per_page: layout of its record; 0: the tasks are in the main record
 *
 * Makes the rows of its tasks anew, idle, and those of its pages, which are not in the store.
 */
void hr_job_set_spec (HrJob *job, const HrJobSpec *spec, guint tasks_per_page);

/**
 * hr_job_compact:
 * @job: a job
 *
 * Frees what a final job no longer needs: the rows of its tasks and pages.
 */
void hr_job_compact (HrJob *job);

/**
 * hr_job_has_unfinished_dependencies:
 * @job: a job
 *
 * Returns: is any job that it awaits not recorded as done? One that was not read yet is not.
 */
gboolean hr_job_has_unfinished_dependencies (const HrJob *job);

/**
 * hr_job_eligible_since:
 * @job: a job
 *
 * Returns: time of day, s, since when it waits for machines, rather than for other jobs
 */
double hr_job_eligible_since (const HrJob *job);

/**
 * hr_job_page:
 * @job: a job whose tasks are in memory
 * @task_index: a task
 *
 * Returns: (transfer none): the page that holds the task; void once the layout changes
 */
HrRecordPage *hr_job_page (HrJob *job, guint32 task_index);

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

/**
 * hr_tasks_per_page:
 * @value_kb: size of the store's largest values, KiB
 *
 * Returns: how many tasks a record holds for controllers without formats of records
 */
guint hr_tasks_per_page (double value_kb);
