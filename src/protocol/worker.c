#include "protocol/worker.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include <string.h>

static const char *const states[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const causes[] = {"",      "done", "halted", "peers",  "incomplete",
                                     "error", "full", "in_use", "unknown"};

const char *
hr_exit_name (HrExitCause x)
{
  return causes[x];
}

static gboolean
item_parse (const json_t *o, HrHeartbeat *r, HrReportedTask *it)
{
  const char *piece = hr_json_str (o, "piece"), *st = hr_json_str (o, "stance"),
             *cause = hr_json_str (o, "cause");
  const char *slash = piece ? strrchr (piece, '/') : NULL;
  guint64 task, attempt;
  if (!slash || !st ||
      !g_ascii_string_to_unsigned (slash + 1, 10, 0, HR_MAX_TASKS - 1, &task, NULL) ||
      !hr_json_count (o, "try", G_MAXUINT32, &attempt))
    return FALSE;
  char *job = g_strndup (piece, slash - piece);
  g_ptr_array_add (r->texts, job);
  *it = (HrReportedTask){.job = job, .task = task, .attempt = attempt};
  for (it->state = 0; it->state < G_N_ELEMENTS (states); it->state++)
    if (g_str_equal (states[it->state], st))
      break;
  if (it->state == G_N_ELEMENTS (states))
    return FALSE;
  if (it->state == HR_REPORTED_EXITED) {
    for (it->cause = 1; it->cause < G_N_ELEMENTS (causes); it->cause++)
      if (g_strcmp0 (causes[it->cause], cause) == 0)
        break;
    if (it->cause == G_N_ELEMENTS (causes))
      it->cause = HR_EXIT_ERROR; /* a cause from the future: treat as a failure */
  }
  hr_json_bool (o, "kept", &it->kept);
  return TRUE;
}

HrHeartbeat *
hr_heartbeat_parse (const char *data, gsize len, char **reason)
{
  json_t *root = hr_json_parse (data, len, reason);
  if (!root)
    return NULL;
  g_autoptr (HrHeartbeat) r = g_new0 (HrHeartbeat, 1);
  r->root = root;
  r->tasks = g_array_new (FALSE, TRUE, sizeof (HrReportedTask));
  r->texts = g_ptr_array_new_with_free_func (g_free);
  r->machine = hr_json_str (root, "rockhand");
  r->address = hr_json_str (root, "addr");
  r->type = hr_json_str (root, "hull");
  r->zone = hr_json_str (root, "quarry");
  if (!r->machine || !*r->machine || strlen (r->machine) > 64 || !r->address || !r->type ||
      !r->zone || !hr_json_bool (root, "loaners", &r->is_spot) ||
      !hr_json_count (root, "tenure", G_MAXUINT32, &r->incarnation) ||
      !hr_json_count (root, "tally", G_MAXINT64, &r->sequence) ||
      !hr_json_count (root, "baton", G_MAXINT64, &r->fencing_token)) {
    *reason = g_strdup ("not a worker's report: a field is missing or of the wrong type");
    return NULL;
  }
  if (!hr_json_num (root, "warning_s", &r->preemption_notice_s))
    r->preemption_notice_s = -1;
  json_t *list = json_object_get (root, "pieces"), *o;
  size_t i;
  json_array_foreach (list, i, o)
  {
    HrReportedTask it;
    if (!item_parse (o, r, &it)) {
      *reason = g_strdup_printf ("pieces[%zu] is not a task's state", i);
      return NULL;
    }
    g_array_append_val (r->tasks, it);
  }
  return g_steal_pointer (&r);
}

void
hr_heartbeat_free (HrHeartbeat *r)
{
  if (!r)
    return;
  json_decref (r->root);
  g_array_unref (r->tasks);
  g_ptr_array_unref (r->texts);
  g_free (r);
}

static json_t *
order (const char *verb, const char *job, guint32 task, guint32 attempt)
{
  g_autofree char *piece = g_strdup_printf ("%s/%u", job, task);
  return json_pack ("{sssssi}", "verb", verb, "piece", piece, "try", (int)attempt);
}

void
hr_order_launch (json_t *orders, const char *job, guint32 task, guint32 attempt)
{
  json_array_append_new (orders, order ("launch", job, task, attempt));
}

void
hr_order_stop (json_t *orders, const char *job, guint32 task, guint32 attempt, double grace)
{
  json_t *o = order ("kill", job, task, attempt);
  json_object_set_new (o, "leeway_s", json_real (grace));
  json_array_append_new (orders, o);
}

void
hr_order_clear (json_t *orders, const char *job, guint32 task, guint32 attempt)
{
  json_array_append_new (orders, order ("clear", job, task, attempt));
}

char *
hr_orders_text (guint64 token, guint64 session, json_t *orders)
{
  json_t *o = json_pack ("{sIso}", "baton", (json_int_t)token, "orders", orders);
  if (session)
    json_object_set_new (o, "tenure", json_integer (session));
  return hr_json_take_text (o);
}
