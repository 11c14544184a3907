/* State of the fleet and of calls to the cloud (scaling/). Comments name the module that writes
 * each group of members. Times are monotonic, in seconds; machine types and zones are interned
 * names.
 */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"

/* A refusal of instances of one kind for lack of capacity; no such instance is requested before
 * `until`. */
typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  double until;
} HrCapacityRefusal;

/* A number of instances of one kind to request. */
typedef struct {
  guint32 type, zone; /* zone: HR_NONE for any */
  gboolean is_spot;
  guint count;
} HrDemand;

typedef struct {
  GPtrArray *fleet; /* HrMachine: those whose deletion is not confirmed (fleet.c) */
  /* machine_types.c */
  GArray *machine_types; /* HrMachineType; NULL: not known yet */
  gboolean types_in_flight, types_save_sent;
  guint64 types_revision; /* of the copy in the store; 0: none */
  double types_requested_at;
  /* instance_list.c */
  gboolean list_in_flight;
  gboolean list_is_complete; /* a pass of this term shows all instances of earlier leaders */
  double list_requested_at;  /* when the latest pass, complete or not, began */
  double listed_at;          /* when the latest complete pass began */
  char *list_cursor;         /* last name of the page before; NULL: none, the first page is next */
  /* Calls to the cloud. */
  HrTokenBucket allowance;     /* rate limit of calls */
  double paused_until;         /* no deletion or request is sent before this time */
  GArray *demand;              /* HrDemand, of the latest pass (demand.c) */
  GArray *capacity_refusals;   /* HrCapacityRefusal (capacity_refusals.c) */
  guint64 last_request_number; /* in the latest request's name (instance_requests.c) */
  guint instances_requested;   /* in requests without a conclusive answer */
  GQueue requests_to_retry;    /* InstanceRequest (instance_requests.c) */
  guint deletions_in_flight;   /* number of calls (instance_deletions.c) */
} HrScaling;
