/* Stand-ins for the platform of a small deployment, written from the protocol's pages: the state
 * service, the cloud, the workers, and users. The controllers are real processes. Everything runs in
 * one thread; world_pump() lets time pass, world_call() sends a user's request and waits for the
 * answer while the stand-ins go on. Times are seconds on the steady clock since world_start(). */
#pragma once
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_NODES 5
#define MAX_ZONES 3

/* Settings of the deployment; world_defaults() sets those of the smaller site of the brief. */
typedef struct {
  int nodes;
  double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  double rps, write_rps, value_kb;
  int txn_ops;
  double cloud_rps, list_lag_s;
  int fd_limit;
  int n_zones;
  const char *zones[MAX_ZONES];
  const char *machine_type, *team;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
  double cpus_max, gpus_max;       /* limit of the team; 0: none */
  int capacity[MAX_ZONES];         /* ordinary machines that the cloud has, by zone */
  int spot_capacity[MAX_ZONES];
  double boot_least, boot_most;    /* boot times, as shares of boot_s */
  int first_node;                  /* a worker's first report goes there; -1: to any node */
} Site;

typedef struct {
  char front[32], back[32];
  int front_port, back_port, state_port;
  pid_t pid; /* 0: not running */
  bool state_refuses;  /* the state service answers this node 503 */
  bool state_cut;      /* requests of this node to the state service get no answer */
  /* The load balancer's view of the node. */
  bool healthy, ever_healthy;
  int fails, successes;
  double unhealthy_since, next_probe;
  int probe_results; /* bits of the last six probes, 1: failed */
} Node;

typedef struct {
  int status;   /* 0: no answer */
  json_t *body; /* NULL: none, or not JSON; freed by answer_clear() */
  double at;
} Answer;

typedef enum { FETCHING, GATHERING, RUNNING, EXITED } TaskState;

typedef struct {
  char job[128];
  int index;
  uint64_t attempt;
  TaskState state;
  const char *cause;
  double image_at, done_at;
  bool started; /* it has its image: it is on its machine */
} Task;

typedef struct Machine {
  char name[32];
  int zone;
  bool spot;
  double rented_at, up_at;
  bool up, gone;
  int port;
  uint64_t tenure, tally, baton, told_baton;
  double lease_base, next_report, last_report_sent;
  int node;          /* controller that it reports to */
  bool in_flight, changed;
  Task *tasks;
  int n_tasks;
  double fetched_until; /* image is cached from then on; only one image is modelled by name */
  char images[8][64];
  int n_images;
} Machine;

/* A job as the users know it. */
typedef struct {
  char id[128];
  json_t *spec;
  bool told_accepted, told_cancelled, told_done;
  int starts;
} Job;

extern Site site;
extern Node nodes[MAX_NODES];
extern Machine *machines[512];
extern int n_machines;
extern Job *jobs[4096];
extern int n_jobs;
/* Called when a task is on its machine: it has its image. */
extern void (*on_task_start) (Machine *machine, Task *task);
/* Called in each step, some milliseconds apart; NULL: nothing. */
extern void (*world_on_step) (void);

void world_defaults (void);
/* argv: the command of the deploy file, to which the settings' path is appended. */
void world_start (int argc, char **argv, const char *record_path);
double world_now (void);
void world_pump (double seconds);
/* Pumps until the predicate holds, for `limit` seconds at most. Returns whether it held. */
bool world_until (bool (*holds) (void), double limit);
/* A user's request at one node, on a new connection. */
Answer world_call (int node, const char *method, const char *path, json_t *body, double timeout_s);
void answer_clear (Answer *answer);
/* Writes a line to the record. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void node_start (int node);
void node_signal (int node, int signal);
/* The node whose process wrote the leader record; -1: none. */
int world_leader (void);
/* Returns the value of a key in the state service (borrowed), or NULL. */
json_t *state_value (const char *path);
int state_count (const char *prefix);
Job *job_add (json_t *spec);
Job *job_find (const char *id);
json_t *job_spec (const char *id, const char *shape, const char *rank, int pieces);
Task *task_on (const char *job, int index, Machine **machine);
/* Ends all controllers and closes the record. Returns the exit code. */
int world_end (int code);
/* Ends with code 2: the case could not run. */
void cannot_run (const char *format, ...) __attribute__ ((format (printf, 1, 2), noreturn));
