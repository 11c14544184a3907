/* What this node knows of the state store and has under way there: its replica of the store, the
 * tables that it fills, and the transactions that write to it. Owned by the core; each part is
 * written by the module that the comment above it names. Times are in seconds of the steady clock
 * unless said otherwise; revisions are the store's. */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "protocol/http_method.h"
#include "protocol/settings.h"
#include <jansson.h>

/* Whoever composes the store with the rest of a controller; bookkeeping only hands it on. */
typedef struct HrCore HrCore;
typedef struct HrStore HrStore;

/* The answer to a call of ours. status: HTTP status; 0: no answer, so the call may have been
 * carried out, or may yet be. body: NULL where there is none. sent_at: when the call was made. */
typedef void (*HrStoreCallback) (HrStore *store, int status, json_t *body, double sent_at,
                                 gpointer data);

/* A read of the store that began after it was asked for has ended. ok: FALSE when it failed, and
 * nothing may be concluded. */
typedef void (*HrReadCallback) (HrStore *store, gboolean ok, gpointer data);

typedef enum {
  HR_REPLICA_UNREAD,   /* nothing is known, or what was known is out of date */
  HR_REPLICA_LISTING,  /* the whole store is being read, page by page */
  HR_REPLICA_FOLLOWING /* changes are read as they come */
} HrReplicaState;

/* Waits for a read that begins after `since`. */
typedef struct {
  HrReadCallback callback;
  gpointer data;
  double since;
} HrReadWaiter;

/* The copy of the store that this node follows (replica.c). */
typedef struct {
  HrReplicaState state;
  guint generation;         /* counts listings: answers to earlier calls are void */
  guint64 applied_revision; /* all changes up to there are in the tables */
  guint64 listed_revision;  /* of the listing's first page */
  char *list_cursor;        /* the listing's last key so far; NULL: none */
  gboolean synced_once;     /* this process has read the whole store */
  gboolean watch_in_flight, read_in_flight;
  double next_watch_at;
  GArray *waiters;           /* HrReadWaiter, for the next read */
  GArray *waiters_in_flight; /* HrReadWaiter, for the read in flight */
  double read_sent_at;
  double confirmed_at;   /* when the last successful read was sent */
  double read_latency_s; /* of late; long ones count for longer */
  double served_since;   /* the store has answered this node without a gap since */
  double list_retry_at;
  gboolean is_unavailable; /* the store does not answer this node */
  guint failures;          /* in a row */
} HrReplica;

/* Writes that are carried out together, while the conditions hold (transactions.h). */
typedef struct {
  json_t *conditions, *writes; /* arrays, as they are sent */
} HrTransaction;

/* A transaction on its way to the store. */
typedef struct {
  HrTransaction *transaction; /* owned reference */
  double timeout_s;
  HrStoreCallback callback;
  gpointer data;
} HrPendingTransaction;

/* In the order in which they are served. */
typedef enum {
  HR_TRANSACTION_USER,
  HR_TRANSACTION_LAUNCH,
  HR_TRANSACTION_BOOKKEEPING,
  HR_TRANSACTION_KINDS
} HrTransactionKind;

/* Transactions by kind, within this node's share of the allowance for changes (transactions.c). */
typedef struct {
  GQueue queues[HR_TRANSACTION_KINDS]; /* HrPendingTransaction */
  HrTokenBucket allowance;             /* changes */
  guint in_flight;
  double paused_until, background_paused_until;
} HrTransactions;

typedef struct {
  guint32 job, page;
} HrDirtyPage;

/* Pages with something to record (record_writer.c). */
typedef struct {
  GArray *dirty_pages; /* HrDirtyPage */
} HrRecordWriter;

/* A page in the store that nobody reads any more. */
typedef struct {
  guint32 job, page;
  guint tasks_per_page; /* under h/u, of that size; 0: under h/t */
} HrObsoletePage;

/* Pages of final jobs and of layouts left behind (garbage_collection.c). */
typedef struct {
  GArray *pages; /* HrObsoletePage */
  gboolean deletion_in_flight;
  double next_deletion_at;
} HrGarbage;

/* Which format of records every member understands (record_format.c). */
typedef struct {
  guint supported; /* the newest that this node understands; 0: there were no formats yet */
  guint agreed;    /* that the store states every member understands */
  guint64 revision;
  gboolean write_in_flight;
  double next_write_at;
  gboolean planned_limits_in_force; /* the store refused what only the planned limits forbid */
} HrRecordFormat;

/* How long machine names are (record_layout.c). */
typedef struct {
  guint names_measured;
  gsize longest_name; /* bytes */
} HrRecordLayout;

/* Records that are too large (record_split.c). */
typedef struct {
  GArray *queue;      /* guint32: jobs, the most urgent first */
  guint in_flight;    /* splits */
  guint next_scanned; /* position in the list of open jobs */
  /* Jobs that cannot be cancelled until their record is split; told to peers. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MOST + 1];
  guint n_oversized;
} HrRecordSplitter;

/* What bookkeeping asks of the rest of the controller, and tells it. Bookkeeping calls nothing else
 * above it. core.c fills it in. */
typedef struct {
  /* Sends a request to the store. Takes path and body (NULL: none). */
  void (*call) (HrCore *core, HrMethod method, char *path, char *body, double timeout_s,
                HrStoreCallback callback, gpointer data);
  /* A tag that no other write of any process carries. To be freed. */
  char *(*new_tag) (HrCore *core);
  /* May this node write as the leader, by what it has read? */
  gboolean (*is_leader) (const HrCore *core);
  /* Is a new fencing token on its way, so that a write under this one would be refused? */
  gboolean (*token_raise_in_flight) (const HrCore *core);
  /* Revision of the leader record: what the leader's writes hold on. 0: not read yet. */
  guint64 (*leader_record_revision) (const HrCore *core);
  /* Has every other controller stated that it reads records of this format? */
  gboolean (*peers_support_format) (const HrCore *core, guint format);

  /* The whole store is about to be read anew: what was read of other keys than jobs' is void. */
  void (*listing_begins) (HrCore *core);
  /* A change was read of the leader record, of the leader's lock, of the machine types. value: NULL
   * where the key was deleted. */
  void (*leader_record_read) (HrCore *core, const json_t *value, guint64 revision);
  void (*leader_lock_read) (HrCore *core, const json_t *value, guint64 revision);
  void (*machine_types_read) (HrCore *core, const json_t *value, guint64 revision);
  /* All changes of an answer were applied. */
  void (*changes_applied) (HrCore *core);
  /* A read was answered, so many seconds after it was sent. */
  void (*read_answered) (HrCore *core, double latency_s);
  /* Changes since the last read are no longer to be had. */
  void (*history_lost) (HrCore *core);

  /* A record says that the job is cancelled; told before its state changes. */
  void (*cancellation_read) (HrCore *core, const HrJob *job, guint64 revision);
  /* An open job's record was read. awaited: ids of the jobs that it awaits, or NULL.
   * newly_cancelled: for a leader, which has its tasks to stop. */
  void (*job_read) (HrCore *core, HrJob *job, const char *const *awaited, gboolean newly_cancelled);
  /* The job's record is a tombstone. */
  void (*job_final) (HrCore *core, HrJob *job);
  /* The task's assignment is recorded; is given up before it was recorded. */
  void (*assignment_recorded) (HrCore *core, HrJob *job, guint32 task_index);
  void (*assignment_dropped) (HrCore *core, HrJob *job, guint32 task_index);
  /* What the plan rests on has changed. */
  void (*plan_changed) (HrCore *core);
  /* There is news for the other controllers. */
  void (*status_changed) (HrCore *core);
} HrStoreEvents;

struct HrStore {
  HrCore *core; /* for `events` */
  const HrStoreEvents *events;
  const HrSettings *settings;
  HrNames *names;
  GRand *random;
  double now;       /* steady time of the step under way, s */
  double wall_time; /* time of day, s */
  HrTables tables;
  HrReplica replica;
  HrTransactions transactions;
  HrRecordWriter writer;
  HrGarbage garbage;
  HrRecordFormat format;
  HrRecordLayout layout;
  HrRecordSplitter splitter;
  HrStateLimits limits; /* that this node plans for */
};

/* May this node write as the leader? */
static inline gboolean
hr_store_is_leader (const HrStore *store)
{
  return store->events->is_leader (store->core);
}

/* Makes the empty tables and queues of a zeroed store. The pointers to what it uses are the
 * caller's to set, before anything else is called. */
void hr_store_init (HrStore *store);
/* Frees what hr_store_init made; data of transactions without an answer is not freed. */
void hr_store_clear (HrStore *store);
