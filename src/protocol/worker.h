/* Reports of workers, and the orders sent to them. */
#pragma once
#include <jansson.h>
#include <glib.h>

typedef enum {
  HR_W_FETCHING,
  HR_W_GATHERING,
  HR_W_RUNNING,
  HR_W_FLUSHING,
  HR_W_EXITED
} HrWorkState;
typedef enum {
  HR_X_NONE,
  HR_X_DONE,
  HR_X_HALTED,
  HR_X_PEERS,
  HR_X_INCOMPLETE,
  HR_X_ERROR,
  HR_X_FULL,
  HR_X_IN_USE,
  HR_X_UNKNOWN
} HrExit;

typedef struct {
  const char *job; /* points into the report's text: see HrReport.text */
  guint32 task;
  guint32 attempt;
  HrWorkState state;
  HrExit cause;
  gboolean kept;
} HrWorkItem;

typedef struct {
  json_t *root; /* keeps the texts alive */
  const char *machine, *addr, *type, *zone;
  gboolean spot;
  guint64 session, seq, token;
  double notice; /* < 0: none */
  GArray *items; /* HrWorkItem */
  GPtrArray *texts;
} HrReport;

HrReport *hr_report_parse (const char *data, gsize len, char **reason);
void hr_report_free (HrReport *r);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrReport, hr_report_free)
const char *hr_exit_name (HrExit x);

/* One order, appended to a list of orders. */
void hr_order_launch (json_t *orders, const char *job, guint32 task, guint32 attempt);
void hr_order_kill (json_t *orders, const char *job, guint32 task, guint32 attempt, double grace);
void hr_order_clear (json_t *orders, const char *job, guint32 task, guint32 attempt);
/* {"baton":..,"orders":[..]}, with "tenure" when session > 0. Steals orders. */
char *hr_orders_text (guint64 token, guint64 session, json_t *orders);
