/* What is known of the fleet and of calls to the cloud (scaling/). Each member names the module
 * that writes it. Times are steady time, s; machine types and zones are interned names.
 */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"

/* The cloud had no capacity for such instances, and gets no request for them until then. */
typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  double until;
} HrCapacityRefusal;

/* Instances that are to be requested. */
typedef struct {
  guint32 type, zone; /* zone: HR_NONE for any */
  gboolean is_spot;
  guint count;
} HrDemand;

typedef struct {
  GPtrArray *fleet; /* HrMachine: those that are not gone (fleet.c) */
  /* machine_types.c */
  GArray *machine_types; /* HrMachineType; NULL: not known yet */
  gboolean types_in_flight, types_save_sent;
  guint64 types_revision; /* of the copy in the store; 0: none */
  double types_requested_at;
  /* instance_list.c */
  gboolean list_in_flight;
  gboolean list_is_complete; /* a pass that counts as evidence is complete in this term */
  double list_requested_at;  /* when the pass under way, or the latest one, began */
  double listed_at;          /* when the latest complete pass began */
  char *list_cursor;         /* where the next page begins; NULL: at the beginning */
  /* Calls to the cloud. */
  HrTokenBucket allowance;   /* calls */
  double paused_until;       /* no deletion or request is sent before */
  GArray *demand;            /* HrDemand, of the latest pass (demand.c) */
  GArray *capacity_refusals; /* HrCapacityRefusal (capacity_refusals.c) */
  guint64 last_request;      /* number of the latest request's name (instance_requests.c) */
  guint instances_requested; /* in requests without a clear answer */
  GQueue requests_to_retry;
  guint deletions_in_flight; /* calls (instance_deletions.c) */
} HrScaling;
