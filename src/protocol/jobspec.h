/* A job as its user describes it: parsing, checks, and its compact form in the state store. */
#pragma once
#include "protocol/intern.h"
#include <jansson.h>

typedef enum { HR_BATCH, HR_GANG, HR_SERVICE } HrShape;
typedef enum {
  HR_PRIORITY_PRODUCTION,
  HR_PRIORITY_URGENT,
  HR_PRIORITY_NORMAL,
  HR_PRIORITY_LOW
} HrPriority;

#define HR_MAX_TASKS 100000
/* Bytes of a job's id, without its terminating NUL. */
#define HR_JOB_ID_MOST 100
/* Jobs with oversized records that one status of a controller names. */
#define HR_MAX_OVERSIZED 4
#define HR_MAX_BODY 65536
/* Where users submit and ask. */
#define HR_JOBS_PATH "/v1/jobs"

/* The tables that turn names into indices, one per process. */
typedef struct {
  HrIntern classes, teams, images, types, zones;
} HrNames;

void hr_names_init (HrNames *names);
void hr_names_clear (HrNames *names);

typedef struct {
  guint32 job_class, team, image, zone; /* zone: HR_NONE for any */
  HrShape shape;
  HrPriority priority;
  guint32 tasks;
  double cpus, gpus, memory_gb, image_gb;
  guint64 types; /* bit per machine type; 0: any */
  gboolean one_zone, spread, allows_spot;
  double estimate_s, checkpoint_s, save_s, deadline_s; /* deadline < 0: none */
} HrJobSpec;

/* `job-` and a name; what a key of the state service can hold. */
gboolean hr_job_id_valid (const char *id);
/* Parses the body of a submission. On failure *reason says which field and why. */
gboolean hr_jobspec_parse (const json_t *object, HrNames *names, HrJobSpec *out, const char **id,
                           GError **error);
/* The ids that a submission's `awaits` names, each once and in order; NULL in *out when there
 * are none. On failure *reason says why. */
gboolean hr_jobspec_awaits (const json_t *object, GStrv *out, GError **error);
/* An array of well-formed job ids; NULL when it is anything else. */
GStrv hr_job_ids_read (const json_t *array);
json_t *hr_jobspec_pack (const HrJobSpec *spec, const HrNames *names);
gboolean hr_jobspec_unpack (const json_t *array, HrNames *names, HrJobSpec *out);
