/* Controllers driven by hand: every message of a scenario is sent, carried out, answered, lost or
 * held at the step that the test names. No seed and no wall clock: one clock, moved by the test.
 * The controllers are the real ones (hr_core_step); the state service (scripted_cluster_store.c)
 * carries a call out when it is told to, which may be long after its caller has given up.
 *
 *   Cluster *cluster = cluster_new (2);                   two controllers, c0 and c1
 *   cluster_run (cluster, 5);                             all calls are answered: one leads
 *   cluster_hold (cluster, 0, "/commit", "job-a");        such calls of c0 wait for the test
 *   guint64 id = cluster_submit (cluster, 1, "job-a", 1); a user's request to c1
 *   ClusterCall *call = cluster_call (cluster, 0, "/commit", "job-a");
 *   cluster_carry_out (cluster, call);                    carried out, its answer still on the way
 *   cluster_lose (cluster, call);                         the caller hears nothing
 */
#pragma once
#include "coordination/core.h"
#include <jansson.h>

#define CLUSTER_NODES 5

/* A call of a controller that the test has not ended yet. */
typedef struct {
  int node;
  guint process; /* of the node's processes, the one that called */
  guint64 id;
  HrTarget target;
  HrMethod method;
  char *addr, *path, *body;
  double sent, timeout; /* when it was made; how long its caller waits, in seconds */
  gboolean held;        /* waits for the test */
  gboolean done;        /* carried out; this is what it answers: */
  int status;
  char *answer;
} ClusterCall;

/* The answer to a request of a user or a worker. */
typedef struct {
  int status, retry_after;
  json_t *body;
  double at;
} ClusterReply;

/* Calls that wait for the test: path and text stand anywhere in theirs; NULL: any. */
typedef struct {
  int node;
  char *path, *text;
} ClusterHold;

typedef struct {
  HrCore *core; /* NULL: no process runs */
  HrNames names;
  HrSettings *set;
  guint process;       /* counts them */
  gboolean served;     /* by the state service; else it answers 503 to this node alone */
  HrPeerStatus status; /* the latest one that it sent */
  gboolean status_sent;
  GHashTable *replies; /* request id -> ClusterReply */
} ClusterNode;

typedef struct {
  char *name;
  guint tenure, tally;
  guint64 token;
  GPtrArray *tasks; /* json_t: as they stand in its reports */
} ClusterWorker;

typedef struct {
  double now;
  int n;
  ClusterNode nodes[CLUSTER_NODES];
  HrPolicy pol;
  GPtrArray *calls; /* ClusterCall, in the order in which they were made */
  GPtrArray *holds; /* ClusterHold */
  GPtrArray *workers;
  guint64 next_request;
  gboolean exchange_statuses; /* the controllers hear one another; default TRUE */
  /* The state service. */
  gboolean outage;
  GHashTable *keys, *leases;
  GArray *log;
  guint64 epoch, claims, oldest; /* changes up to `oldest` are no longer kept */
  guint carried_out;             /* transactions that changed something */
  double slow;                   /* seconds until it answers, in cluster_run */
  double write_rps;              /* allowance of changes a second; 0: no end of it */
  double write_tokens, write_at;
  guint refused_writes; /* transactions beyond it */
} Cluster;

/* Controllers c0, c1, ... that have started and know of one another. */
Cluster *cluster_new (int nodes);
/* The same after some seconds: one of them leads, all follow. */
Cluster *cluster_led (int nodes);
void cluster_free (Cluster *cluster);
void cluster_start (Cluster *cluster, int node); /* a new process */
void cluster_end (Cluster *cluster, int node);   /* its calls stay on their way */

/* From now on so many changes a second; all controllers start anew, for they read it then. */
void cluster_limit_writes (Cluster *cluster, double write_rps);
/* Moves the clock and lets every controller look at it; answers nothing. */
void cluster_tick (Cluster *cluster, double seconds);
/* Carries out and answers all calls that are not held, and those that follow from them. */
void cluster_serve (Cluster *cluster);
/* Ticks of 50 ms, each with all calls served that are at least s->slow old; whoever has waited for
 * longer than its timeout hears nothing, whether it was carried out or not. */
void cluster_run (Cluster *cluster, double seconds);

/* Such calls wait for the test, those that are open and those to come. */
void cluster_hold (Cluster *cluster, int node, const char *path, const char *text);
/* Nothing is held any more; what was is served as it comes. */
void cluster_release (Cluster *cluster);
/* The oldest open call like this, or NULL. It stays valid until it is answered or lost. */
ClusterCall *cluster_call (Cluster *cluster, int node, const char *path, const char *text);
guint cluster_count (Cluster *cluster, int node, const char *path, const char *text);
/* The service takes the call now; its answer waits for cluster_answer. */
void cluster_carry_out (Cluster *cluster, ClusterCall *call);
/* The answer reaches the caller; carries the call out first if that was not done. */
void cluster_answer (Cluster *cluster, ClusterCall *call);
/* The caller gets this answer, whatever was done. */
void cluster_answer_with (Cluster *cluster, ClusterCall *call, int status, const char *body);
/* The caller's time runs out. Carried out or not: that stays as it is. */
void cluster_lose (Cluster *cluster, ClusterCall *call);
/* The caller's time runs out, and the call stays on its way: to be carried out with
 * cluster_late, which frees it. */
ClusterCall *cluster_delay (Cluster *cluster, ClusterCall *call);
/* Returns the status with which it was carried out; nobody hears it. */
int cluster_late (Cluster *cluster, ClusterCall *call);

/* One batch of a single command (taken). */
void cluster_step (Cluster *cluster, int node, HrCommand *command);
guint64 cluster_request (Cluster *cluster, int node, HrMethod method, const char *path,
                         const char *body);
guint64 cluster_submit (Cluster *cluster, int node, const char *id, guint tasks);
guint64 cluster_poll (Cluster *cluster, int node, const char *id);
guint64 cluster_abort (Cluster *cluster, int node, const char *id);
/* NULL: not answered yet. */
const ClusterReply *cluster_reply (Cluster *cluster, int node, guint64 request);
int cluster_status (Cluster *cluster, int node, guint64 request); /* 0: not answered yet */
const char *cluster_job_state (Cluster *cluster, int node, guint64 request); /* NULL: none given */
/* Asks and waits for the answer (at most 0.5 s): the stance, or NULL when none was given. */
const char *cluster_asked (Cluster *cluster, int node, const char *id);
/* The body of a submission: one task that fits the only machine type, a batch. */
json_t *cluster_job (const char *id, guint tasks);

/* A machine with one worker, known to the cloud's list. */
ClusterWorker *cluster_worker (Cluster *cluster, const char *name);
/* It reports to the node, and obeys the answer if its token counts. Returns the status. */
int cluster_report (Cluster *cluster, ClusterWorker *worker, int node);
/* Submits a job of one task at the node and waits until the worker runs it. */
void cluster_place (Cluster *cluster, ClusterWorker *worker, int node, const char *id);
/* A direct call reaches the worker now; whether it counts depends on token and incarnation. */
int cluster_direct (ClusterWorker *worker, const ClusterCall *call);
/* All its tasks have ended with this cause. */
void cluster_worker_ends (ClusterWorker *worker, const char *cause);
gboolean cluster_worker_has (const ClusterWorker *worker, const char *job_id);

/* The node that the leader record names; -1: none. */
int cluster_leader (Cluster *cluster);
/* What is recorded under the key, or NULL; the text of its value. */
const char *cluster_value (Cluster *cluster, const char *key);
guint64 cluster_stamp (Cluster *cluster, const char *key);
/* The value is there, whoever wrote it. */
void cluster_write (Cluster *cluster, const char *key, const char *text);
/* The changes so far are forgotten: a reading that builds on older ones gets 410. */
void cluster_forget_changes (Cluster *cluster);

/* Shows the controllers' log with HR_SIM_VERBOSE=1, and fatal messages always. */
GLogWriterOutput cluster_log (GLogLevelFlags level, const GLogField *fields, gsize n,
                              gpointer data);

/* For scripted_cluster.c alone. */
void cluster_worker_free (gpointer worker);
char *cluster_worker_text (ClusterWorker *worker); /* its next report */
void cluster_store_init (Cluster *cluster);
void cluster_store_free (Cluster *cluster);
/* Answers a request to the state service. NULL: a watch that has nothing to tell yet. */
char *cluster_store_request (Cluster *cluster, const ClusterCall *call, int *status);
char *cluster_cloud_request (Cluster *cluster, const ClusterCall *call, int *status);
