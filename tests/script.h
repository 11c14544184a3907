/* Controllers driven by hand: every message of a meeting is sent, carried out, answered, lost or
 * held at the step that the test names. No seed and no wall clock: one clock, moved by the test.
 * The controllers are the real ones (hr_core_step); the state service (script_store.c) carries a
 * call out when it is told to, which may be long after its caller has given up.
 *
 *   Script *s = script_new (2);                    two controllers, c0 and c1
 *   script_run (s, 5);                             all is answered at once: one of them leads
 *   script_hold (s, 0, "/commit", "job-a");        such calls of c0 wait for the test
 *   guint64 id = script_submit (s, 1, "job-a", 1); a user's request to c1
 *   ScriptCall *call = script_call (s, 0, "/commit", "job-a");
 *   script_carry_out (s, call);                    carried out, its answer still on the way
 *   script_lose (s, call);                         the caller hears nothing
 */
#pragma once
#include "coordination/core.h"
#include <jansson.h>

#define SCRIPT_NODES 5

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
} ScriptCall;

/* The answer to a request of a user or a worker. */
typedef struct {
  int status, retry_after;
  json_t *body;
  double at;
} ScriptReply;

/* Calls that wait for the test: path and text stand anywhere in theirs; NULL: any. */
typedef struct {
  int node;
  char *path, *text;
} ScriptHold;

typedef struct {
  HrCore *core; /* NULL: no process runs */
  HrNames names;
  HrSettings *set;
  guint process;     /* counts them */
  gboolean served;   /* by the state service; else it answers 503 to this node alone */
  HrPeerStatus hint; /* the latest one that it sent */
  gboolean hinted;
  GHashTable *replies; /* request id -> ScriptReply */
} ScriptNode;

typedef struct {
  char *name;
  guint tenure, tally;
  guint64 baton;
  GPtrArray *tasks; /* json_t: as they stand in its reports */
} ScriptWorker;

typedef struct {
  double now;
  int n;
  ScriptNode nodes[SCRIPT_NODES];
  HrPolicy pol;
  GPtrArray *calls; /* ScriptCall, in the order in which they were made */
  GPtrArray *holds; /* ScriptHold */
  GPtrArray *workers;
  guint64 next_request;
  gboolean hints; /* the controllers hear one another; default TRUE */
  /* The state service. */
  gboolean outage;
  GHashTable *keys, *leases;
  GArray *log;
  guint64 epoch, claims, oldest; /* changes up to `oldest` are no longer kept */
  guint carried_out;             /* transactions that changed something */
  double slow;                   /* seconds until it answers, in script_run */
  double write_rps;              /* allowance of changes a second; 0: no end of it */
  double write_tokens, write_at;
  guint refused_writes; /* transactions beyond it */
} Script;

/* Controllers c0, c1, ... that have started and know of one another. */
Script *script_new (int nodes);
/* The same after some seconds: one of them leads, all follow. */
Script *script_led (int nodes);
void script_free (Script *script);
void script_start (Script *script, int node); /* a new process */
void script_end (Script *script, int node);   /* its calls stay on their way */

/* From now on so many changes a second; all controllers start anew, for they read it then. */
void script_limit_writes (Script *script, double write_rps);
/* Moves the clock and lets every controller look at it; answers nothing. */
void script_tick (Script *script, double seconds);
/* Carries out and answers all calls that are not held, and those that follow from them. */
void script_serve (Script *script);
/* Ticks of 50 ms, each with all calls served that are at least s->slow old; whoever has waited for
 * longer than its timeout hears nothing, whether it was carried out or not. */
void script_run (Script *script, double seconds);

/* Such calls wait for the test, those that are open and those to come. */
void script_hold (Script *script, int node, const char *path, const char *text);
/* Nothing is held any more; what was is served as it comes. */
void script_release (Script *script);
/* The oldest open call like this, or NULL. It stays valid until it is answered or lost. */
ScriptCall *script_call (Script *script, int node, const char *path, const char *text);
guint script_count (Script *script, int node, const char *path, const char *text);
/* The service takes the call now; its answer waits for script_answer. */
void script_carry_out (Script *script, ScriptCall *call);
/* The answer reaches the caller; carries the call out first if that was not done. */
void script_answer (Script *script, ScriptCall *call);
/* The caller gets this answer, whatever was done. */
void script_answer_with (Script *script, ScriptCall *call, int status, const char *body);
/* The caller's time runs out. Carried out or not: that stays as it is. */
void script_lose (Script *script, ScriptCall *call);
/* The caller's time runs out, and the call stays on its way: to be carried out with
 * script_late, which frees it. */
ScriptCall *script_delay (Script *script, ScriptCall *call);
/* Returns the status with which it was carried out; nobody hears it. */
int script_late (Script *script, ScriptCall *call);

/* One batch of a single command (taken). */
void script_step (Script *script, int node, HrCommand *command);
guint64 script_request (Script *script, int node, HrMethod method, const char *path,
                        const char *body);
guint64 script_submit (Script *script, int node, const char *id, guint tasks);
guint64 script_poll (Script *script, int node, const char *id);
guint64 script_abort (Script *script, int node, const char *id);
/* NULL: not answered yet. */
const ScriptReply *script_reply (Script *script, int node, guint64 request);
int script_status (Script *script, int node, guint64 request);         /* 0: not answered yet */
const char *script_stance (Script *script, int node, guint64 request); /* NULL: none given */
/* Asks and waits for the answer (at most 0.5 s): the stance, or NULL when none was given. */
const char *script_asked (Script *script, int node, const char *id);
/* The body of a submission: one task that fits the only machine type, a batch. */
json_t *script_job (const char *id, guint tasks);

/* A machine with one worker, known to the cloud's list. */
ScriptWorker *script_worker (Script *script, const char *name);
/* It reports to the node, and obeys the answer if its token counts. Returns the status. */
int script_report (Script *script, ScriptWorker *worker, int node);
/* Submits a job of one task at the node and waits until the worker runs it. */
void script_place (Script *script, ScriptWorker *worker, int node, const char *id);
/* A direct call reaches the worker now; whether it counts depends on token and incarnation. */
int script_direct (ScriptWorker *worker, const ScriptCall *call);
/* All its tasks have ended with this cause. */
void script_worker_ends (ScriptWorker *worker, const char *cause);
gboolean script_worker_has (const ScriptWorker *worker, const char *job_id);

/* The node that the leader record names; -1: none. */
int script_leader (Script *script);
/* What is recorded under the key, or NULL; the text of its value. */
const char *script_value (Script *script, const char *key);
guint64 script_stamp (Script *script, const char *key);
/* The value is there, whoever wrote it. */
void script_write (Script *script, const char *key, const char *text);
/* The changes so far are forgotten: a reading that builds on older ones gets 410. */
void script_forget_changes (Script *script);

/* Shows the controllers' log with HR_SIM_VERBOSE=1, and fatal messages always. */
GLogWriterOutput script_log (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data);

/* For script.c alone. */
void script_worker_free (gpointer worker);
char *script_worker_text (ScriptWorker *worker); /* its next report */
void script_store_init (Script *script);
void script_store_free (Script *script);
/* Answers a request to the state service. NULL: a watch that has nothing to tell yet. */
char *script_store_request (Script *script, const ScriptCall *call, int *status);
char *script_cloud_request (Script *script, const ScriptCall *call, int *status);
