/* The cloud: what this controller sends it and what it answers. Here its names become terms and
 * back; the rest of the controller spells none of them. Prices are of one hour, sizes in gigabytes,
 * times in seconds. Paths and bodies that are returned are the caller's to free. */
#pragma once
#include "protocol/jobspec.h"

/* Where instances are requested. */
#define HR_CLOUD_INSTANCES_PATH "/rentals"
/* Where instances are returned. */
#define HR_CLOUD_DELETION_PATH "/rentals/delete"
#define HR_CLOUD_MACHINE_TYPES_PATH "/machine_types"
/* The reason in an answer of 503 that means: not in this zone just now. */
#define HR_CLOUD_NO_CAPACITY "no capacity"

typedef struct {
  guint32 type; /* index in names.types */
  double cpus, gpus, memory_gb, cache_gb, fetch_rate, price, spot_price, boot_s;
  GArray *zones; /* guint32 */
} HrMachineType;

typedef enum { HR_INSTANCE_STARTING, HR_INSTANCE_RUNNING, HR_INSTANCE_FAILED } HrInstanceState;

/* An entry of the cloud's list of instances; the texts belong to the answer. */
typedef struct {
  const char *name, *address, *type, *zone;
  gboolean is_spot;
  HrInstanceState state;
  double age;
} HrListedInstance;

/* A request for instances. */
typedef struct {
  const char *name; /* idempotency key: the same name again gives no further instances */
  const char *type, *zone;
  gboolean is_spot;
  guint count;
} HrInstanceRequest;

/**
 * hr_machine_types_parse:
 * @object: (nullable): the cloud's answer
 *
 * Reads which machine types there are. Entries that make no sense are left out.
 *
 * Returns: (transfer full) (nullable) (element-type HrMachineType): %NULL when nothing usable is
 * there
 */
GArray *hr_machine_types_parse (const json_t *object, HrNames *names);

/**
 * hr_instance_list_path:
 * @cursor: (nullable): the last name of the page before; %NULL for the first page
 *
 * Returns: (transfer full): the path of one page of the list of instances
 */
char *hr_instance_list_path (const char *cursor);

/**
 * hr_instance_list_entries:
 * @answer: (nullable): with a page of the list
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
 * Returns: %FALSE when the entry makes no sense
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
 * @answer: (nullable): of 200, to a request for instances
 *
 * Returns: (nullable): the names of the instances that the cloud gave
 */
const json_t *hr_instances_granted (const json_t *answer);

/**
 * hr_instance_deletion_text:
 * @names: (transfer full): an array of the instances' names
 *
 * Returns: (transfer full): the body of a request to delete them
 */
char *hr_instance_deletion_text (json_t *names);
