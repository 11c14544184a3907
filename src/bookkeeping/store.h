/* The store: what this node knows of the replicated state store, and has in flight there.
 *
 * HrStore holds the replica of the state store, the tables that it fills, and the transactions that
 * write to it. It is owned by the core. Each of its parts is changed by the module that the comment
 * above it names alone; others may read it. Bookkeeping does no I/O and reads no clock: requests go
 * out through HrStoreEvents, and `now` is set before each step.
 *
 * Times are in seconds of the steady clock unless said otherwise; revisions are the store's, which
 * grow with every change of it. Answers to requests come as callbacks, never within the call that
 * made the request, but for hr_replica_read(). */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "protocol/http_method.h"
#include "protocol/jobspec.h"
#include "protocol/settings.h"
#include <glib.h>
#include <jansson.h>

/* Whoever composes the store with the rest of a controller; bookkeeping only hands it on. */
typedef struct HrCore HrCore;
typedef struct HrStore HrStore;

/**
 * HrStoreCallback:
 * @store: the store
 * @status: HTTP status; 0: no answer, so the request may have been carried out, or may yet be
 * @body: (nullable): the answer's body
 * @sent_at: steady time, s, when the request was made
 * @data: as passed with the request
 *
 * The answer to a request.
 */
typedef void (*HrStoreCallback) (HrStore *store, int status, json_t *body, double sent_at,
                                 gpointer data);

/**
 * HrReadCallback:
 * @store: the store
 * @ok: FALSE: the read failed, and nothing may be concluded
 * @data: as passed with the request
 *
 * A read of the store that began after it was requested has ended.
 */
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

/* The replica of the state store (replica.c, replica_listing.c). */
typedef struct {
  HrReplicaState state;
  guint generation;         /* counts resets and listings: answers to earlier requests are void */
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
  double read_latency_s; /* recent; a long one counts for several reads */
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

/* Pages that are due to be written (record_writer.c). */
typedef struct {
  GArray *dirty_pages; /* HrDirtyPage */
} HrRecordWriter;

/* A page in the store that no main record names any more. */
typedef struct {
  guint32 job, page;
  guint tasks_per_page; /* the size in its key, under h/u; 0: none, under h/t */
} HrObsoletePage;

/* Pages to be deleted: of final jobs, and of earlier layouts (garbage_collection.c). */
typedef struct {
  GArray *pages; /* HrObsoletePage */
  gboolean deletion_in_flight;
  double next_deletion_at;
} HrGarbage;

/* Which format of records every controller understands (record_format.c). */
typedef struct {
  guint supported; /* the newest that this node understands; 0: there were no formats yet */
  guint agreed;    /* that every controller understands, as the store states */
  guint64 revision;
  gboolean write_in_flight;
  double next_write_at;
  gboolean planned_limits_in_force; /* the store refused what only the planned limits forbid */
} HrRecordFormat;

/* Lengths of machine names (record_layout.c). */
typedef struct {
  guint names_measured;
  gsize longest_name; /* bytes */
} HrRecordLayout;

/* Records that are too large (record_split.c, record_split_steps.c; the list: record_format.c). */
typedef struct {
  GArray *queue;      /* guint32: jobs, the most urgent first */
  guint in_flight;    /* splits */
  guint next_scanned; /* position in the list of open jobs */
  /* Jobs that cannot be cancelled until their record is split; stated to peers. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MAX_BYTES + 1];
  guint n_oversized;
} HrRecordSplitter;

/**
 * HrStoreEvents:
 * @call: sends a request to the store. Takes over path and body (NULL: none); the callback is
 * called once, with the answer or the timeout
 * @new_tag: returns a tag that no other write of any process carries; (transfer full)
 * @is_leader: may this node write as the leader, by what it has read?
 * @token_raise_in_flight: is a new fencing token being written, so that a write under the present
 * one would be refused?
 * @leader_record_revision: returns the revision of the leader record, on which the leader's writes
 *   hold; 0: not read yet
 * @peers_support_format: has every other controller stated that it understands the format of
 * records?
 * @listing_begins: the whole store is about to be read anew; what was read of keys other than jobs'
 *   is void
 * @leader_record_read: a change of the leader record was read; value NULL: it was deleted
 * @leader_lock_read: a change of the leader lock was read; value NULL: it was deleted
 * @machine_types_read: a change of the machine types was read; value NULL: they were deleted
 * @changes_applied: all changes of an answer were applied
 * @read_answered: a read was answered, so many seconds after it was sent
 * @history_lost: the changes since the last read are no longer in the store's log; the replica must
 *   be reset
 * @cancellation_read: a record says that the job is cancelled; called before the job's state
 * changes
 * @job_read: an open job's record was read. awaited: ids of the jobs that it awaits, or NULL.
 *   newly_cancelled: no record said so before; a leader has its tasks to stop
 * @job_final: the job's record is a tombstone
 * @assignment_recorded: the task's assignment is in the store: the task may be launched
 * @assignment_dropped: the task's assignment will not be recorded: it must not be launched
 * @plan_changed: the scheduler's plan is out of date
 * @status_changed: there is something to state to the other controllers at once
 *
 * The requests and events of bookkeeping. It calls nothing else of the rest of the controller. All
 * members are set (coordination/store_events.c), and are called from within a step, on its thread.
 */
typedef struct {
  /* Requests. */
  void (*call) (HrCore *core, HrMethod method, char *path, char *body, double timeout_s,
                HrStoreCallback callback, gpointer data);
  char *(*new_tag) (HrCore *core);
  gboolean (*is_leader) (const HrCore *core);
  gboolean (*token_raise_in_flight) (const HrCore *core);
  guint64 (*leader_record_revision) (const HrCore *core);
  gboolean (*peers_support_format) (const HrCore *core, guint format);

  /* Events of the replica. */
  void (*listing_begins) (HrCore *core);
  void (*leader_record_read) (HrCore *core, const json_t *value, guint64 revision);
  void (*leader_lock_read) (HrCore *core, const json_t *value, guint64 revision);
  void (*machine_types_read) (HrCore *core, const json_t *value, guint64 revision);
  void (*changes_applied) (HrCore *core);
  void (*read_answered) (HrCore *core, double latency_s);
  void (*history_lost) (HrCore *core);

  /* Events of jobs. */
  void (*cancellation_read) (HrCore *core, const HrJob *job, guint64 revision);
  void (*job_read) (HrCore *core, HrJob *job, const char *const *awaited, gboolean newly_cancelled);
  void (*job_final) (HrCore *core, HrJob *job);
  void (*assignment_recorded) (HrCore *core, HrJob *job, guint32 task_index);
  void (*assignment_dropped) (HrCore *core, HrJob *job, guint32 task_index);
  void (*plan_changed) (HrCore *core);
  void (*status_changed) (HrCore *core);
} HrStoreEvents;

struct HrStore {
  HrCore *core; /* passed to `events` */
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

/**
 * hr_store_is_leader:
 * @store: the store
 *
 * Returns: may this node write as the leader, by what it has read?
 */
static inline gboolean
hr_store_is_leader (const HrStore *store)
{
  return store->events->is_leader (store->core);
}

/**
 * hr_store_init:
 * @store: a zeroed store
 *
 * Makes the empty tables and queues. The pointers to what the store uses are the caller's to set,
 * before anything else is called.
 */
void hr_store_init (HrStore *store);

/**
 * hr_store_clear:
 * @store: a store
 *
 * Frees what hr_store_init() made. Data of requests without an answer is not freed.
 */
void hr_store_clear (HrStore *store);
