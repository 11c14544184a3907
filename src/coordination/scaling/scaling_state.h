/* What is known of the fleet and under way with the cloud. Steady time, s. */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"

/* Where the cloud had no capacity, until when it is not asked again. */
typedef struct {
  guint32 type, zone;
  gboolean is_spot;
  double until;
} HrCapacityRefusal;

/* Machines that the plan is short of. */
typedef struct {
  guint32 type, zone; /* zone: HR_NONE for any */
  gboolean is_spot;
  guint count;
} HrDemand;

typedef struct {
  GPtrArray *fleet; /* HrMachine: those that are not gone */
  /* Machine types (fleet.c). */
  GArray *machine_types; /* HrMachineType; NULL: not known yet */
  gboolean types_in_flight, types_save_sent;
  guint64 types_revision; /* of the copy in the store; 0: none */
  double types_requested_at;
  /* The cloud's list of instances (instance_list.c). */
  gboolean list_in_flight, list_is_complete;
  double list_requested_at;
  double listed_at; /* when the latest whole pass through the list began */
  char *list_cursor;
  /* Requests for instances and deletions (instance_requests.c, fleet.c). */
  HrTokenBucket allowance; /* calls */
  double paused_until;
  GArray *demand;            /* HrDemand */
  GArray *capacity_refusals; /* HrCapacityRefusal */
  guint64 last_request;      /* number of the latest request's name */
  guint instances_requested; /* in requests without a clear answer */
  GQueue requests_to_retry;
  guint deletions_in_flight;
} HrScaling;
