/* What this node knows of the state store and has under way there: its replica of the store, the
 * tables that it fills, and the transactions that write to it. Owned by the core; each part is
 * written by the module that the comment above it names. Times are in seconds of the steady clock
 * unless said otherwise; revisions are the store's. */
#pragma once
#include "bookkeeping/tables.h"
#include "bookkeeping/token_bucket.h"
#include "coordination/core.h"
#include "protocol/settings.h"
#include <jansson.h>

/* The answer to a call of ours. status: HTTP status; 0: no answer, so the call may have been
 * carried out, or may yet be. body: NULL where there is none. sent_at: when the call was made. */
typedef void (*HrResultCallback) (HrCore *core, int status, json_t *body, double sent_at,
                                  gpointer data);

/* A read of the store that began after it was asked for has ended. ok: FALSE when it failed, and
 * nothing may be concluded. */
typedef void (*HrReadCallback) (HrCore *core, gboolean ok, gpointer data);

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

/* A transaction on its way to the store. */
typedef struct {
  json_t *conditions, *writes;
  guint changes; /* that it takes of the allowance */
  double timeout_s;
  HrResultCallback callback;
  gpointer data;
} HrTransaction;

/* In the order in which they are served. */
typedef enum {
  HR_TRANSACTION_USER,
  HR_TRANSACTION_LAUNCH,
  HR_TRANSACTION_BOOKKEEPING,
  HR_TRANSACTION_KINDS
} HrTransactionKind;

/* Transactions by kind, within this node's share of the allowance for changes (transactions.c). */
typedef struct {
  GQueue queues[HR_TRANSACTION_KINDS]; /* HrTransaction */
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

typedef struct {
  HrTables tables;
  HrReplica replica;
  HrTransactions transactions;
  HrRecordWriter writer;
  HrGarbage garbage;
  HrRecordFormat format;
  HrRecordLayout layout;
  HrRecordSplitter splitter;
  HrStateLimits limits; /* that this node plans for */
} HrStore;
