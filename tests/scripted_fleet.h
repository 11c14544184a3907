/* Machines and their workers for tests/scripted_cluster.h, as the protocol has them: incarnations,
 * leases, tokens, reports, direct orders, deletion. A test says who reaches whom, and may keep any
 * message back. The rules about tasks on machines are checked at every event.
 *
 *   Fleet *fleet = fleet_new (2);                       controllers c0 and c1, one of which leads
 *   FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
 *   fleet_run (fleet, 5);                               all report, and obey what they are told
 *   machine->reports = FALSE;                                 from now on it reaches no controller
 *   char *text = fleet_write (machine);                       a report, to arrive whenever the test
 * says
 */
#pragma once
#include "scripted_cluster.h"

typedef struct {
  char *piece; /* "job-a/0" */
  guint attempt;
  gboolean exited;
  const char *cause;
} FleetTask;

typedef struct Fleet Fleet;

typedef struct {
  Fleet *fleet;
  char *name;
  const char *zone;
  guint tenure, tally;
  guint64 token;
  double lease_at; /* when the latest report that got an answer was sent */
  double report_at;
  double token_told; /* when a higher token last made it report at once */
  int node;          /* that it reports to */
  gboolean gone;
  gboolean reports; /* its reports leave */
  gboolean hears;   /* the answers to its reports arrive */
  gboolean reached; /* direct orders arrive, and their answers */
  gboolean hangs;
  int only;         /* the one controller that it reaches; -1: any */
  double notice;    /* told by the cloud that it goes in so many seconds; 0: no */
  GPtrArray *tasks; /* FleetTask */
} FleetMachine;

/* What the rules need to know of a job. */
typedef struct {
  guint tasks, ended; /* ended: tasks that exited as done */
  double cpus;
  gboolean together, apart;
  GHashTable *done; /* pieces */
} FleetJob;

struct Fleet {
  Cluster *cluster;
  GPtrArray *machines;
  GHashTable *cancelled_jobs; /* job -> double *: when a user was told so */
  GHashTable *jobs;           /* job -> FleetJob */
  double cpus_max;            /* of the only team; 0: no limit */
  GPtrArray *broken;          /* rules, as text */
  guint starts, deletions;
  gboolean cloud_deletes; /* the cloud carries out deletions, and answers */
  double lease_s, cancel_s, report_s;
};

/* A leader is there and has read the machine types. */
Fleet *fleet_new (int nodes);
/* Fails the test when a rule was broken, and frees all. */
void fleet_end (Fleet *fleet);
FleetMachine *fleet_machine (Fleet *fleet, const char *name, const char *zone);
/* Machines report and obey, leases run, the clock moves: steps of 50 ms. */
void fleet_run (Fleet *fleet, double seconds);
/* Runs until the condition holds; fails the test when it does not within that time. */
typedef gboolean (*FleetCheck) (Fleet *fleet, gpointer data);
void fleet_until (Fleet *fleet, FleetCheck check, gpointer data, double seconds);

/* Tells the rules of a job that is about to be submitted. */
void fleet_know (Fleet *fleet, const char *id, const json_t *body);
/* A user was told so, then. */
void fleet_answered (Fleet *fleet, const char *id, const char *state, double at);
/* Submits, and waits until it is accepted. body: taken; NULL: cluster_job of one task. */
void fleet_submit (Fleet *fleet, int node, const char *id, json_t *body);
/* Withdraws, and waits until the user is told so. */
void fleet_cancel (Fleet *fleet, int node, const char *id);
const char *fleet_job_state (Fleet *fleet, int node, const char *id);

/* A report as it is now, sent now. */
char *fleet_write (FleetMachine *machine);
/* It arrives at the node; the answer is lost. Returns its status. */
int fleet_deliver (Fleet *fleet, int node, const char *text);
/* Reports to the node now; the answer arrives if it hears. */
int fleet_report (FleetMachine *machine, int node);

/* The oldest open direct call to the machine, or NULL. */
ClusterCall *fleet_direct (FleetMachine *machine, int node);
/* Submits a job at the leader and waits for the direct call that launches it; no direct order
 * reaches the machine from here on. */
ClusterCall *fleet_launch_call (Fleet *fleet, FleetMachine *machine, int leader, const char *id);
/* Carries out the body of a direct call. Returns 200 or 409. */
int fleet_obey_direct (FleetMachine *machine, const char *body);
/* The task is on the machine and has not exited. */
gboolean fleet_has (const FleetMachine *machine, const char *piece);
guint fleet_count (const Fleet *fleet, const char *piece); /* machines that it is on */
void fleet_exit (FleetMachine *machine, const char *piece, const char *cause);
/* The machine that a job's record names, as text in it. */
gboolean fleet_recorded (Fleet *fleet, const char *job_id, const char *text);

/* What the test held with cluster_hold is served as it comes. */
void fleet_release (Fleet *fleet);

/* A process stands still, or goes on; what was on its way to it waits. */
void fleet_freeze (Fleet *fleet, int node);
void fleet_thaw (Fleet *fleet, int node);
