/* The simulated workers and their machines: heartbeats ("reports" in names and texts), leases,
 * incarnations, direct orders and the states of tasks. Times in simulated seconds. */
#pragma once
#include "sim/request.h"
#include "sim/cluster.h"

typedef enum {
  SIM_TASK_FETCH,  /* fetches its image */
  SIM_TASK_GATHER, /* has its image and waits for the other tasks of its gang */
  SIM_TASK_RUN,
  SIM_TASK_SAVE, /* was stopped and saves a checkpoint */
  SIM_TASK_EXIT  /* has ended; heartbeats list it until the controller clears it */
} SimTaskState;
typedef struct {
  guint32 job, task, try;
  SimTaskState state;
  const char *cause;
  gboolean saved, failing;
  double ready, until; /* ready: its image is fetched then. until: its checkpoint is saved then, or
                          a gang's task ends then after the loss of a peer */
  double since;        /* gathering or running since */
  double progress_at_start; /* progress when it began to run */
  gboolean active;          /* has its image and has not exited */
} SimTask;

typedef struct {
  char *name, *addr;
  char *ask;     /* idempotency key of the request that rented it */
  int type_boot; /* boot time of its machine type, in ms */
  guint zone;
  /* gone: it has ended and does not return. */
  gboolean spot, up, gone, failed, listed_gone;
  double rented_at, up_at, gone_at; /* up_at: when it finishes booting */
  double delete_requested_at;       /* when a controller first requested its deletion; 0: never */
  double last_referenced_at;        /* when a record that named it was last rewritten after it had
                                       ended */
  guint incarnation, sequence;
  guint64 token;
  double lease_at;           /* sending time of the last heartbeat that got an answer */
  int node;                  /* controller that it reports to */
  gboolean report_in_flight; /* a heartbeat is sent and not answered */
  guint report;              /* number of that heartbeat */
  double report_sent, token_reported_at;
  double cut_until, hang_until;
  double inbound_cut_until;  /* answers and direct orders do not reach it; its heartbeats arrive */
  double outbound_cut_until; /* it reaches no controller; direct orders reach it */
  gboolean cut_holds_messages; /* its cut delays messages instead of dropping them */
  double reclaim_at;           /* the cloud takes the spot machine back then; 0: no notice */
  /* faulty: most of its tasks fail. tracked_by_fault: one of the machines whose loss a fault's
   * check counts. */
  gboolean faulty, tracked_by_fault;
  GArray *tasks; /* SimTask */
  GHashTable *images;
} SimMachine;

/* Handles a direct order. */
void worker_request (SimCluster *cluster, SimRequest *request);
void worker_boot (SimCluster *cluster, SimMachine *machine);
/* Ends all tasks because the machine or its incarnation has ended; no heartbeat lists them. */
void machine_discard_tasks (SimCluster *cluster, SimMachine *machine);
