/* Controllers driven by hand: every message of a scenario is sent, carried out, answered, lost or
 * held at the step that the test names. There is no seed and no real time: the test advances the
 * only clock. The controllers run the real code (hr_core_step); the simulated state store
 * (scripted_cluster_store.c) carries a call out when the test says so, possibly long after the
 * caller's timeout.
 *
 *   Cluster *cluster = cluster_new (2);                   two controllers, c0 and c1
 *   cluster_run (cluster, 5);                             all calls are answered: one leads
 *   cluster_hold (cluster, 0, "/commit", "job-a");        such calls of c0 wait for the test
 *   guint64 id = cluster_submit (cluster, 1, "job-a", 1); a user's request to c1
 *   ClusterCall *call = cluster_find_call (cluster, 0, "/commit", "job-a");
 *   cluster_carry_out (cluster, call);                    carried out, its answer still pending
 *   cluster_lose (cluster, call);                         the caller gets no answer
 */
#pragma once
#include "coordination/core.h"
#include <jansson.h>

#define CLUSTER_NODES 5

/* An open call of a controller. */
typedef struct {
  int node;
  guint process; /* process number of the caller, see ClusterNode */
  guint64 id;
  HrTarget target;
  HrMethod method;
  char *addr, *path, *body;
  double sent, timeout; /* time at which it was made; timeout of its caller, in seconds */
  gboolean held;        /* waits until the test serves it */
  gboolean done;        /* carried out, with the following result */
  int status;
  char *answer;
} ClusterCall;

/* The answer to a request of a user or a worker. */
typedef struct {
  int status, retry_after;
  json_t *body;
  double at;
} ClusterReply;

/* Selects calls that wait until the test serves them: path and text are substrings of the call's
 * path and body; NULL: any. */
typedef struct {
  int node;
  char *path, *text;
} ClusterHold;

typedef struct {
  HrCore *core; /* NULL: no process runs */
  HrNames names;
  HrSettings *settings;
  guint process;            /* number of the process; changes with every start and stop */
  gboolean store_available; /* FALSE: the state store answers 503 to this node alone */
  HrPeerStatus status;      /* the latest status that it sent to its peers */
  gboolean status_sent;
  GHashTable *replies; /* request id -> ClusterReply */
} ClusterNode;

typedef struct {
  char *name;
  guint incarnation, sequence; /* sequence: number of the latest heartbeat */
  guint64 token;               /* highest fencing token received */
  GPtrArray *tasks;            /* json_t, in the form that heartbeats have */
} ClusterWorker;

typedef struct {
  double now;
  int n;
  ClusterNode nodes[CLUSTER_NODES];
  HrPolicy policy;
  GPtrArray *calls; /* ClusterCall, in the order in which they were made */
  GPtrArray *holds; /* ClusterHold */
  GPtrArray *workers;
  guint64 next_request;
  gboolean exchange_statuses; /* the controllers receive each other's statuses; default TRUE */
  /* The state store. */
  gboolean store_outage;
  GHashTable *keys, *leases;
  GArray *log;
  guint64 store_revision, last_lease_id;
  guint64 compacted_revision;   /* changes up to this revision are dropped */
  guint committed_transactions; /* transactions that changed something */
  double store_delay_s;         /* delay of its answers in cluster_run() */
  double write_rps;             /* allowance of changes per second; 0: unlimited */
  double write_tokens, write_tokens_at;
  guint refused_writes; /* transactions refused for exceeding the allowance */
} Cluster;

/* Returns a cluster of started controllers c0, c1, ... that are configured as peers. */
Cluster *cluster_new (int nodes);
/* Returns a cluster some seconds later, when one of the controllers leads and all follow. */
Cluster *cluster_new_with_leader (int nodes);
void cluster_free (Cluster *cluster);
/* Starts a new process. */
void cluster_start_node (Cluster *cluster, int node);
/* Ends the process; its calls stay in flight. */
void cluster_stop_node (Cluster *cluster, int node);

/* Sets the allowance of changes per second and restarts all controllers, which read it at start. */
void cluster_limit_writes (Cluster *cluster, double write_rps);
/* Advances the clock and sends every controller a tick; answers no calls. */
void cluster_tick (Cluster *cluster, double seconds);
/* Carries out and answers all calls that are not held, and those that follow from them. */
void cluster_serve (Cluster *cluster);
/* Runs ticks of 50 ms and serves all calls after each, those to the store once they are
 * store_delay_s old. A caller whose timeout has passed gets no answer, whether its call was carried
 * out or not. */
void cluster_run (Cluster *cluster, double seconds);

/* Holds matching calls, open and future ones, until the test serves them. */
void cluster_hold (Cluster *cluster, int node, const char *path, const char *text);
/* Ends all holds; the held calls are served as usual. */
void cluster_release (Cluster *cluster);
/* Returns the oldest open call that matches, or NULL. It stays valid until it is answered or
 * lost. */
ClusterCall *cluster_find_call (Cluster *cluster, int node, const char *path, const char *text);
guint cluster_count_calls (Cluster *cluster, int node, const char *path, const char *text);
/* Carries the call out now; the answer waits for cluster_answer(). */
void cluster_carry_out (Cluster *cluster, ClusterCall *call);
/* Delivers the answer to the caller; carries the call out first if that was not done. */
void cluster_answer (Cluster *cluster, ClusterCall *call);
/* Delivers this answer to the caller, regardless of what was carried out. */
void cluster_answer_with (Cluster *cluster, ClusterCall *call, int status, const char *body);
/* Lets the caller time out. Does not carry the call out, nor undo it. */
void cluster_lose (Cluster *cluster, ClusterCall *call);
/* Lets the caller time out while the call stays in flight. Returns the call, to be carried out with
 * cluster_carry_out_delayed(), which frees it. */
ClusterCall *cluster_delay (Cluster *cluster, ClusterCall *call);
/* Carries the delayed call out and frees it. Returns its status, which the caller never gets. */
int cluster_carry_out_delayed (Cluster *cluster, ClusterCall *call);

/* Runs hr_core_step() of the node with a single command. @command: (transfer full) */
void cluster_step (Cluster *cluster, int node, HrCommand *command);
guint64 cluster_request (Cluster *cluster, int node, HrMethod method, const char *path,
                         const char *body);
guint64 cluster_submit (Cluster *cluster, int node, const char *id, guint tasks);
guint64 cluster_poll (Cluster *cluster, int node, const char *id);
guint64 cluster_cancel (Cluster *cluster, int node, const char *id);
/* Returns NULL while the request is not answered. */
const ClusterReply *cluster_reply (Cluster *cluster, int node, guint64 request);
/* Returns 0 while the request is not answered. */
int cluster_reply_status (Cluster *cluster, int node, guint64 request);
/* Returns the job's state in the reply, or NULL when there is none. */
const char *cluster_job_state (Cluster *cluster, int node, guint64 request);
/* Polls the job and waits for the answer (at most 0.5 s). Returns its state, or NULL when the reply
 * has none. */
const char *cluster_poll_state (Cluster *cluster, int node, const char *id);
/* Returns the body of a submission: a batch job whose tasks fit the only machine type. */
json_t *cluster_job_body (const char *id, guint tasks);

/* Adds a machine with one worker; the cloud lists it. */
ClusterWorker *cluster_worker (Cluster *cluster, const char *name);
/* Sends a heartbeat to the node and carries out the answer unless its token is outdated. Returns
 * the status. */
int cluster_send_heartbeat (Cluster *cluster, ClusterWorker *worker, int node);
/* Submits a job of one task at the node and waits until the worker runs it. */
void cluster_submit_and_start (Cluster *cluster, ClusterWorker *worker, int node, const char *id);
/* Delivers a direct call to the worker now. Returns 200, or 409 when the worker rejects its token
 * or incarnation. */
int cluster_deliver_direct_call (ClusterWorker *worker, const ClusterCall *call);
/* Ends all tasks of the worker with this cause. */
void cluster_worker_exit_tasks (ClusterWorker *worker, const char *cause);
gboolean cluster_worker_runs (const ClusterWorker *worker, const char *job_id);

/* Returns the node that the leader record names; -1: none. */
int cluster_leader (Cluster *cluster);
/* Returns the text of the value that is stored under the key, or NULL. */
const char *cluster_value (Cluster *cluster, const char *key);
guint64 cluster_key_revision (Cluster *cluster, const char *key);
/* Writes the value directly, not through a transaction of a controller. */
void cluster_set_value (Cluster *cluster, const char *key, const char *text);
/* Drops the changes so far: reading changes from before the present revision gets 410. */
void cluster_compact_changes (Cluster *cluster);

/* Prints the controllers' log with HR_SIM_VERBOSE=1, and fatal messages always. */
GLogWriterOutput cluster_log_writer (GLogLevelFlags level, const GLogField *fields, gsize n,
                                     gpointer data);

/* Shared by the scripted_cluster*.c files; not for tests. */
void cluster_worker_free (gpointer worker);
char *cluster_worker_heartbeat_text (ClusterWorker *worker); /* its next heartbeat */
void cluster_store_init (Cluster *cluster);
void cluster_store_free (Cluster *cluster);
/* Answers a request to the state store. Returns NULL for a watch that has no changes yet. */
char *cluster_store_request (Cluster *cluster, const ClusterCall *call, int *status);
char *cluster_cloud_request (Cluster *cluster, const ClusterCall *call, int *status);
