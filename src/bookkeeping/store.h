/* The store: this node's replica of the replicated state store, and its requests to it.
 *
 * HrStore holds the replica of the state store, the tables that the replica fills, and the
 * transactions that write to the state store. The core owns it. Only the module that is named in
 * the comment above a part changes that part; other modules may read it. Bookkeeping does no I/O
 * and reads no clock: it sends requests through HrStoreEvents, and the core sets `now` before each
 * step.
 *
 * Times are monotonic, in seconds, unless stated otherwise. Revisions are those of the state store;
 * every change of the state store increases its revision. Responses arrive through callbacks, never
 * within the call that made the request; hr_replica_read() is the exception. */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "protocol/http_method.h"
#include "protocol/jobspec.h"
#include "protocol/settings.h"
#include <glib.h>
#include <jansson.h>

/* The controller that contains the store. Bookkeeping only passes the pointer to HrStoreEvents. */
typedef struct HrCore HrCore;
typedef struct HrStore HrStore;

/**
 * HrStoreCallback:
 * @store: the store
 * @status: HTTP status; 0: no response, so the request may have been executed, or may still be
 * @body: (nullable): the body of the response
 * @sent_at: monotonic time when the request was sent, in seconds
 * @data: as passed with the request
 *
 * Handles the response to a request.
 */
typedef void (*HrStoreCallback) (HrStore *store, int status, json_t *body, double sent_at,
                                 gpointer data);

/**
 * HrReadCallback:
 * @store: the store
 * @ok: FALSE if the read failed; the tables may then be out of date
 * @data: as passed with the request
 *
 * Handles the completion of a read of the state store that was sent after it was requested.
 */
typedef void (*HrReadCallback) (HrStore *store, gboolean ok, gpointer data);

typedef enum {
  HR_REPLICA_NOT_SYNCED, /* the replica is empty or out of date */
  HR_REPLICA_LISTING,    /* the whole state store is being read, page by page */
  HR_REPLICA_FOLLOWING   /* changes are applied as they occur */
} HrReplicaState;

/* A pending hr_replica_read(): waits for a read that is sent after `since`. */
typedef struct {
  HrReadCallback callback;
  gpointer data;
  double since;
} HrReadWaiter;

/* The replica of the state store (replica.c, replica_listing.c). */
typedef struct {
  HrReplicaState state;
  guint generation;         /* counts resets and listings; older responses are discarded */
  guint64 applied_revision; /* the tables hold all changes up to it */
  guint64 listed_revision;  /* revision of the first page of the listing */
  char *list_cursor;        /* last key listed so far; NULL: none */
  gboolean synced_once;     /* this process has read the whole state store */
  gboolean watch_in_flight, read_in_flight;
  double next_watch_at;
  GArray *waiters;           /* HrReadWaiter: wait for the next read */
  GArray *waiters_in_flight; /* HrReadWaiter: wait for the read in flight */
  double read_sent_at;
  double confirmed_at;   /* when the last successful read was sent */
  double read_latency_s; /* decaying maximum of the latencies of recent reads */
  double current_since;  /* hr_replica_is_current() has held since */
  double list_retry_at;
  gboolean is_unavailable; /* the state store does not answer this node */
  guint failures;          /* consecutive */
} HrReplica;

/* Writes that are applied atomically if all conditions hold (transactions.h). */
typedef struct {
  GArray *conditions; /* HrStoreCondition */
  GArray *writes;     /* HrStoreWrite */
} HrTransaction;

/* A transaction that is queued or in flight. */
typedef struct {
  HrTransaction *transaction; /* owned reference */
  double timeout_s;
  HrStoreCallback callback;
  gpointer data;
} HrPendingTransaction;

/* Kinds of transactions, in descending priority. */
typedef enum {
  HR_TRANSACTION_USER,        /* writes for which a user's request waits */
  HR_TRANSACTION_LAUNCH,      /* writes for which the launch of a task waits */
  HR_TRANSACTION_BOOKKEEPING, /* all other writes */
  HR_TRANSACTION_KINDS
} HrTransactionKind;

/* Queued transactions by kind, limited to this node's share of the write rate (transactions.c). */
typedef struct {
  GQueue queues[HR_TRANSACTION_KINDS]; /* HrPendingTransaction */
  HrTokenBucket allowance;             /* one token per write */
  guint in_flight;
  /* No transaction is sent before paused_until, and none but those of users before
   * background_paused_until. While the state store does not answer, paused_until is the time of the
   * latest retry (record_writer.c). */
  double paused_until, background_paused_until;
} HrTransactions;

typedef struct {
  guint32 job, page;
} HrDirtyPage;

/* Pages that have to be written (record_writer.c). */
typedef struct {
  GArray *dirty_pages; /* HrDirtyPage */
} HrRecordWriter;

/* A page in the state store that no main record refers to any more. */
typedef struct {
  guint32 job, page;
  guint tasks_per_page; /* page size in a key under h/u; 0: a key under h/t, without size */
} HrObsoletePage;

/* Pages to delete: those of final jobs and of earlier layouts (garbage_collection.c). */
typedef struct {
  GArray *pages; /* HrObsoletePage */
  gboolean deletion_in_flight;
  double next_deletion_at;
} HrGarbage;

/* The format of records, as agreed between the controllers (record_format.c). */
typedef struct {
  guint supported; /* newest format that this node supports; 0: it predates record formats */
  guint agreed;    /* format that every controller supports, as recorded in the state store */
  guint64 revision;
  gboolean write_in_flight;
  double next_write_at;
  gboolean planned_limits_in_force; /* the store refused a value larger than the planned limit */
} HrRecordFormat;

/* Lengths of machine names, for size estimates (record_layout.c). */
typedef struct {
  guint names_measured;
  gsize longest_name; /* bytes */
} HrRecordLayout;

/* Records that are too large. record_split.c and record_split_steps.c update it, except `oversized`
 * and `n_oversized`, which record_format.c updates. */
typedef struct {
  GArray *queue;      /* guint32: indices of jobs, the most urgent first */
  guint in_flight;    /* splits in flight */
  guint next_scanned; /* position of the scan in the list of open jobs */
  /* Jobs that cannot be cancelled until their record is split; sent to peers. */
  char oversized[HR_MAX_OVERSIZED][HR_JOB_ID_MAX_BYTES + 1];
  guint n_oversized;
} HrRecordSplitter;

/**
 * HrStoreEvents:
 * @call: sends a request to the state store. Takes ownership of path and body (NULL: no body). The
 *   callback is called once, with the response or after the timeout
 * @new_tag: returns a tag that is unique among the writes of all processes; (transfer full)
 * @is_leader: returns whether this node may write as the leader, according to its replica
 * @token_raise_in_flight: returns whether a new fencing token is being written, so that a write
 *   conditional on the current one would be refused
 * @leader_record_revision: returns the revision of the leader record, on which the leader's writes
 *   are conditional; 0: not read yet
 * @peers_support_format: returns whether every other controller has stated that it supports the
 *   format of records
 * @listing_begins: a listing of the whole state store begins, which reads every key again; the
 *   handler discards state that depends on earlier reads
 * @leader_record_read: a change of the leader record was read; value NULL: it was deleted
 * @leader_lock_read: a change of the leader lock was read; value NULL: it was deleted
 * @machine_types_read: a change of the machine types was read; value NULL: they were deleted
 * @changes_applied: all changes of a response were applied
 * @read_answered: a read succeeded; latency_s: time from the request to the response
 * @history_lost: the changes since the last read cannot be read, or not in one answer; the
 *   replica must be reset
 * @cancellation_read: a record with the state cancelled was read; called before the job's state
 *   changes
 * @job_read: the record of an open job was read. awaited: ids of the jobs that it awaits, or NULL.
 *   newly_cancelled: no earlier record showed the cancellation; a leader has to stop its tasks
 * @job_final: the job's record is a tombstone
 * @assignment_recorded: the task's assignment is in the state store; the task may be launched
 * @assignment_dropped: the task's assignment will not be recorded; the task must not be launched
 * @plan_changed: the scheduler's plan is out of date
 * @status_changed: this node's status has to be sent to the other controllers at once
 *
 * The requests and events of bookkeeping, which uses nothing else of the rest of the controller.
 * All members are set (coordination/store_events.c). They are called within a step, on its thread.
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
  double now;       /* monotonic time of the current step, s */
  double wall_time; /* real time of the current step, s */
  HrTables tables;
  HrReplica replica;
  HrTransactions transactions;
  HrRecordWriter writer;
  HrGarbage garbage;
  HrRecordFormat format;
  HrRecordLayout layout;
  HrRecordSplitter splitter;
  HrStateLimits limits; /* limits of the state store that this node plans for */
};

/**
 * hr_store_is_leader:
 * @store: the store
 *
 * Returns: whether this node may write as the leader, according to its replica
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
 * Creates empty tables and queues. The caller must set the members `core`, `events`, `settings`,
 * `names` and `random` before it calls any other function.
 */
void hr_store_init (HrStore *store);

/**
 * hr_store_clear:
 * @store: a store
 *
 * Frees what hr_store_init() created. The data of requests without a response is not freed.
 */
void hr_store_clear (HrStore *store);
