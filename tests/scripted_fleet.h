/* Machines and their workers for tests/scripted_cluster.h, as the protocol defines them:
 * incarnations, leases, fencing tokens, reports, direct calls, deletion. A test controls which node
 * reaches which machine and may delay any message. The rules about tasks on machines are checked at
 * every event.
 *
 *   Fleet *fleet = fleet_new (2);                       controllers c0 and c1, one of which leads
 *   FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
 *   fleet_run (fleet, 5);                               workers report and carry out their orders
 *   machine->sends_reports = FALSE;                     its reports reach no controller from now on
 *   char *text = fleet_report_text (machine);           a report for the test to deliver later
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
  guint incarnation, sequence; /* sequence: number of the latest report */
  guint64 token;               /* highest fencing token received */
  double lease_renewed_at;     /* when the latest report that got an answer was sent */
  double next_report_at;
  double token_report_at; /* when a higher token last triggered an immediate report */
  int node;               /* the controller that it reports to */
  gboolean deleted;
  gboolean sends_reports;         /* FALSE: its reports are lost */
  gboolean receives_answers;      /* FALSE: the answers to its reports are lost */
  gboolean receives_direct_calls; /* FALSE: direct calls and their answers are lost */
  gboolean is_hung;
  int only_node;          /* the only controller that it can reach; -1: all */
  double preemption_in_s; /* seconds until the cloud takes it, as announced; 0: not announced */
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
  GHashTable *cancelled_jobs; /* job -> double *: when a user was told that it is cancelled */
  GHashTable *jobs;           /* job -> FleetJob */
  double cpus_max;            /* limit of the only team; 0: no limit */
  GPtrArray *violations;      /* messages */
  guint task_starts, deletions;
  gboolean cloud_deletes; /* the cloud carries out deletions and answers; else the calls are lost */
  double lease_s, cancel_s, report_s;
};

/* Returns a fleet whose leader is elected and has read the machine types. */
Fleet *fleet_new (int nodes);
/* Fails the test when a rule was broken, and frees the fleet. */
void fleet_check_and_free (Fleet *fleet);
FleetMachine *fleet_machine (Fleet *fleet, const char *name, const char *zone);
/* Advances the clock in steps of 50 ms; workers report and carry out orders, leases expire. */
void fleet_run (Fleet *fleet, double seconds);
/* Runs until the condition holds; fails the test when it does not within that time. */
typedef gboolean (*FleetCheck) (Fleet *fleet, gpointer data);
void fleet_run_until (Fleet *fleet, FleetCheck check, gpointer data, double seconds);

/* Registers a job that is about to be submitted, so that the rules cover it. */
void fleet_register_job (Fleet *fleet, const char *id, const json_t *body);
/* Checks the state that a user was told at that time, and records a cancellation. */
void fleet_check_answer (Fleet *fleet, const char *id, const char *state, double at);
/* Submits the job and waits until it is accepted. @body: (transfer full) (nullable): NULL:
 * cluster_job_body() with one task. */
void fleet_submit (Fleet *fleet, int node, const char *id, json_t *body);
/* Cancels the job and waits until the user is told so. */
void fleet_cancel (Fleet *fleet, int node, const char *id);
const char *fleet_job_state (Fleet *fleet, int node, const char *id);

/* Returns a report of the machine's present state without sending it. */
char *fleet_report_text (FleetMachine *machine);
/* Delivers the report to the node; the answer is lost. Returns the status of the answer. */
int fleet_deliver_report (Fleet *fleet, int node, const char *text);
/* Reports to the node now; the answer arrives if the machine receives answers. */
int fleet_report (FleetMachine *machine, int node);

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

/* Ends the test's cluster_hold(); the held calls are served as usual. */
void fleet_release_calls (Fleet *fleet);

/* Suspends or resumes the node's process; messages to it wait meanwhile. */
void fleet_freeze (Fleet *fleet, int node);
void fleet_thaw (Fleet *fleet, int node);
