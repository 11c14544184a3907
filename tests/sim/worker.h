/* The simulated workers and their machines: heartbeats, leases, incarnations, direct orders and the
 * life of tasks. Times in seconds of the day. */
#pragma once
#include "sim/request.h"
#include "sim/world.h"

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
  gboolean kept, failing;
  double ready, until; /* image there; saved by */
  double since;        /* gathering or running since */
  double base;         /* progress when it began to run */
  gboolean on;         /* has its image, not exited */
} SimTask;

typedef struct {
  char *name, *addr, *ask;
  int type_boot; /* ms */
  guint zone;
  gboolean spot, up, gone, failed, listed_gone;
  double rented, boots, gone_at;
  double asked_gone; /* its deletion was first asked for then; 0: never */
  double named_at;   /* when a record last ceased to name it, after it went */
  guint tenure, tally;
  guint64 token;
  double lease_at; /* sent time of the last report that got an answer */
  int node;        /* reports to */
  gboolean out;    /* a report is on its way */
  guint report;    /* number of the report on its way */
  double report_sent, token_told;
  double cut, hang;    /* until when */
  double inbound_cut;  /* until when answers and commands do not reach it; reports leave */
  double outbound_cut; /* until when it reaches no controller; commands reach it */
  gboolean hold;
  double warned; /* taken at; 0: no notice */
  gboolean faulty, through_cut;
  GArray *tasks; /* SimTask */
  GHashTable *images;
} SimMachine;

void worker_request (World *world, SimRequest *request);
void worker_boot (World *world, SimMachine *machine);
void machine_stop_all (World *world, SimMachine *machine);
