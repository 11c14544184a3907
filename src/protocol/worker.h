/* Messages between workers and controllers: heartbeats, their answers, and orders. A worker's agent
 * sends a heartbeat every few seconds, which states all of its tasks; the answer renews the
 * worker's lease and carries orders. Orders are also sent to the worker directly, which answers
 * with a heartbeat. */
#pragma once
#include "protocol/protocol_error.h"
#include <jansson.h>
#include <glib.h>

/* Where workers send heartbeats. */
#define HR_HEARTBEAT_PATH "/hello"
/* Where a worker takes orders between its heartbeats. */
#define HR_WORKER_ORDERS_PATH "/do"

typedef enum {
  HR_REPORTED_FETCHING,  /* its image is being fetched */
  HR_REPORTED_GATHERING, /* waits for the other tasks of its gang */
  HR_REPORTED_RUNNING,
  HR_REPORTED_SAVING, /* saves its progress, since it was stopped */
  HR_REPORTED_EXITED
} HrReportedState;

typedef enum {
  HR_EXIT_NONE, /* has not exited */
  HR_EXIT_DONE,
  HR_EXIT_HALTED,     /* by an order */
  HR_EXIT_PEERS,      /* another task of its gang has ended */
  HR_EXIT_INCOMPLETE, /* the other tasks of its gang did not come in time */
  HR_EXIT_ERROR,
  HR_EXIT_FULL,   /* the machine lacks the capacity for it */
  HR_EXIT_IN_USE, /* another attempt of the task is on the machine */
  HR_EXIT_UNKNOWN
} HrExitCause;

/* A task, as its worker states it. */
typedef struct {
  const char *job; /* id; belongs to the heartbeat (HrHeartbeat.texts) */
  guint32 task;    /* index in the job */
  guint32 attempt;
  HrReportedState state;
  HrExitCause cause;
  gboolean progress_saved; /* it was stopped and has saved its progress */
} HrReportedTask;

/* Texts belong to `root` or `texts`. */
typedef struct {
  json_t *root;
  const char *machine, *address, *type, *zone;
  gboolean is_spot;
  guint64 incarnation;        /* of the agent; grows whenever its lease runs out */
  guint64 sequence;           /* of this heartbeat within the incarnation */
  guint64 fencing_token;      /* the newest that the worker has seen */
  double preemption_notice_s; /* until the cloud takes the spot instance back; < 0: none */
  GArray *tasks;              /* HrReportedTask */
  GPtrArray *texts;
} HrHeartbeat;

/**
 * hr_heartbeat_parse:
 * @data: (nullable): the body of a heartbeat
 * @len: its bytes
 * @error: an #HrProtocolError
 *
 * Returns: (transfer full) (nullable): %NULL with @error set when the body makes no sense
 */
HrHeartbeat *hr_heartbeat_parse (const char *data, gsize len, GError **error);

/**
 * hr_heartbeat_free:
 * @heartbeat: (nullable): a heartbeat
 */
void hr_heartbeat_free (HrHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrHeartbeat, hr_heartbeat_free)

/**
 * hr_exit_name:
 *
 * Returns: (transfer none): the cause as workers and users see it
 */
const char *hr_exit_name (HrExitCause cause);

/* What a worker is ordered to do with one attempt of a task. */
typedef enum {
  HR_ORDER_LAUNCH,
  HR_ORDER_STOP,
  HR_ORDER_CLEAR /* forget an attempt that has exited */
} HrOrderKind;

/* One order. */
typedef struct {
  HrOrderKind kind;
  const char *job; /* borrowed: it has to live until the orders are packed */
  guint32 task, attempt;
  double grace_s; /* of a stop: time for a checkpoint */
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
 * Appends the order to launch an attempt of a task.
 */
void hr_order_launch (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt);

/**
 * hr_order_stop:
 * @orders: a list of orders
 * @job_id: borrowed, see #HrOrder
 * @grace_s: seconds that the task has to save its progress; 0: it ends at once
 *
 * Appends the order to stop an attempt of a task.
 */
void hr_order_stop (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt,
                    double grace_s);

/**
 * hr_order_clear:
 * @orders: a list of orders
 * @job_id: borrowed, see #HrOrder
 *
 * Appends the order to forget an attempt that has exited.
 */
void hr_order_clear (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt);

/**
 * hr_orders_text:
 * @fencing_token: of the leader
 * @incarnation: of the worker's agent; another incarnation ignores the orders. 0: not named
 * @orders: a list of orders
 *
 * Returns: (transfer full): the body of a call with orders to a worker
 */
char *hr_orders_text (guint64 fencing_token, guint64 incarnation, const GArray *orders);

/**
 * hr_heartbeat_answer:
 * @fencing_token: of the leader
 * @orders: a list of orders
 *
 * Returns: (transfer full): the answer to a heartbeat, which renews the worker's lease
 */
json_t *hr_heartbeat_answer (guint64 fencing_token, const GArray *orders);

/**
 * hr_redirect_answer:
 * @leader: the label of the leading controller
 *
 * Returns: (transfer full): the answer to a heartbeat that another controller has to answer
 */
json_t *hr_redirect_answer (const char *leader);
