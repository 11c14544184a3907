/* Messages between workers and controllers: heartbeats, their answers, and orders. A worker sends a
 * heartbeat every few seconds, which lists all its tasks; the answer renews the worker's lease and
 * contains orders. Orders are also sent to the worker directly, which answers
 * with a heartbeat. */
#pragma once
#include "protocol/json_reader.h"
#include <jansson.h>
#include <glib.h>

/* Path to which workers send heartbeats. */
#define HR_HEARTBEAT_PATH "/hello"
/* Path on the worker to which orders are sent between its heartbeats. */
#define HR_WORKER_ORDERS_PATH "/do"

typedef enum {
  HR_REPORTED_FETCHING,  /* fetches its image */
  HR_REPORTED_GATHERING, /* waits for the other tasks of its gang */
  HR_REPORTED_RUNNING,
  HR_REPORTED_SAVING, /* was stopped and saves its progress */
  HR_REPORTED_EXITED
} HrReportedState;

typedef enum {
  HR_EXIT_NONE, /* has not exited */
  HR_EXIT_DONE,
  HR_EXIT_HALTED,     /* stopped by an order */
  HR_EXIT_PEERS,      /* another task of its gang has ended */
  HR_EXIT_INCOMPLETE, /* the other tasks of its gang were not ready in time */
  HR_EXIT_ERROR,
  HR_EXIT_FULL,   /* the machine lacks the capacity for it */
  HR_EXIT_IN_USE, /* another attempt of the task is on the machine */
  HR_EXIT_UNKNOWN
} HrExitCause;

/* The state of a task in its worker's heartbeat. */
typedef struct {
  const char *job; /* job id; belongs to the heartbeat (HrHeartbeat.job_ids) */
  guint32 task;    /* index in the job */
  guint64 attempt;
  HrReportedState state;
  HrExitCause cause;
  gboolean progress_saved; /* was stopped and has saved its progress */
} HrReportedTask;

/* A parsed heartbeat. The strings belong to `root` or `job_ids`. */
typedef struct {
  json_t *root;
  const char *machine, *address, *type, *zone;
  gboolean is_spot;
  guint64 incarnation;        /* of the worker; increases whenever its lease expires */
  guint64 sequence;           /* sequence number of this heartbeat within the incarnation */
  guint64 fencing_token;      /* the newest token that the worker has received */
  double preemption_notice_s; /* time until the cloud preempts the spot instance; < 0: no notice */
  GArray *tasks;              /* HrReportedTask */
  GPtrArray *job_ids;         /* strings that HrReportedTask.job points to */
} HrHeartbeat;

/* The members of a heartbeat. */
extern const HrJsonMember hr_heartbeat_members[];

/**
 * hr_heartbeat_parse:
 * @data: (nullable): the body of a heartbeat
 * @len: length of @data in bytes
 * @error: an #HrProtocolError
 *
 * Parses a heartbeat.
 *
 * Returns: (transfer full) (nullable): the heartbeat; %NULL with @error set when @data is malformed
 */
HrHeartbeat *hr_heartbeat_parse (const char *data, gsize len, GError **error);

/**
 * hr_heartbeat_read:
 * @root: (transfer none) (nullable): a body that was read with %hr_heartbeat_members; a reference
 * is kept
 * @error: an #HrProtocolError
 *
 * Reads a heartbeat, such as the answer to orders.
 *
 * Returns: (transfer full) (nullable): the heartbeat; %NULL with @error set when @root is malformed
 */
HrHeartbeat *hr_heartbeat_read (json_t *root, GError **error);

/**
 * hr_heartbeat_free:
 * @heartbeat: (nullable): a heartbeat
 */
void hr_heartbeat_free (HrHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrHeartbeat, hr_heartbeat_free)

/**
 * hr_exit_name:
 *
 * Returns: (transfer none): the name of the cause, as workers send it and users see it
 */
const char *hr_exit_name (HrExitCause cause);

/* The action that an order requests for one attempt of a task. */
typedef enum {
  HR_ORDER_LAUNCH,
  HR_ORDER_STOP,
  HR_ORDER_CLEAR /* forget an attempt that has exited */
} HrOrderKind;

/* One order. */
typedef struct {
  HrOrderKind kind;
  const char *job; /* borrowed: must stay valid until the orders are serialised */
  guint32 task;
  guint64 attempt;
  double grace_s; /* for HR_ORDER_STOP: time for a checkpoint */
} HrOrder;

/**
 * hr_order_list_new:
 *
 * Returns: (transfer full): an empty list of #HrOrder
 */
GArray *hr_order_list_new (void);

/**
 * hr_order_launch:
 * @orders: a list of orders
 * @job_id: borrowed, see #HrOrder
 *
 * Appends an order to launch an attempt of a task.
 */
void hr_order_launch (GArray *orders, const char *job_id, guint32 task_index, guint64 attempt);

/**
 * hr_order_stop:
 * @orders: a list of orders
 * @job_id: borrowed, see #HrOrder
 * @grace_s: grace period in which the task can save its progress, in seconds; 0: the task is
 *   stopped at once
 *
 * Appends an order to stop an attempt of a task.
 */
void hr_order_stop (GArray *orders, const char *job_id, guint32 task_index, guint64 attempt,
                    double grace_s);

/**
 * hr_order_clear:
 * @orders: a list of orders
 * @job_id: borrowed, see #HrOrder
 *
 * Appends an order to forget an attempt that has exited.
 */
void hr_order_clear (GArray *orders, const char *job_id, guint32 task_index, guint64 attempt);

/**
 * hr_orders_text:
 * @fencing_token: the leader's fencing token
 * @incarnation: incarnation of the worker; another incarnation ignores the orders. 0: the
 *   message names no incarnation
 * @orders: a list of orders
 *
 * Returns: (transfer full): the body of a request that sends orders to a worker, or of the answer
 * to a heartbeat, which renews the worker's lease
 */
char *hr_orders_text (guint64 fencing_token, guint64 incarnation, const GArray *orders);

/**
 * hr_redirect_answer:
 * @leader: the label of the leading controller
 *
 * Returns: (transfer full): the answer to a heartbeat that only the leading controller may answer
 */
json_t *hr_redirect_answer (const char *leader);
