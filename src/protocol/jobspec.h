/* The specification of a job: parsing and validation of submissions, and the compact form that is
 * stored in the job's record in the state store. Times are in seconds, sizes in gigabytes. */
#pragma once
#include "protocol/intern.h"
#include "protocol/json_reader.h"

/* Batch: tasks that run to their end, each on its own. Gang: all tasks run at the same time.
 * Service: replicas that run until the job is cancelled. The values are stored in records. */
typedef enum { HR_BATCH, HR_GANG, HR_SERVICE } HrShape;

/* The highest priority first. The values are stored in records. */
typedef enum {
  HR_PRIORITY_PRODUCTION,
  HR_PRIORITY_URGENT,
  HR_PRIORITY_NORMAL,
  HR_PRIORITY_LOW
} HrPriority;

/* Maximum number of tasks of a job. */
#define HR_MAX_TASKS 100000
/* Maximum length of a job id in bytes, without the terminating NUL. */
#define HR_JOB_ID_MAX_BYTES 100
/* Maximum number of jobs with oversized records that a controller's status lists. */
#define HR_MAX_OVERSIZED 4
/* Maximum number of machine types: each has a bit in HrJobSpec.types, whose top bit stands for
 * unknown types. */
#define HR_MAX_MACHINE_TYPES 63
/* Maximum size of a request body in bytes. */
#define HR_MAX_BODY 65536
/* Path of the readiness check: whether a controller can serve users. */
#define HR_READY_PATH "/ready"
/* Path for submitting jobs; a job's own path is below it. */
#define HR_JOBS_PATH "/v1/jobs"

/* The tables that map names to indices; one set per process. */
typedef struct {
  HrIntern classes, teams, images, types, zones;
} HrNames;

/**
 * hr_names_init:
 *
 * Initialises empty tables.
 */
void hr_names_init (HrNames *names);

/* How many names each table holds. */
typedef struct {
  guint classes, teams, images, types, zones;
} HrNamesMark;

/**
 * hr_names_mark:
 *
 * Returns: the present size of the tables, for hr_names_reset()
 */
HrNamesMark hr_names_mark (const HrNames *names);

/**
 * hr_names_reset:
 * @mark: an earlier size of the tables
 *
 * Removes all names that were added since. Nothing may refer to them any more.
 */
void hr_names_reset (HrNames *names, HrNamesMark mark);

/**
 * hr_names_clear:
 *
 * Frees all names.
 */
void hr_names_clear (HrNames *names);

/* A job as its user specified it. cpus, gpus, memory_gb and image_gb are per task. */
typedef struct {
  guint32 job_class, team, image, zone; /* zone: HR_NONE for any */
  HrShape shape;
  HrPriority priority;
  guint32 tasks;
  double cpus, gpus, memory_gb, image_gb;
  guint64 types;     /* bit set of allowed machine types (names.types); 0: any */
  gboolean one_zone; /* all tasks in one zone */
  gboolean spread;   /* at most half of the tasks in one zone */
  gboolean allows_spot;
  double estimate_s;   /* the user's estimate of a task's run time */
  double checkpoint_s; /* time between checkpoints; 0: no checkpoints */
  double save_s;       /* time that a stopped task needs to save its progress */
  double deadline_s;   /* deadline, counted from the submission; < 0: none */
} HrJobSpec;

/**
 * hr_job_id_valid:
 * @id: (nullable): any string
 *
 * Returns: whether @id is "job-" followed by characters that a key of the state store may contain,
 *   and not too long
 */
gboolean hr_job_id_valid (const char *id);

/* The members of a submission. */
extern const HrJsonMember hr_submission_members[];

/**
 * hr_jobspec_parse:
 * @object: (nullable): the body of a submission
 * @names: tables to which the names of a valid submission are added
 * @out: (out): the specification; undefined after an error
 * @id: (out) (transfer none): the job's id, which belongs to @object. If the submission has one, it
 *   is set even when another field is invalid.
 * @error: %HR_PROTOCOL_ERROR_FIELD; names the first invalid field and the reason
 *
 * Parses and validates a submission.
 *
 * Returns: %FALSE with @error set when the submission is invalid
 */
gboolean hr_jobspec_parse (const json_t *object, HrNames *names, HrJobSpec *out, const char **id,
                           GError **error);

/**
 * hr_jobspec_parse_awaits:
 * @object: the body of a submission
 * @out: (out) (transfer full) (nullable): the ids of the jobs that the job depends on, without
 *   duplicates and in the order of the submission; %NULL when there are none
 * @error: %HR_PROTOCOL_ERROR_FIELD
 *
 * Parses the list of jobs that a submission depends on.
 *
 * Returns: %FALSE with @error set when the field is invalid
 */
gboolean hr_jobspec_parse_awaits (const json_t *object, GStrv *out, GError **error);

/**
 * hr_job_ids_read:
 * @array: (nullable): any value
 *
 * Returns: (transfer full) (nullable): the ids without duplicates, in the order of @array; %NULL
 *   when @array is not an array of valid job ids
 */
GStrv hr_job_ids_read (const json_t *array);

/**
 * hr_jobspec_pack:
 *
 * Returns: (transfer full): the specification as it is stored in the job's record
 */
json_t *hr_jobspec_pack (const HrJobSpec *spec, const HrNames *names);

/**
 * hr_jobspec_unpack:
 * @array: (nullable): the result of hr_jobspec_pack(), possibly from another process
 *
 * Returns: %FALSE when @array is malformed
 */
gboolean hr_jobspec_unpack (const json_t *array, HrNames *names, HrJobSpec *out);
