/* The cloud's answers. */
#pragma once
#include "protocol/jobspec.h"

typedef struct {
  guint32 type; /* index in names.types */
  double cpus, gpus, mem, cache_gb, fetch_rate, price, spot_price, boot_s;
  GArray *zones; /* guint32 */
} HrType;

typedef enum { HR_M_STARTING, HR_M_RUNNING, HR_M_FAILED } HrListState;
typedef struct {
  const char *name, *addr, *type, *zone;
  gboolean spot;
  HrListState state;
  double age;
} HrListed;

/* Entries that make no sense are left out; NULL when nothing usable is there. */
GArray *hr_types_parse (const json_t *o, HrNames *names); /* HrType */
gboolean hr_listed_parse (const json_t *o, HrListed *out);
