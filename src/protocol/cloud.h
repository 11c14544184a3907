/* Requests to the cloud's API and its answers. This module translates between the API's field
 * names and the terms that the rest of the controller uses; no other module contains the field
 * names. Prices are per hour, sizes in gigabytes, times in seconds. The caller frees the paths and
 * bodies that are returned. */
#pragma once
#include "protocol/jobspec.h"

/* Path for requesting and listing instances. */
#define HR_CLOUD_INSTANCES_PATH "/rentals"
/* Path for deleting instances. */
#define HR_CLOUD_DELETION_PATH "/rentals/delete"
#define HR_CLOUD_MACHINE_TYPES_PATH "/machine_types"
/* The reason in a 503 answer when the zone has no capacity for the request at the moment. */
#define HR_CLOUD_NO_CAPACITY "no capacity"

typedef struct {
  guint32 type; /* index in names.types */
  /* boot_s: from the request to the first heartbeat; fetch_rate: of images, in GB per second */
  double cpus, gpus, memory_gb, cache_gb, fetch_rate, price, spot_price, boot_s;
  GArray *zones; /* guint32 */
} HrMachineType;

typedef enum { HR_INSTANCE_STARTING, HR_INSTANCE_RUNNING, HR_INSTANCE_FAILED } HrInstanceState;

/* An entry of the cloud's list of instances; the strings belong to the answer. */
typedef struct {
  const char *name, *address, *type, *zone;
  gboolean is_spot;
  HrInstanceState state;
  double age; /* seconds since the instance was requested */
} HrListedInstance;

/* The members of all answers of the cloud. */
extern const HrJsonMember hr_cloud_answer_members[];

/* A request for instances. */
typedef struct {
  const char *name; /* idempotency key: a repeated request with the same name creates nothing */
  const char *type, *zone;
  gboolean is_spot;
  guint count;
} HrInstanceRequest;

/**
 * hr_machine_types_parse:
 * @object: (nullable): the cloud's answer
 *
 * Parses the machine types that the cloud offers. Skips invalid entries.
 *
 * Returns: (transfer full) (nullable) (element-type HrMachineType): the machine types; %NULL when
 *   the answer contains no valid one
 */
GArray *hr_machine_types_parse (const json_t *object, HrNames *names);

/**
 * hr_instance_list_path:
 * @cursor: (nullable): the last name on the previous page; %NULL for the first page
 *
 * Returns: (transfer full): the path of one page of the list of instances
 */
char *hr_instance_list_path (const char *cursor);

/**
 * hr_instance_list_entries:
 * @answer: (nullable): the answer to a request for a page of the list
 *
 * Returns: (nullable): the entries, for hr_listed_instance_parse(); %NULL when @answer has none
 */
const json_t *hr_instance_list_entries (const json_t *answer);

/**
 * hr_instance_list_has_more:
 *
 * Returns: whether another page follows
 */
gboolean hr_instance_list_has_more (const json_t *answer);

/**
 * hr_listed_instance_parse:
 *
 * Parses an entry of the list of instances.
 *
 * Returns: %FALSE when the entry is invalid
 */
gboolean hr_listed_instance_parse (const json_t *object, HrListedInstance *out);

/**
 * hr_instance_request_text:
 *
 * Returns: (transfer full): the body of a request for instances
 */
char *hr_instance_request_text (const HrInstanceRequest *request);

/**
 * hr_instances_granted:
 * @answer: (nullable): an answer with status 200 to a request for instances
 *
 * Returns: (nullable): the names of the instances that the cloud created
 */
const json_t *hr_instances_granted (const json_t *answer);

/**
 * hr_instance_deletion_text:
 * @names: (transfer full): an array of the instances' names
 *
 * Returns: (transfer full): the body of a request to delete them
 */
char *hr_instance_deletion_text (json_t *names);
