/* Machines and their workers for tests/scripted_cluster.h, as the protocol defines them:
 * incarnations, leases, fencing tokens, heartbeats, direct calls, deletion. A test controls which
 * node reaches which machine and may delay any message. The rules about tasks on machines are
 * checked at every event.
 *
 *   Fleet *fleet = fleet_new (2);                       controllers c0 and c1, one of which leads
 *   FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
 *   fleet_run (fleet, 5);                               workers send heartbeats, carry out orders
 *   machine->sends_heartbeats = FALSE;                  its heartbeats are lost from now on
 *   char *text = fleet_heartbeat_text (machine);        a heartbeat to deliver later
 */
#pragma once
#include "scripted_cluster.h"

typedef struct {
  char *task_id; /* "job-a/0" */
  guint attempt;
  gboolean exited;
  const char *cause;
} FleetTask;

typedef struct Fleet Fleet;

typedef struct {
  Fleet *fleet;
  char *name;
  const char *zone;
  guint incarnation, sequence; /* sequence: number of the latest heartbeat */
  guint64 token;               /* highest fencing token received */
  double lease_renewed_at;     /* when the latest answered heartbeat was sent */
  double next_heartbeat_at;
  /* When a higher fencing token last triggered an immediate heartbeat. */
  double token_heartbeat_at;
  int node; /* the controller that receives its heartbeats */
  gboolean deleted;
  gboolean sends_heartbeats;      /* FALSE: its heartbeats are lost */
  gboolean receives_answers;      /* FALSE: the answers to its heartbeats are lost */
  gboolean receives_direct_calls; /* FALSE: direct calls and their answers are lost */
  gboolean is_hung;
  int only_node;          /* the only controller that the machine reaches; -1: all */
  double preemption_in_s; /* announced time until its preemption, s; 0: none */
  GPtrArray *tasks;       /* FleetTask */
} FleetMachine;

/* The properties of a job that the rules depend on. */
typedef struct {
  guint tasks, n_done; /* n_done: tasks that exited as done */
  double cpus;
  gboolean together, apart;
  GHashTable *done; /* ids of the tasks that exited as done */
} FleetJob;

struct Fleet {
  Cluster *cluster;
  GPtrArray *machines;
  GHashTable *cancelled_jobs; /* job id -> double *: when a reply confirmed the cancellation */
  GHashTable *jobs;           /* job id -> FleetJob */
  double cpus_max;            /* limit of the only team; 0: no limit */
  GPtrArray *violations;      /* descriptions of broken rules */
  guint task_starts, deletions;
  gboolean cloud_deletes; /* FALSE: calls that delete machines are lost */
  double lease_s, cancel_s, report_s;
};

/* Returns a fleet whose leader is elected and has read the machine types. */
Fleet *fleet_new (int nodes);
/* Fails the test when a rule was broken, and frees the fleet. */
void fleet_check_and_free (Fleet *fleet);
FleetMachine *fleet_machine (Fleet *fleet, const char *name, const char *zone);
/* Advances the clock in steps of 50 ms; workers send heartbeats and carry out orders, and leases
 * expire. */
void fleet_run (Fleet *fleet, double seconds);
/* Runs until the condition holds; fails the test when it does not within that time. */
typedef gboolean (*FleetCheck) (Fleet *fleet, gpointer data);
void fleet_run_until (Fleet *fleet, FleetCheck check, gpointer data, double seconds);

/* Registers a job that is about to be submitted, so that the rules cover it. */
void fleet_register_job (Fleet *fleet, const char *id, const json_t *body);
/* Checks the state in a reply that a user received at that time, and records a confirmed
 * cancellation. */
void fleet_check_answer (Fleet *fleet, const char *id, const char *state, double at);
/* Submits the job and waits until it is accepted. @body: (transfer full) (nullable): NULL:
 * cluster_job_body() with one task. */
void fleet_submit (Fleet *fleet, int node, const char *id, json_t *body);
/* Cancels the job and waits for the reply that confirms it. */
void fleet_cancel (Fleet *fleet, int node, const char *id);
const char *fleet_job_state (Fleet *fleet, int node, const char *id);

/* Returns a heartbeat with the machine's present state without sending it. */
char *fleet_heartbeat_text (FleetMachine *machine);
/* Delivers the heartbeat to the node; the answer is lost. Returns the status of the answer. */
int fleet_deliver_heartbeat (Fleet *fleet, int node, const char *text);
/* Sends a heartbeat to the node now; the answer arrives if the machine receives answers. */
int fleet_send_heartbeat (FleetMachine *machine, int node);

/* Returns the oldest open direct call to the machine, or NULL. */
ClusterCall *fleet_find_direct_call (FleetMachine *machine, int node);
/* Submits a job at the leader and waits for the direct call that launches it; no direct call
 * reaches the machine from here on. */
ClusterCall *fleet_launch_call (Fleet *fleet, FleetMachine *machine, int leader, const char *id);
/* Carries out the body of a direct call. Returns 200 or 409. */
int fleet_apply_direct_call (FleetMachine *machine, const char *body);
/* Returns whether the task is on the machine and has not exited. */
gboolean fleet_machine_runs (const FleetMachine *machine, const char *task_id);
/* Returns the number of machines that run the task. */
guint fleet_count_running (const Fleet *fleet, const char *task_id);
void fleet_exit_task (FleetMachine *machine, const char *task_id, const char *cause);
/* Returns whether the job's record contains the text, such as a machine's name. */
gboolean fleet_job_record_contains (Fleet *fleet, const char *job_id, const char *text);

/* Ends all holds that the test has set with cluster_hold(); the held calls are served as usual. */
void fleet_release_calls (Fleet *fleet);

/* Suspends or resumes the node's process. Answers to its calls wait meanwhile; other messages to
 * it are lost. */
void fleet_freeze (Fleet *fleet, int node);
void fleet_thaw (Fleet *fleet, int node);
