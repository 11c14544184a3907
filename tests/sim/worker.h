/* The simulated workers and their machines: reports, leases, incarnations, direct orders and the
 * states of tasks. Times in simulated seconds. */
#pragma once
#include "sim/request.h"
#include "sim/cluster.h"

typedef enum {
  SIM_TASK_FETCH,
  SIM_TASK_GATHER,
  SIM_TASK_RUN,
  SIM_TASK_SAVE,
  SIM_TASK_EXIT
} SimTaskState;
typedef struct {
  guint32 job, task, try;
  SimTaskState state;
  const char *cause;
  gboolean saved, failing;
  double ready, until; /* when its image is there; when its checkpoint is saved, or a gang's task
                          ends after a peer was lost */
  double since;        /* gathering or running since */
  double progress_at_start; /* progress when it began to run */
  gboolean active;          /* has its image and has not exited */
} SimTask;

typedef struct {
  char *name, *addr, *ask;
  int type_boot; /* ms */
  guint zone;
  gboolean spot, up, gone, failed, listed_gone;
  double rented_at, up_at, gone_at; /* up_at: when it finishes booting */
  double delete_requested_at;       /* when a controller first asked to delete it; 0: never */
  double last_referenced_at;        /* after it was gone: when the last record that named it was
                                       rewritten */
  guint incarnation, sequence;
  guint64 token;
  double lease_at;           /* sending time of the last report that got an answer */
  int node;                  /* controller that it reports to */
  gboolean report_in_flight; /* a report is sent and not answered */
  guint report;              /* number of that report */
  double report_sent, token_reported_at;
  double cut_until, hang_until;
  double inbound_cut_until;    /* answers and commands do not reach it; its reports arrive */
  double outbound_cut_until;   /* it reaches no controller; commands reach it */
  gboolean cut_holds_messages; /* as in SimNode */
  double reclaim_at;           /* the cloud takes the spot machine back then; 0: no notice */
  /* tracked_by_fault: one of the machines whose loss a fault's check counts. */
  gboolean faulty, tracked_by_fault;
  GArray *tasks; /* SimTask */
  GHashTable *images;
} SimMachine;

/* Handles a direct order. */
void worker_request (SimCluster *cluster, SimRequest *request);
void worker_boot (SimCluster *cluster, SimMachine *machine);
/* Ends all tasks because the machine or its incarnation has ended; nothing reports them. */
void machine_discard_tasks (SimCluster *cluster, SimMachine *machine);
