/* The cloud's answers. */
#pragma once
#include "protocol/jobspec.h"

typedef struct {
  guint32 type; /* index in names.types */
  double cpus, gpus, memory_gb, cache_gb, fetch_rate, price, spot_price, boot_s;
  GArray *zones; /* guint32 */
} HrMachineType;

typedef enum { HR_INSTANCE_STARTING, HR_INSTANCE_RUNNING, HR_INSTANCE_FAILED } HrInstanceState;
typedef struct {
  const char *name, *address, *type, *zone;
  gboolean is_spot;
  HrInstanceState state;
  double age;
} HrListedInstance;

/* Entries that make no sense are left out; NULL when nothing usable is there. */
GArray *hr_machine_types_parse (const json_t *object, HrNames *names); /* HrMachineType */
gboolean hr_listed_instance_parse (const json_t *object, HrListedInstance *out);
