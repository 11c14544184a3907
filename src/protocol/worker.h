/* Reports of workers, and the orders sent to them. */
#pragma once
#include <jansson.h>
#include <glib.h>

typedef enum {
  HR_REPORTED_FETCHING,
  HR_REPORTED_GATHERING,
  HR_REPORTED_RUNNING,
  HR_REPORTED_SAVING,
  HR_REPORTED_EXITED
} HrReportedState;
typedef enum {
  HR_EXIT_NONE,
  HR_EXIT_DONE,
  HR_EXIT_HALTED,
  HR_EXIT_PEERS,
  HR_EXIT_INCOMPLETE,
  HR_EXIT_ERROR,
  HR_EXIT_FULL,
  HR_EXIT_IN_USE,
  HR_EXIT_UNKNOWN
} HrExitCause;

typedef struct {
  const char *job; /* points into the report's text: see HrHeartbeat.text */
  guint32 task;
  guint32 attempt;
  HrReportedState state;
  HrExitCause cause;
  gboolean kept;
} HrReportedTask;

typedef struct {
  json_t *root; /* keeps the texts alive */
  const char *machine, *address, *type, *zone;
  gboolean is_spot;
  guint64 incarnation, sequence, fencing_token;
  double preemption_notice_s; /* < 0: none */
  GArray *tasks;              /* HrReportedTask */
  GPtrArray *texts;
} HrHeartbeat;

HrHeartbeat *hr_heartbeat_parse (const char *data, gsize len, GError **error);
void hr_heartbeat_free (HrHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrHeartbeat, hr_heartbeat_free)
const char *hr_exit_name (HrExitCause cause);

/* One order, appended to a list of orders. */
void hr_order_launch (json_t *orders, const char *job_id, guint32 task_index, guint32 attempt);
void hr_order_stop (json_t *orders, const char *job_id, guint32 task_index, guint32 attempt,
                    double grace);
void hr_order_clear (json_t *orders, const char *job_id, guint32 task_index, guint32 attempt);
/* Where a worker takes orders between its heartbeats. */
#define HR_WORKER_ORDERS_PATH "/do"

/**
 * hr_orders_text:
 * @fencing_token: of the leader
 * @incarnation: of the worker's agent, which orders to another one are not for; 0: not named
 * @orders: (transfer full): a list of orders
 *
 * Returns: (transfer full): the body of a call with orders to a worker
 */
char *hr_orders_text (guint64 fencing_token, guint64 incarnation, json_t *orders);

/**
 * hr_heartbeat_answer:
 * @fencing_token: of the leader
 * @orders: (transfer full): a list of orders
 *
 * Returns: (transfer full): the answer to a heartbeat, which renews the worker's lease
 */
json_t *hr_heartbeat_answer (guint64 fencing_token, json_t *orders);

/**
 * hr_redirect_answer:
 * @leader: the label of the leading controller
 *
 * Returns: (transfer full): the answer to a heartbeat that another controller has to answer
 */
json_t *hr_redirect_answer (const char *leader);
