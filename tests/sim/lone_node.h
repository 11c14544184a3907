/* One node on a state service played here, without users, workers or other nodes: for tests that
 * ask the core itself. */
#pragma once
#include "coordination/state.h"

typedef struct {
  char *path, *text;
  guint64 stamp;
} Change;

/* All records, as the changes that made them. */
typedef struct {
  GArray *log;       /* Change */
  GHashTable *stamp; /* path -> guint64: the latest change */
  guint64 epoch;
  gboolean down, backwards; /* backwards: a full reading gives the newest record first */
} Ledger;

Ledger *ledger_new (void);
void ledger_free (Ledger *store);
/* A change at the present epoch. */
void ledger_set (Ledger *store, const char *path, const char *text);
/* The job's main record as it stands, or NULL. */
const char *ledger_job (const Ledger *store, const char *id);

typedef struct {
  Ledger *ledger;
  HrCore *core;
  HrNames names;
  HrSettings *set;
  double now;
  GPtrArray *inbox;
  guint64 next;
  GHashTable *answers; /* request id -> status */
  json_t *body;        /* of the latest answer */
} LoneNode;

/* state_more: more members of the settings' `state`, with a comma before them. */
LoneNode *node_new (Ledger *store, const char *state_more);
void node_free (LoneNode *n);
void node_run (LoneNode *n, double for_s);
/* Asks the node, and gives its answer's status; 0 when none came within a minute. */
int node_ask (LoneNode *n, HrMethod method, const char *path, char *body);
/* A node that leads. */
LoneNode *node_up (Ledger *store);
/* Submits a job with these fields beside the usual ones (an array of two small tasks of 20 s).
 * awaits: an array, or NULL; more: `due_s` and `priority` with a comma before them, or NULL. */
int node_submit (LoneNode *n, const char *id, const char *awaits, const char *more);
/* A service of two small replicas. */
int node_submit_service (LoneNode *n, const char *id);
/* The job's stance as the node tells it; "unknown" with a 404. */
const char *node_poll (LoneNode *n, const char *id);
int node_cancel (LoneNode *n, const char *id);
/* Is the job in the list of those that the leader has to look at? */
gboolean node_opens (LoneNode *n, const char *id);
/* The job's record, as if its last task had ended. */
void ledger_done (Ledger *store, const char *id);
/* m-1, which is up and has room. */
HrMachine *node_machine (LoneNode *n);
