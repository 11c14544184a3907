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

HrHeartbeat *hr_heartbeat_parse (const char *data, gsize len, char **reason);
void hr_heartbeat_free (HrHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrHeartbeat, hr_heartbeat_free)
const char *hr_exit_name (HrExitCause cause);

/* What a worker is ordered to do with one attempt of a task. */
typedef enum {
  HR_ORDER_LAUNCH,
  HR_ORDER_STOP,
  HR_ORDER_CLEAR /* forget an attempt that has ended */
} HrOrderKind;

/* One order. */
typedef struct {
  HrOrderKind kind;
  const char *job; /* borrowed: it has to live until the orders are packed */
  guint32 task, attempt;
  double grace_s; /* of a stop: time for a checkpoint */
} HrOrder;

/* An empty list of HrOrder; g_array_unref() frees it. */
GArray *hr_order_list_new (void);
/* Each appends one order. job_id is borrowed, see HrOrder. */
void hr_order_launch (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt);
void hr_order_stop (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt,
                    double grace_s);
void hr_order_clear (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt);
/* The orders as the protocol has them, in their order: a new JSON array. */
json_t *hr_orders_pack (const GArray *orders);
/* The body of a direct call, to be freed: token and packed orders, and the incarnation that they
 * are for where it is > 0. */
char *hr_orders_text (guint64 token, guint64 incarnation, const GArray *orders);
