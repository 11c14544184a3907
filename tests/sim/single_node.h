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
} FakeStore;

FakeStore *fake_store_new (void);
void fake_store_free (FakeStore *store);
/* A change at the present epoch. */
void fake_store_set (FakeStore *store, const char *path, const char *text);
/* The job's main record as it stands, or NULL. */
const char *fake_store_job (const FakeStore *store, const char *id);

typedef struct {
  FakeStore *store;
  HrCore *core;
  HrNames names;
  HrSettings *set;
  double now;
  GPtrArray *inbox;
  guint64 next;
  GHashTable *answers; /* request id -> status */
  json_t *body;        /* of the latest answer */
} SingleNode;

/* state_more: more members of the settings' `state`, with a comma before them. */
SingleNode *single_node_new (FakeStore *store, const char *state_more);
void single_node_free (SingleNode *n);
void single_node_run (SingleNode *n, double for_s);
/* Asks the node, and gives its answer's status; 0 when none came within a minute. */
int single_node_request (SingleNode *n, HrMethod method, const char *path, char *body);
/* A node that leads. */
SingleNode *single_node_leading (FakeStore *store);
/* Submits a job with these fields beside the usual ones (an array of two small tasks of 20 s).
 * awaits: an array, or NULL; more: `due_s` and `priority` with a comma before them, or NULL. */
int single_node_submit (SingleNode *n, const char *id, const char *awaits, const char *more);
/* A service of two small replicas. */
int single_node_submit_service (SingleNode *n, const char *id);
/* The job's stance as the node tells it; "unknown" with a 404. */
const char *single_node_poll (SingleNode *n, const char *id);
int single_node_cancel (SingleNode *n, const char *id);
/* Is the job in the list of those that the leader has to look at? */
gboolean single_node_lists_open (SingleNode *n, const char *id);
/* The job's record, as if its last task had ended. */
void fake_store_done (FakeStore *store, const char *id);
/* m-1, which is up and has room. */
HrMachine *single_node_machine (SingleNode *n);
