#include "protocol/worker.h"
#include "protocol/jobspec.h"
#include "protocol/json_util.h"
#include "protocol/json_writer.h"
#include "protocol/wire_names.h"
#include <string.h>

/* Maximum length of a machine's name in bytes. */
#define MAX_MACHINE_NAME_BYTES 64

/* Indexed by HrReportedState and by HrExitCause. */
static const char *const states[] = {"fetching", "gathering", "running", "flushing", "exited"};
static const char *const causes[] = {"",      "done", "halted", "peers",  "incomplete",
                                     "error", "full", "in_use", "unknown"};

static const HrJsonMember task_members[] = {
    {.name = HR_WIRE_TASK},           {.name = HR_WIRE_ATTEMPT, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_STATE},          {.name = HR_WIRE_EXIT_CAUSE},
    {.name = HR_WIRE_PROGRESS_SAVED}, {.name = NULL}};

const HrJsonMember hr_heartbeat_members[] = {
    {.name = HR_WIRE_MACHINE},
    {.name = HR_WIRE_ADDRESS},
    {.name = HR_WIRE_MACHINE_TYPE},
    {.name = HR_WIRE_ZONE},
    {.name = HR_WIRE_SPOT},
    {.name = HR_WIRE_INCARNATION, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_SEQUENCE, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_FENCING_TOKEN, .kind = HR_JSON_COUNT},
    {.name = HR_WIRE_PREEMPTION_NOTICE_S},
    {.name = HR_WIRE_TASKS, .kind = HR_JSON_LIST, .members = task_members},
    {.name = NULL}};

const char *
hr_exit_name (HrExitCause cause)
{
  return causes[cause];
}

static gboolean
parse_state (const char *name, HrReportedState *out)
{
  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    if (g_str_equal (states[i], name)) {
      *out = i;
      return TRUE;
    }
  return FALSE;
}

/* Returns the cause with this name. An unknown one, perhaps of a later version of the worker,
 * counts as HR_EXIT_ERROR. */
static HrExitCause
parse_exit_cause (const char *name)
{
  for (guint i = HR_EXIT_DONE; i < G_N_ELEMENTS (causes); i++)
    if (g_strcmp0 (causes[i], name) == 0)
      return i;
  return HR_EXIT_ERROR;
}

static gboolean
parse_task (const json_t *object, HrHeartbeat *heartbeat, HrReportedTask *reported)
{
  const char *name = hr_json_str (object, HR_WIRE_TASK);
  const char *state_name = hr_json_str (object, HR_WIRE_STATE);
  const char *slash = name ? strrchr (name, '/') : NULL;
  guint64 task, attempt;
  if (!slash || !state_name ||
      !g_ascii_string_to_unsigned (slash + 1, 10, 0, HR_MAX_TASKS - 1, &task, NULL) ||
      !hr_json_count (object, HR_WIRE_ATTEMPT, G_MAXUINT64, &attempt))
    return FALSE;
  char *job_id = g_strndup (name, slash - name);
  g_ptr_array_add (heartbeat->job_ids, job_id);
  *reported = (HrReportedTask){.job = job_id, .task = task, .attempt = attempt};
  if (!parse_state (state_name, &reported->state))
    return FALSE;
  if (reported->state == HR_REPORTED_EXITED)
    reported->cause = parse_exit_cause (hr_json_str (object, HR_WIRE_EXIT_CAUSE));
  hr_json_bool (object, HR_WIRE_PROGRESS_SAVED, &reported->progress_saved);
  return TRUE;
}

/* Parses all fields except the tasks. */
static gboolean
parse_header (const json_t *root, HrHeartbeat *heartbeat)
{
  heartbeat->machine = hr_json_str (root, HR_WIRE_MACHINE);
  heartbeat->address = hr_json_str (root, HR_WIRE_ADDRESS);
  heartbeat->type = hr_json_str (root, HR_WIRE_MACHINE_TYPE);
  heartbeat->zone = hr_json_str (root, HR_WIRE_ZONE);
  if (!heartbeat->machine || !*heartbeat->machine ||
      strlen (heartbeat->machine) > MAX_MACHINE_NAME_BYTES || !heartbeat->address ||
      !heartbeat->type || !heartbeat->zone ||
      !hr_json_bool (root, HR_WIRE_SPOT, &heartbeat->is_spot) ||
      !hr_json_count (root, HR_WIRE_INCARNATION, G_MAXUINT64, &heartbeat->incarnation) ||
      !hr_json_count (root, HR_WIRE_SEQUENCE, G_MAXUINT64, &heartbeat->sequence) ||
      !hr_json_count (root, HR_WIRE_FENCING_TOKEN, G_MAXUINT64, &heartbeat->fencing_token))
    return FALSE;
  if (!hr_json_num (root, HR_WIRE_PREEMPTION_NOTICE_S, &heartbeat->preemption_notice_s))
    heartbeat->preemption_notice_s = -1;
  return TRUE;
}

/* Parses the list of tasks. */
static gboolean
parse_tasks (const json_t *list, HrHeartbeat *heartbeat, GError **error)
{
  size_t i;
  json_t *object;
  json_array_foreach (list, i, object)
  {
    HrReportedTask reported;
    if (!parse_task (object, heartbeat, &reported)) {
      g_set_error (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_FIELD,
                   HR_WIRE_TASKS "[%zu] is not a task's state", i);
      return FALSE;
    }
    g_array_append_val (heartbeat->tasks, reported);
  }
  return TRUE;
}

HrHeartbeat *
hr_heartbeat_read (json_t *root, GError **error)
{
  g_autoptr (HrHeartbeat) heartbeat = g_new0 (HrHeartbeat, 1);
  heartbeat->root = json_incref (root);
  heartbeat->tasks = g_array_new (FALSE, TRUE, sizeof (HrReportedTask));
  heartbeat->job_ids = g_ptr_array_new_with_free_func (g_free);
  if (!parse_header (root, heartbeat)) {
    g_set_error_literal (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_FIELD,
                         "not a worker's report: a field is missing or of the wrong type");
    return NULL;
  }
  if (!parse_tasks (json_object_get (root, HR_WIRE_TASKS), heartbeat, error))
    return NULL;
  return g_steal_pointer (&heartbeat);
}

HrHeartbeat *
hr_heartbeat_parse (const char *data, gsize len, GError **error)
{
  json_t *root = hr_json_parse (data, len, hr_heartbeat_members, error);
  HrHeartbeat *heartbeat = root ? hr_heartbeat_read (root, error) : NULL;
  json_decref (root);
  return heartbeat;
}

void
hr_heartbeat_free (HrHeartbeat *heartbeat)
{
  if (!heartbeat)
    return;
  json_decref (heartbeat->root);
  g_array_unref (heartbeat->tasks);
  g_ptr_array_unref (heartbeat->job_ids);
  g_free (heartbeat);
}

/* Verbs of the protocol, indexed by HrOrderKind. */
static const char *const order_verbs[] = {HR_WIRE_ORDER_LAUNCH, HR_WIRE_ORDER_STOP,
                                          HR_WIRE_ORDER_CLEAR};

GArray *
hr_order_list_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (HrOrder));
}

void
hr_order_launch (GArray *orders, const char *job_id, guint32 task_index, guint64 attempt)
{
  HrOrder order = {HR_ORDER_LAUNCH, job_id, task_index, attempt, 0};
  g_array_append_val (orders, order);
}

void
hr_order_stop (GArray *orders, const char *job_id, guint32 task_index, guint64 attempt,
               double grace_s)
{
  HrOrder order = {HR_ORDER_STOP, job_id, task_index, attempt, grace_s};
  g_array_append_val (orders, order);
}

void
hr_order_clear (GArray *orders, const char *job_id, guint32 task_index, guint64 attempt)
{
  HrOrder order = {HR_ORDER_CLEAR, job_id, task_index, attempt, 0};
  g_array_append_val (orders, order);
}

static void
write_order (yajl_gen generator, const HrOrder *order)
{
  g_autofree char *task = g_strdup_printf ("%s/%u", order->job, order->task);
  yajl_gen_map_open (generator);
  hr_json_write_string (generator, HR_WIRE_ORDER_VERB);
  hr_json_write_string (generator, order_verbs[order->kind]);
  hr_json_write_string (generator, HR_WIRE_TASK);
  hr_json_write_string (generator, task);
  hr_json_write_string (generator, HR_WIRE_ATTEMPT);
  hr_json_write_count (generator, order->attempt);
  if (order->kind == HR_ORDER_STOP) {
    hr_json_write_string (generator, HR_WIRE_ORDER_GRACE_S);
    hr_json_write_real (generator, order->grace_s);
  }
  yajl_gen_map_close (generator);
}

json_t *
hr_redirect_answer (const char *leader)
{
  return json_pack ("{ss}", HR_WIRE_LEADER, leader);
}

char *
hr_orders_text (guint64 fencing_token, guint64 incarnation, const GArray *orders)
{
  yajl_gen generator = yajl_gen_alloc (NULL);
  yajl_gen_map_open (generator);
  hr_json_write_string (generator, HR_WIRE_FENCING_TOKEN);
  hr_json_write_count (generator, fencing_token);
  hr_json_write_string (generator, HR_WIRE_ORDERS);
  yajl_gen_array_open (generator);
  for (guint i = 0; i < orders->len; i++)
    write_order (generator, &g_array_index (orders, HrOrder, i));
  yajl_gen_array_close (generator);
  if (incarnation) {
    hr_json_write_string (generator, HR_WIRE_INCARNATION);
    hr_json_write_count (generator, incarnation);
  }
  yajl_gen_map_close (generator);
  return hr_json_writer_finish (generator);
}
