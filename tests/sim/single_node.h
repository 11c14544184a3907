/* One controller core with a fake state store, without users, workers or other controllers: for
 * tests that send requests to the core itself. */
#pragma once
#include "coordination/state.h"

typedef struct {
  char *path, *text;
  guint64 stamp; /* revision of the change */
} FakeStoreChange;

/* A state store that keeps every change of every record. */
typedef struct {
  GArray *log;                 /* FakeStoreChange */
  GHashTable *stamp;           /* path -> guint64: revision of the latest change */
  guint n_deleted;             /* number of deletions so far; the deleted records stay */
  guint64 epoch;               /* revision of the latest change of any record */
  gboolean down, newest_first; /* newest_first: a full listing gives the newest record first */
  guint page_rows;             /* rows of a page of a listing by key; 0: all rows in one page */
  gboolean by_key;             /* a full listing gives the records in the order of their keys */
  gboolean history_lost;       /* the next read of changes gets 410: they have to be listed again */
} FakeStore;

FakeStore *fake_store_new (void);
void fake_store_free (FakeStore *store);
/* Appends a change of the record with the store's current revision. */
void fake_store_set (FakeStore *store, const char *path, const char *text);
/* Returns the current text of the job's main record, or NULL. */
const char *fake_store_job_record (const FakeStore *store, const char *id);

typedef struct {
  FakeStore *store;
  HrCore *core;
  HrNames names;
  HrSettings *settings;
  double now;
  GPtrArray *inbox;
  guint64 next;        /* id of the latest request */
  GHashTable *answers; /* request id -> status */
  json_t *body;        /* of the last answer */
  int retry_after_s;   /* of the last answer; 0: none */
} SingleNode;

/* state_more: additional members of the settings' `state`, with a leading comma. */
SingleNode *single_node_new (FakeStore *store, const char *state_more);
void single_node_free (SingleNode *n);
void single_node_run (SingleNode *n, double for_s);
/* Sends a request to the node and returns the status of its answer; 0: no answer within 60 s. */
int single_node_request (SingleNode *n, HrMethod method, const char *path, char *body);
/* Returns a node that has become the leader. */
SingleNode *single_node_leading (FakeStore *store);
/* Returns the body of a submission of small tasks of 20 s. */
char *single_node_submission (const char *id, const char *shape, guint tasks);
/* Submits an array of two small tasks of 20 s. awaits: the JSON array for that field, or NULL;
 * more: the fields `due_s` and `rank` with a leading comma, or NULL for the defaults. */
int single_node_submit (SingleNode *n, const char *id, const char *awaits, const char *more);
/* Submits a service of two small replicas. */
int single_node_submit_service (SingleNode *n, const char *id);
/* Returns the job's state as the node answers it; "unknown" for 404, "none" for other statuses. */
const char *single_node_poll (SingleNode *n, const char *id);
int single_node_cancel (SingleNode *n, const char *id);
/* Returns whether the job is in the leader's list of open jobs. */
gboolean single_node_lists_open (SingleNode *n, const char *id);
/* Rewrites the job's record as after the end of its last task. */
void fake_store_finish_job (FakeStore *store, const char *id);
/* Adds the machine m-1, which is up and free. */
HrMachine *single_node_add_machine (SingleNode *n);
