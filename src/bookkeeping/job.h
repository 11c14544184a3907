/* Jobs and their tasks: their recorded state, and the state that the leader keeps in memory.
 *
 * HrTables owns the jobs (tables.h). Only the module that is named in the comment above a structure
 * updates it; other modules read it. Times are monotonic, in seconds, unless stated otherwise.
 * Revisions are those of the state store. */
#pragma once
#include "protocol/intern.h"
#include "protocol/jobspec.h"
#include "protocol/worker.h"
#include <glib.h>
#include <jansson.h>

/* State of a job. The values are stored in records (record.h). */
typedef enum {
  HR_JOB_QUEUED, /* open: accepted, not final yet */
  HR_JOB_DONE,
  HR_JOB_CANCELLED
} HrJobState;

typedef enum {
  HR_TASK_IDLE,      /* proved to be on no machine */
  HR_TASK_ASSIGNING, /* its assignment is being recorded; no order was sent */
  HR_TASK_BOUND,     /* its assignment is recorded; it may be on the machine */
  HR_TASK_DONE, /* its worker reported its end; `done_recorded` tells whether that is recorded */
} HrTaskState;

/* Value of HrTask.reported_state while no heartbeat has reported the task. */
#define HR_NOT_REPORTED 0xff

/* An attempt to run a task on a machine, under one incarnation of the machine's worker. */
typedef struct {
  guint64 incarnation;
  guint32 machine, attempt;
} HrPlacement;

/* Where a task was placed, and its latest attempt. */
typedef struct {
  HrPlacement recorded;  /* as in the record */
  HrPlacement placement; /* decided; differs from `recorded` until its write is confirmed */
  float stop_grace_s;
  float expected_fetch_s; /* expected fetch time of its image, estimated at placement */
  double stop_sent_at;    /* when the attempt's first stop order was sent; monotonic, s; 0: never */
  double bound_since;     /* monotonic, s */
  double running_since;   /* first reported running; monotonic, s; 0: not yet */
} HrTaskRun;

/* A task. Every controller holds all tasks of all unfinished jobs, most of which wait or are done:
 * only those that were placed have a run of their own. */
typedef struct {
  const HrTaskRun *run;       /* hr_task_no_run if it has none; changed by hr_task_edit_run() */
  guint32 listed_on;          /* machine whose list (HrMachinePlan) holds the task, if is_listed */
  guint8 state;               /* HrTaskState */
  guint8 reported_state;      /* HrReportedState from its machine, or HR_NOT_REPORTED */
  guint8 done_recorded : 1;   /* the record holds its end */
  guint8 write_in_flight : 1; /* the write in flight holds its change */
  guint8 stop_wanted : 1;
  guint8 is_listed : 1;       /* a machine's list (HrMachinePlan) holds the task */
  guint8 has_reservation : 1; /* capacity is reserved for it there, since its job starves */
  guint8 goes_first : 1;      /* it is listed ahead of tasks with earlier deadlines */
  /* Placed by an earlier leader; no heartbeat has reported it since. */
  guint8 from_earlier_term : 1;
} HrTask;

/* The run of all tasks that have none of their own: no machine, no attempt. */
extern const HrTaskRun hr_task_no_run;

/* A page of a record. If the main record holds the tasks, it is the job's only page. */
typedef struct {
  guint64 revision;
  char *write_tag;             /* tag of the write in flight; NULL: none */
  gboolean is_dirty;           /* the page is in HrRecordWriter.dirty_pages */
  gboolean write_is_tombstone; /* the write in flight writes the tombstone */
} HrRecordPage;

/* A page in the state store to which no main record refers yet, or any more (staged_pages.h). */
typedef struct {
  guint tasks_per_page, page;
  guint64 revision;
  json_t *value; /* NULL for pages that this node wrote itself, or that were deleted */
} HrStagedPage;

typedef struct HrJob HrJob;

/* The job's record in the state store, as this node knows it. */
typedef struct {
  guint64 revision;     /* revision of the main record */
  char *tag;            /* tag of the last write of the main record */
  guint tasks_per_page; /* 0: the main record holds the tasks */
  HrRecordPage *pages;
  guint n_pages;
  gboolean sized_page_keys;  /* page keys are under h/u and contain the page size; else h/t */
  GArray *staged_pages;      /* HrStagedPage; NULL: none */
  json_t *unknown_members;   /* of the main record; written back unchanged; NULL: none */
  gboolean is_compacted;     /* the record is a tombstone */
  gboolean tasks_unreadable; /* recorded tasks are invalid; the tasks may be on any machine */
  gboolean main_unreadable;  /* latest main record is invalid; the job may be in any state */
  gboolean split_wanted;     /* the job is in the queue of splits (record_split.h) */
  gboolean split_in_flight;
  double next_write_at; /* earliest next write after a failed one; monotonic, s */
  double back_off_s;    /* current back-off; 0: the last write did not fail */
} HrJobRecord;

/* Cancellation of the job, if its state is HR_JOB_CANCELLED. */
typedef struct {
  /* When the last read that did not show the cancellation was sent; no user was told of it before
   * then. 0: not cancelled. */
  double last_uncancelled_read_at;
  gboolean reported_by_peer; /* a peer reported the cancellation; the record was not read yet */
  HrJob *root;               /* cancelled dependency that caused the cancellation; NULL: none */
} HrJobCancellation;

/* Dependencies and dependents of the job (coordination/jobs/dependencies.c). */
typedef struct {
  HrJob **awaited; /* the job's dependencies: it may start once all of them are done */
  guint n_awaited;
  GPtrArray *dependents; /* HrJob whose records name this job; NULL: none, or this job is final */
  double ready_since;    /* real time when the last awaited job was seen done, s; 0: not yet */
} HrJobDependencies;

/* Attempts to run the job, as the leader knows them (coordination/jobs/task_lifecycle.c). Times are
 * monotonic, in seconds. */
typedef struct {
  gboolean is_open;        /* the job is in HrTables.open_jobs */
  guint32 n_live;          /* number of tasks assigning or bound */
  gboolean attempt_ending; /* the gang's attempt is ending; all of its tasks must exit first */
  double gang_ready_at;    /* when the assignments of all tasks of the gang were recorded */
  /* Since when a task of the gang that was lost before the common start has to be replaced; 0: the
   * gang is complete. */
  double gang_incomplete_since;
  double retry_at;      /* no task of the job starts before then */
  double retry_pause_s; /* duration of the latest pause after a failure */
  guint failures;       /* consecutive */
  HrExitCause last_failure;
  guint32 failed_machine; /* machine of the last failure; avoided for a while */
  double failed_machine_avoided_until;
  gboolean arrival_counted; /* the job is in the arrivals of its class (HrClassStats) */
} HrJobRun;

/* The scheduler's plan for the job (coordination/scheduling/). Times are monotonic, in seconds,
 * except `deadline`. */
typedef struct {
  HrPriority priority; /* highest priority among the job and its dependents */
  double deadline;     /* real time, s; the earlier of its own and that implied by its dependents */
  guint n_listed;      /* number of tasks in machines' lists (HrMachinePlan) */
  guint32 shard;       /* shard of the machines that may list its tasks; HR_NONE: any */
  gboolean shard_chosen;
  double gang_start;   /* planned common start of the gang's tasks */
  double expected_end; /* expected end of its last task; infinite if no job awaits it */
  /* For a gang that needs more machines than the cloud grants: when instances are requested again,
   * and the pause before that. */
  double next_scale_out_at, scale_out_pause_s;
} HrJobPlan;

/* The job's share of its team's guarantee and limit (coordination/scheduling/). Times are
 * monotonic, in seconds. */
typedef struct {
  gboolean within_guarantee;   /* the job and the earlier jobs of its team fit the guarantee */
  gboolean reclaims_guarantee; /* other teams may not use the guarantee while the job waits */
  /* Since when the job reclaims the guarantee (0: it does not), when it may do so again after it
   * gave up, and the pause before that. */
  double reclaiming_since, next_reclaim_at, reclaim_pause_s;
  guint granted;        /* number of tasks that may start in this planning pass */
  double granted_since; /* since when the job has not used its grant; 0: it has none */
  gboolean grant_lent;  /* other jobs may use the part of the grant that the job cannot use now */
  double lent_until, lending_s; /* end and duration of the latest lending */
  double starving_since;     /* since when a task has waited despite free capacity; 0: none does */
  double beside_capacity_at; /* when the guard last found free capacity for a task, or no list */
  gboolean is_starving;      /* for longer than the starvation guard allows (starvation_guard.c) */
  gboolean is_unplaceable;   /* no list takes it beside what is reserved for services */
  double reservation_began_at; /* since when other jobs leave idle capacity to it; 0: they do not */
  /* Since when only another job's reservation has delayed it; 0: not delayed. */
  double blocked_by_reservation_since;
} HrJobQuota;

/* A job: its record and the state that this node derives from it. */
struct HrJob {
  guint32 index;
  const char *id;
  gboolean is_known; /* its record has been read or written */
  HrJobState state;
  HrJobSpec spec;
  double submitted_at; /* real time, s */
  guint32 n_tasks;
  guint32 n_recorded_done; /* number of tasks whose end is recorded */
  guint32 n_done;          /* number of tasks that are done, recorded or not */
  HrTask *tasks;           /* NULL once compacted */
  gsize counted_bytes;     /* its part of HrTables.unfinished_bytes */
  HrJobRecord record;
  HrJobCancellation cancellation;
  HrJobDependencies dependencies;
  HrJobRun run;
  HrJobPlan plan;
  HrJobQuota quota;
};

/**
 * hr_task_edit_run:
 * @task: a task
 *
 * Returns: (transfer none): the task's own run, to be changed; a new one if it had none
 */
HrTaskRun *hr_task_edit_run (HrTask *task);

/**
 * hr_task_has_run:
 * @task: a task
 *
 * Returns: whether the task has a run of its own: it was placed, and its run was not released
 */
static inline gboolean
hr_task_has_run (const HrTask *task)
{
  return task->run != &hr_task_no_run;
}

/**
 * hr_task_release_run:
 * @task: a task whose run is no longer needed
 *
 * Frees the task's own run, if it has one.
 */
void hr_task_release_run (HrTask *task);

/* Estimated size of a placed task in a record, in bytes: a long machine name, an incarnation and an
 * attempt. */
#define HR_PLACED_TASK_BYTES 48

/**
 * hr_job_free:
 * @job: (transfer full): a job
 *
 * Frees a job. HrTables frees the jobs that it owns.
 */
void hr_job_free (HrJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrJob, hr_job_free)

/**
 * hr_job_set_spec:
 * @job: a job
 * @spec: its specification
 * @tasks_per_page: layout of its record; 0: the main record holds the tasks
 *
 * Sets the specification and replaces the job's tasks, which are idle, and its pages, which are not
 * in the state store yet.
 */
void hr_job_set_spec (HrJob *job, const HrJobSpec *spec, guint tasks_per_page);

/**
 * hr_job_compact:
 * @job: a job
 *
 * Frees the job's tasks and pages, which a final job no longer needs.
 */
void hr_job_compact (HrJob *job);

/**
 * hr_job_task_end_recorded:
 * @job: a job whose tasks are in memory
 * @task: one of its tasks, whose end is recorded
 *
 * Releases the run of a task that is done. The tasks of a gang keep theirs: its next attempt is
 * numbered above the attempts of all of them.
 */
void hr_job_task_end_recorded (const HrJob *job, HrTask *task);

/**
 * hr_job_bytes:
 * @spec: a job's specification
 * @n_awaited: number of jobs that it awaits
 *
 * Returns: the memory that each controller needs for the job until it is final, in bytes; without
 * the runs of placed tasks, which are as many as the fleet has room for
 */
gsize hr_job_bytes (const HrJobSpec *spec, guint n_awaited);

/**
 * hr_job_has_unfinished_dependencies:
 * @job: a job
 *
 * Returns: whether any job that it awaits is not recorded as done. A job that was not read yet
 * counts as not done.
 */
gboolean hr_job_has_unfinished_dependencies (const HrJob *job);

/**
 * hr_job_is_final:
 * @job: a job
 *
 * Checks whether the job is done or cancelled by its record, or through a job that it awaits. A
 * cancellation that only a peer has stated does not count.
 *
 * Returns: whether the job's state can be told to users and never changes again
 */
static inline gboolean
hr_job_is_final (const HrJob *job)
{
  return job->is_known && job->state != HR_JOB_QUEUED && !job->cancellation.reported_by_peer;
}

/**
 * hr_job_eligible_since:
 * @job: a job
 *
 * Returns: real time since when the job waits for machines, not for other jobs, in seconds
 */
double hr_job_eligible_since (const HrJob *job);

/**
 * hr_job_page:
 * @job: a job whose tasks are in memory
 * @task_index: index of one of its tasks
 *
 * Returns: (transfer none): the page that holds the task; invalid once the layout changes
 */
HrRecordPage *hr_job_page (HrJob *job, guint32 task_index);

/**
 * hr_page_count:
 * @n_tasks: number of tasks of a job
 * @tasks_per_page: tasks of a page; not 0
 *
 * Returns: the number of pages that hold the tasks
 */
static inline guint
hr_page_count (guint32 n_tasks, guint tasks_per_page)
{
  return (n_tasks + tasks_per_page - 1) / tasks_per_page;
}

/**
 * hr_tasks_per_page:
 * @value_kb: maximum size of a value in the state store, in KiB
 *
 * Returns: maximum number of tasks of a page for controllers that predate record formats
 */
guint hr_tasks_per_page (double value_kb);
