/* The description of a job: parsing and checking what its user submits, and its compact form in the
 * job's record in the state store. Times are in seconds, sizes in gigabytes. */
#pragma once
#include "protocol/intern.h"
#include <jansson.h>

/* Batch: tasks that run to their end, each on its own. Gang: all tasks run at the same time.
 * Service: replicas that run until the job is cancelled. The numbers are in records. */
typedef enum { HR_BATCH, HR_GANG, HR_SERVICE } HrShape;

/* The most important first. The numbers are in records. */
typedef enum {
  HR_PRIORITY_PRODUCTION,
  HR_PRIORITY_URGENT,
  HR_PRIORITY_NORMAL,
  HR_PRIORITY_LOW
} HrPriority;

/* Tasks of a job. */
#define HR_MAX_TASKS 100000
/* Bytes of a job's id, without its terminating NUL. */
#define HR_JOB_ID_MOST 100
/* Jobs with oversized records that one status of a controller names. */
#define HR_MAX_OVERSIZED 4
/* Machine types that the cloud may have: one bit each in HrJobSpec.types, but for the top one. */
#define HR_MAX_MACHINE_TYPES 63
/* Bytes of the body of a request. */
#define HR_MAX_BODY 65536
/* Where it is asked whether a controller can serve users. */
#define HR_READY_PATH "/ready"
/* Where users submit jobs; the path of a job is below it. */
#define HR_JOBS_PATH "/v1/jobs"

/* The tables that turn names into indices, one per process. */
typedef struct {
  HrIntern classes, teams, images, types, zones;
} HrNames;

/**
 * hr_names_init:
 *
 * Makes empty tables.
 */
void hr_names_init (HrNames *names);

/**
 * hr_names_clear:
 *
 * Frees all names.
 */
void hr_names_clear (HrNames *names);

/* A job as described. cpus to image_gb: of each task. */
typedef struct {
  guint32 job_class, team, image, zone; /* zone: HR_NONE for any */
  HrShape shape;
  HrPriority priority;
  guint32 tasks;
  double cpus, gpus, memory_gb, image_gb;
  guint64 types;     /* bit per allowed machine type (names.types); 0: any */
  gboolean one_zone; /* all tasks in one zone */
  gboolean spread;   /* at most half of the tasks in one zone */
  gboolean allows_spot;
  double estimate_s;   /* run time of a task, as its user estimates it */
  double checkpoint_s; /* between checkpoints; 0: it has none */
  double save_s;       /* to save its progress when it is stopped */
  double deadline_s;   /* after its submission; < 0: none */
} HrJobSpec;

/**
 * hr_job_id_valid:
 * @id: (nullable): any text
 *
 * Returns: whether it is "job-" and a name that a key of the state store can hold
 */
gboolean hr_job_id_valid (const char *id);

/**
 * hr_jobspec_parse:
 * @object: (nullable): the body of a submission
 * @names: tables that get the names of a valid submission
 * @out: (out): the description; without a meaning after an error
 * @id: (out) (transfer none): the job's id, which belongs to @object. It is set, if the submission
 *   has one, also when another field is wrong.
 * @error: %HR_PROTOCOL_ERROR_FIELD; names the first field that is wrong, and why
 *
 * Returns: %FALSE with @error set when the submission is not valid
 */
gboolean hr_jobspec_parse (const json_t *object, HrNames *names, HrJobSpec *out, const char **id,
                           GError **error);

/**
 * hr_jobspec_awaits:
 * @object: the body of a submission
 * @out: (out) (transfer full) (nullable): the ids of the jobs that it depends on, each once and in
 *   order; %NULL when there are none
 * @error: %HR_PROTOCOL_ERROR_FIELD
 *
 * Returns: %FALSE with @error set when the field is not valid
 */
gboolean hr_jobspec_awaits (const json_t *object, GStrv *out, GError **error);

/**
 * hr_job_ids_read:
 * @array: (nullable): any value
 *
 * Returns: (transfer full) (nullable): the ids in an array of valid ids, each once and in order;
 *   %NULL when it is anything else
 */
GStrv hr_job_ids_read (const json_t *array);

/**
 * hr_jobspec_pack:
 *
 * Returns: (transfer full): the form of the description in the job's record
 */
json_t *hr_jobspec_pack (const HrJobSpec *spec, const HrNames *names);

/**
 * hr_jobspec_unpack:
 * @array: (nullable): what hr_jobspec_pack() made, perhaps in another process
 *
 * Returns: %FALSE when it makes no sense
 */
gboolean hr_jobspec_unpack (const json_t *array, HrNames *names, HrJobSpec *out);
