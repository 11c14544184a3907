/* The job and machine tables: what is recorded, and what the owner knows on top. */
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

/* A page in the ledger that no main record names yet, or no longer: a page of another size. */
typedef struct {
  guint tasks_per_page, page;
  guint64 revision;
  json_t *value; /* NULL where only its writer needs it */
} HrStagedPage;

typedef struct HrJob HrJob;
struct HrJob {
  guint32 index;
  const char *id;
  gboolean known; /* the record has been read or written */
  HrJobState state;
  HrJobSpec spec;
  guint64 stamp;                 /* of the main record */
  char *tag;                     /* writer's tag of the main record */
  double submitted;              /* time of day */
  double deadline;               /* time of day, with what those that need it ask (urgency.c) */
  guint32 ntasks, nrdone, ndone; /* ndone: as meant */
  HrTask *tasks;                 /* NULL once final and shrunk */
  guint per_page;                /* 0: tasks stand in the main record */
  HrRecordPage *pages;
  guint npages;
  gboolean resplit; /* its pages stand under keys that carry their size: h/u in place of h/t */
  GArray *staged;   /* HrStagedPage; NULL: none */
  json_t *extra;    /* what this version does not know in its main record; NULL: nothing */
  gboolean shrunk;
  double withdrawn_since; /* steady time before which nobody was told that it is; 0: it is not */
  gboolean told;          /* withdrawn, as a member told us; its record is still to be read */
  gboolean unreadable; /* what is recorded of its tasks could not be read: they may be anywhere */
  gboolean record_unreadable; /* its latest main record makes no sense: it may be in any state */
  /* Jobs that await others (dependencies.c). Rows live as long as the tables. */
  HrJob **awaits;
  guint nawaits;
  GPtrArray *dependents; /* HrJob whose records name this one; NULL: none, or this one is final */
  HrJob *withdrawn_with; /* the cancelled job that took this one along; NULL: none did */
  double ready_since;    /* time of day when its last awaited job was seen done; 0: not yet */
  HrPriority rank;       /* the highest of its own and of those that need it (urgency.c) */
  /* The owner's. */
  gboolean listed;    /* in the owner's list of open jobs */
  guint32 nlive;      /* tasks assigning or bound */
  gboolean gang_over; /* this attempt is to end; all tasks must go first */
  double ready_at;    /* all tasks of the gang's attempt are recorded since */
  double short_since; /* a gang lost a task before its start, which is to be replaced; 0: no */
  double retry_at, pause;
  double rent_at, rent_pause; /* a gang larger than any fleet so far: no machine before then */
  guint errors;
  HrExitCause last_error;
  guint32 bad_machine; /* where it failed last, avoided until */
  double bad_until;
  gboolean counted;  /* its arrival was counted */
  double gang_start; /* planned common start of a gang, steady time */
  guint planned;     /* tasks standing in lists */
  gboolean entitled; /* within its team's guarantee, together with the team's earlier jobs */
  gboolean claims;   /* and others borrow nothing while it waits */
  double claim_since, claim_from,
      claim_pause; /* it has claimed since; not before; pause till then */
  /* Of its team's limit (limits.c). */
  guint grant;       /* tasks that may start in this pass */
  double granted_at; /* it could have started something since; 0: it cannot */
  gboolean lent;     /* others may use what it does not start with */
  double lent_until, lent_pause;
  double held_back_since; /* a task of it waits beside free room since; 0: none does */
  double kept_since; /* only what is reserved for another holds it back since; 0: it does not */
  guint32 part;      /* whose lists it may stand in; HR_NONE: large, any list */
  gboolean parted;   /* its part was chosen */
  gboolean split_wanted, splitting; /* in the queue of records to split; under way */
  double write_at, write_pause;     /* what cannot be written now waits until then, so long */
  double ends_at; /* when its last task should end, steady time, as of the latest pass */
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

typedef struct {
  guint32 index;
  const char *name;
  char *addr;
  HrMachineState state;
  guint32 type, zone; /* type: index into the types table; HR_NONE: not known yet */
  gboolean spot;
  guint32 incarnation;
  guint64 seq, token;
  double seq_at;        /* when the message with that seq came */
  double unreceived_at; /* when a session first showed that; 0: the last one did not */
  double deaf_at;       /* when it showed that our answers do not reach it; 0: it did not */
  gboolean rented_here; /* by this very process */
  double rented_at;     /* steady time, by our clock */
  double known_at;      /* in this owner's fleet since */
  double listed_at;     /* the latest pass through the cloud's list that showed it began then */
  double heard_at;      /* last report; 0: none to this owner */
  double answered_at;   /* last 200 to a report; 0: none */
  double idle_at;       /* without tasks since; 0: busy */
  double notice_at;     /* when the cloud takes it; 0: no notice */
  gboolean drain;
  guint64 reply_launch; /* seq of the report whose answer held a launch; 0: none pending */
  guint do_out;         /* direct calls without an answer yet */
  guint64 do_lost;      /* token of the last direct launch whose answer was lost; 0: none */
  GArray *direct;       /* HrDirectLaunch of this session */
  gboolean urgent;      /* orders to send at once */
  gboolean put_off;     /* they wait for an earlier direct call, or a pause after one */
  double do_pause;
  gboolean delete_out;                            /* the call for it is under way */
  gboolean deleted;                               /* the cloud confirmed it */
  GArray *tasks;                                  /* HrTaskRef of tasks assigning or bound */
  double foreign_cpus, foreign_gpus, foreign_mem; /* taken by what should not be there */
  double cpus, gpus, mem;                         /* free, as meant */
  double claim_cpus, claim_gpus, claim_mem;       /* of that, kept for services */
  double fixed_cpus, fixed_gpus, fixed_mem;       /* taken by services */
  guint32 images[16];                             /* most recent first */
  guint nimages;
  guint errors; /* failures in a row */
  guint32 error_job;
  double full_until;
  /* Plan */
  guint32 part;     /* by hash of its name */
  guint parts;      /* of how many */
  GArray *list;     /* HrTaskRef by deadline */
  double tardiness; /* expected, of the list */
  guint late;
  double ready;  /* when the first listed task can start */
  double begins; /* scratch of one job's placement: ready, with the image fetch */
} HrMachine;

/* How much of a class's recent work uses an image. */
typedef struct {
  guint32 image;
  double weight;
} HrImageUse;

/* Statistics per class, for estimates and spare room. */
typedef struct {
  double correction; /* actual / estimated run time, smoothed */
  guint samples;
  double sum, weight;       /* tasks arriving a second, smoothed: sum / weight */
  double bucket, bucket_at; /* arrivals of the last seconds, not in the sum yet */
  double cpus, gpus, mem;   /* of its recent jobs' tasks */
  HrImageUse images[12];    /* the most used ones, most used first */
  guint nimages;
  HrShape shape;
  HrPriority rank;
  gboolean spot, seen;
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

void hr_job_free (HrJob *j);
void hr_machine_free (HrMachine *m);
void hr_job_set_spec (HrJob *j, const HrJobSpec *s, guint tasks_per_page);
/* Drops what a final job no longer needs. */
void hr_job_compact (HrJob *j);
/* Is some job that it awaits not recorded as done? One that was not read yet is not. */
gboolean hr_job_has_unfinished_dependencies (const HrJob *j);
/* Time of day from which its times other than `due_s` count. */
double hr_job_eligible_since (const HrJob *j);
HrRecordPage *hr_job_page (HrJob *j, guint32 task);
/* A placed task takes a machine's name, a session and an attempt: room for long names. */
#define HR_PLACED_TASK_BYTES 48
/* How many tasks a record or page of production holds. */
guint hr_tasks_per_page (double value_kb);
/* Counts tasks that use the image; older ones count less and less. */
void hr_class_use_image (HrClassStats *s, guint32 image, guint tasks);
gboolean hr_machine_has_image (const HrMachine *m, guint32 image);
void hr_machine_touch_image (HrMachine *m, guint32 image);
void hr_machine_forget_image (HrMachine *m, guint32 image);
/* What a machine is; its capacity counts from here on. Does nothing when that is known. */
void hr_machine_describe (HrMachine *m, const HrMachineType *t, guint32 zone, gboolean spot);
/* Room for a task, as meant. */
gboolean hr_machine_fits (const HrMachine *m, const HrJobSpec *s);
/* Room for an amount beside what is kept for services. */
gboolean hr_machine_has_unreserved (const HrMachine *m, double cpus, double gpus, double mem);
gboolean hr_machine_fits_unreserved (const HrMachine *m, const HrJobSpec *s);
void hr_machine_allocate (HrMachine *m, const HrJobSpec *s, HrTaskRef r);
void hr_machine_release (HrMachine *m, const HrJobSpec *s, HrTaskRef r);
