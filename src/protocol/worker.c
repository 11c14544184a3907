#include "protocol/worker.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

static const char *const states[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const causes[] = {"",      "done", "halted", "peers",  "incomplete",
                                     "error", "full", "in_use", "unknown"};

const char *
hr_exit_name (HrExitCause cause)
{
  return causes[cause];
}

static gboolean
item_parse (const json_t *object, HrHeartbeat *heartbeat, HrReportedTask *reported)
{
  const char *piece = hr_json_str (object, "piece"), *state_name = hr_json_str (object, "stance"),
             *cause = hr_json_str (object, "cause");
  const char *slash = piece ? strrchr (piece, '/') : NULL;
  guint64 task, attempt;
  if (!slash || !state_name ||
      !g_ascii_string_to_unsigned (slash + 1, 10, 0, HR_MAX_TASKS - 1, &task, NULL) ||
      !hr_json_count (object, "try", G_MAXUINT32, &attempt))
    return FALSE;
  char *job_id = g_strndup (piece, slash - piece);
  g_ptr_array_add (heartbeat->texts, job_id);
  *reported = (HrReportedTask){.job = job_id, .task = task, .attempt = attempt};
  for (reported->state = 0; reported->state < G_N_ELEMENTS (states); reported->state++)
    if (g_str_equal (states[reported->state], state_name))
      break;
  if (reported->state == G_N_ELEMENTS (states))
    return FALSE;
  if (reported->state == HR_REPORTED_EXITED) {
    for (reported->cause = 1; reported->cause < G_N_ELEMENTS (causes); reported->cause++)
      if (g_strcmp0 (causes[reported->cause], cause) == 0)
        break;
    if (reported->cause == G_N_ELEMENTS (causes))
      reported->cause = HR_EXIT_ERROR; /* a cause from the future: treat as a failure */
  }
  hr_json_bool (object, "kept", &reported->kept);
  return TRUE;
}

HrHeartbeat *
hr_heartbeat_parse (const char *data, gsize len, char **reason)
{
  json_t *root = hr_json_parse (data, len, reason);
  if (!root)
    return NULL;
  g_autoptr (HrHeartbeat) heartbeat = g_new0 (HrHeartbeat, 1);
  heartbeat->root = root;
  heartbeat->tasks = g_array_new (FALSE, TRUE, sizeof (HrReportedTask));
  heartbeat->texts = g_ptr_array_new_with_free_func (g_free);
  heartbeat->machine = hr_json_str (root, "rockhand");
  heartbeat->address = hr_json_str (root, "addr");
  heartbeat->type = hr_json_str (root, "hull");
  heartbeat->zone = hr_json_str (root, "quarry");
  if (!heartbeat->machine || !*heartbeat->machine || strlen (heartbeat->machine) > 64 ||
      !heartbeat->address || !heartbeat->type || !heartbeat->zone ||
      !hr_json_bool (root, "loaners", &heartbeat->is_spot) ||
      !hr_json_count (root, "tenure", G_MAXUINT32, &heartbeat->incarnation) ||
      !hr_json_count (root, "tally", G_MAXINT64, &heartbeat->sequence) ||
      !hr_json_count (root, "baton", G_MAXINT64, &heartbeat->fencing_token)) {
    *reason = g_strdup ("not a worker's report: a field is missing or of the wrong type");
    return NULL;
  }
  if (!hr_json_num (root, "warning_s", &heartbeat->preemption_notice_s))
    heartbeat->preemption_notice_s = -1;
  json_t *list = json_object_get (root, "pieces"), *object;
  size_t i;
  json_array_foreach (list, i, object)
  {
    HrReportedTask reported;
    if (!item_parse (object, heartbeat, &reported)) {
      *reason = g_strdup_printf ("pieces[%zu] is not a task's state", i);
      return NULL;
    }
    g_array_append_val (heartbeat->tasks, reported);
  }
  return g_steal_pointer (&heartbeat);
}

void
hr_heartbeat_free (HrHeartbeat *heartbeat)
{
  if (!heartbeat)
    return;
  json_decref (heartbeat->root);
  g_array_unref (heartbeat->tasks);
  g_ptr_array_unref (heartbeat->texts);
  g_free (heartbeat);
}

/* The verbs of the protocol, by HrOrderKind. */
static const char *const order_verbs[] = {"launch", "kill", "clear"};

GArray *
hr_order_list_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (HrOrder));
}

void
hr_order_launch (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt)
{
  HrOrder order = {HR_ORDER_LAUNCH, job_id, task_index, attempt, 0};
  g_array_append_val (orders, order);
}

void
hr_order_stop (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt,
               double grace_s)
{
  HrOrder order = {HR_ORDER_STOP, job_id, task_index, attempt, grace_s};
  g_array_append_val (orders, order);
}

void
hr_order_clear (GArray *orders, const char *job_id, guint32 task_index, guint32 attempt)
{
  HrOrder order = {HR_ORDER_CLEAR, job_id, task_index, attempt, 0};
  g_array_append_val (orders, order);
}

static json_t *
order_pack (const HrOrder *order)
{
  g_autofree char *piece = g_strdup_printf ("%s/%u", order->job, order->task);
  json_t *object = json_pack ("{sssssi}", "verb", order_verbs[order->kind], "piece", piece, "try",
                              (int)order->attempt);
  if (order->kind == HR_ORDER_STOP)
    json_object_set_new (object, "leeway_s", json_real (order->grace_s));
  return object;
}

json_t *
hr_orders_pack (const GArray *orders)
{
  json_t *list = json_array ();
  for (guint i = 0; i < orders->len; i++)
    json_array_append_new (list, order_pack (&g_array_index (orders, HrOrder, i)));
  return list;
}

char *
hr_orders_text (guint64 token, guint64 incarnation, const GArray *orders)
{
  json_t *object =
      json_pack ("{sIso}", "baton", (json_int_t)token, "orders", hr_orders_pack (orders));
  if (incarnation)
    json_object_set_new (object, "tenure", json_integer (incarnation));
  return hr_json_take_text (object);
}
