#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "scripted_controller.h"
#include <string.h>

static void
queue_result (ScriptedController *controller, guint64 id, int status, char *text)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = id;
  command->result.status = status;
  if (text)
    command->body = g_bytes_new_take (text, strlen (text));
  g_ptr_array_add (controller->inbox, command);
}

void
scripted_write (ScriptedController *controller, const char *key, const char *value)
{
  g_ptr_array_add (controller->log,
                   g_strdup_printf ("{\"set\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT "}",
                                    key, value, ++controller->revision));
}

/* Returns the latest change of a key, or NULL if there is none. */
static json_t *
latest_change (const ScriptedController *controller, const char *key)
{
  for (guint i = controller->log->len; i-- > 0;) {
    json_t *object = json_loads (controller->log->pdata[i], 0, NULL);
    if (strcmp (hr_json_str (object, "set"), key) == 0)
      return object;
    json_decref (object);
  }
  return NULL;
}

guint64
scripted_cancel_by_other (ScriptedController *controller, const char *id)
{
  g_autofree char *key = g_strconcat ("h/j/", id, NULL);
  json_t *object = latest_change (controller, key), *value = json_object_get (object, "value");
  /* HR_RECORD_STATE: HR_JOB_CANCELLED; HR_RECORD_TAG: another writer. */
  json_object_set_new (value, "s", json_integer (2));
  json_object_set_new (value, "w", json_string ("another"));
  g_autofree char *text = json_dumps (value, JSON_COMPACT);
  json_decref (object);
  scripted_write (controller, key, text);
  return controller->revision;
}

static gboolean
conditions_hold (const ScriptedController *controller, json_t *when)
{
  json_t *entry;
  size_t i;
  json_array_foreach (when, i, entry)
  {
    json_t *object = latest_change (controller, hr_json_str (entry, "path"));
    gboolean same = json_integer_value (json_object_get (object, "stamp")) ==
                    json_integer_value (json_object_get (entry, "stamp"));
    json_decref (object);
    if (!same)
      return FALSE;
  }
  return TRUE;
}

static void
answer_commit (ScriptedController *controller, const HrEffect *call)
{
  json_t *object = json_loads (call->body, 0, NULL), *entry;
  size_t i;
  if (!conditions_hold (controller, json_object_get (object, "when"))) {
    queue_result (controller, call->id, 409, g_strdup ("{\"failed\":[],\"epoch\":1}"));
  } else {
    guint64 store_revision = controller->revision + 1;
    json_array_foreach (json_object_get (object, "writes"), i, entry)
    {
      g_autofree char *value =
          json_dumps (json_object_get (entry, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
      controller->revision =
          store_revision - 1; /* all changes of a transaction have one revision */
      scripted_write (controller, hr_json_str (entry, "set"), value);
    }
    if (controller->loses_answers) {
      controller->store_available &= !controller->outage_after_loss;
      queue_result (controller, call->id, 0, NULL);
    } else
      queue_result (controller, call->id, 200,
                    g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", controller->revision));
  }
  json_decref (object);
}

static void
answer_changes (ScriptedController *controller, const HrEffect *call)
{
  if (!strstr (call->call.path, "hold_ms=0"))
    return; /* a long poll: stays open */
  guint64 after = g_ascii_strtoull (strstr (call->call.path, "after=") + 6, NULL, 10);
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"epoch\":%" G_GUINT64_FORMAT ",\"log\":[", controller->revision);
  const char *sep = "";
  for (guint i = 0; i < controller->log->len; i++) {
    json_t *object = json_loads (controller->log->pdata[i], 0, NULL);
    if ((guint64)json_integer_value (json_object_get (object, "stamp")) > after) {
      g_string_append_printf (text, "%s%s", sep, (char *)controller->log->pdata[i]);
      sep = ",";
    }
    json_decref (object);
  }
  g_string_append (text, "]}");
  queue_result (controller, call->id, 200, g_string_free (text, FALSE));
}

static void
answer_store_call (ScriptedController *controller, const HrEffect *call)
{
  g_autofree char *member =
      g_strdup_printf ("\"set\":\"%s\"", controller->counted_key ? controller->counted_key : "");
  controller->counted_writes +=
      strcmp (call->call.path, "/commit") == 0 && strstr (call->body, member) != NULL;
  if (!controller->store_available)
    queue_result (controller, call->id, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (call->call.path, "/commit") == 0)
    answer_commit (controller, call);
  else if (g_str_has_prefix (call->call.path, "/changes?"))
    answer_changes (controller, call);
  else if (strcmp (call->call.path, "/leases") == 0)
    queue_result (controller, call->id, 200, g_strdup ("{\"claim\":1}"));
  else if (g_str_has_prefix (call->call.path, "/kv?"))
    queue_result (controller, call->id, 200, g_strdup ("{\"rows\":[],\"more\":false,\"epoch\":1}"));
  else if (g_str_has_prefix (call->call.path, "/kv/")) {
    json_t *object = latest_change (controller, call->call.path + strlen ("/kv/"));
    queue_result (controller, call->id, object ? 200 : 404,
                  object ? json_dumps (object, JSON_COMPACT) : g_strdup ("{}"));
    json_decref (object);
  } else
    queue_result (controller, call->id, 200, g_strdup ("{}"));
}

static void
answer_cloud_call (ScriptedController *controller, const HrEffect *call)
{
  if (strcmp (call->call.path, "/machine_types") == 0)
    queue_result (
        controller, call->id, 200,
        g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                  "96,\"cache_gb\":100,\"fetch_gb_per_s\":1,\"hourly\":5.0,\"startup_s\":40,"
                  "\"quarries\":[\"z0\"]}]}"));
  else
    queue_result (controller, call->id, 503, g_strdup ("{\"error\":\"no capacity\"}"));
}

static void
apply_orders (ScriptedController *controller, const char *body)
{
  json_t *object = json_loads (body, 0, NULL), *entry;
  size_t i;
  controller->fencing_token = MAX (controller->fencing_token,
                                   (guint64)json_integer_value (json_object_get (object, "baton")));
  json_array_foreach (json_object_get (object, "orders"), i, entry)
  {
    const char *piece = hr_json_str (entry, "piece");
    if (strcmp (hr_json_str (entry, "verb"), "launch") == 0)
      g_hash_table_insert (
          controller->tasks, g_strdup (piece),
          GINT_TO_POINTER ((int)json_integer_value (json_object_get (entry, "try"))));
    else
      g_hash_table_remove (controller->tasks, piece);
  }
  json_decref (object);
}

static char *
report_text (ScriptedController *controller)
{
  json_t *pieces = json_array ();
  GHashTableIter iter;
  gpointer piece, attempt;
  g_hash_table_iter_init (&iter, controller->tasks);
  while (g_hash_table_iter_next (&iter, &piece, &attempt))
    json_array_append_new (pieces, json_pack ("{sssiss}", "piece", piece, "try",
                                              GPOINTER_TO_INT (attempt), "stance", "running"));
  return hr_json_take_text (json_pack (
      "{sssssssssbsisisIso}", "rockhand", "m-000001", "addr", "10.0.0.1:9000", "hull", "g2",
      "quarry", "z0", "loaners", 0, "tenure", controller->incarnation, "tally",
      ++controller->sequence, "baton", (json_int_t)controller->fencing_token, "pieces", pieces));
}

static void
answer_direct_call (ScriptedController *controller, const HrEffect *call)
{
  if (controller->loses_orders) {
    controller->lost_launches += strstr (call->body, "launch") != NULL;
    queue_result (controller, call->id, 0, NULL);
    return;
  }
  apply_orders (controller, call->body);
  queue_result (controller, call->id, 200, report_text (controller));
}

static void
handle_effect (ScriptedController *controller, const HrEffect *effect)
{
  if (effect->kind == HR_EFFECT_PEER_STATUS) {
    controller->latest_status = *effect->peer_status;
    controller->latest_status_at = controller->now;
  } else if (effect->kind == HR_EFFECT_REPLY) {
    controller->status = effect->reply.status;
    g_free (controller->answer);
    controller->answer = g_strdup (effect->body);
  } else if (effect->call.target == HR_TO_STORE)
    answer_store_call (controller, effect);
  else if (effect->call.target == HR_TO_CLOUD)
    answer_cloud_call (controller, effect);
  else
    answer_direct_call (controller, effect);
}

/* Runs a step with the command, then steps with the answers to the calls that it made. */
static void
run_step (ScriptedController *controller, HrCommand *command)
{
  g_ptr_array_add (controller->inbox, command);
  while (controller->inbox->len) {
    g_autoptr (GPtrArray) commands = controller->inbox;
    g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
    controller->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
    hr_core_step (controller->core, controller->now, 1e9 + controller->now, commands, out);
    for (guint i = 0; i < out->len; i++)
      handle_effect (controller, out->pdata[i]);
  }
}

void
scripted_send_status (ScriptedController *controller, HrPeerStatus *status)
{
  HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
  *command->peer_status = *status;
  run_step (controller, command);
}

static void
send_member_statuses (ScriptedController *controller)
{
  controller->statuses_sent_at = controller->now;
  for (guint i = 0; i < SCRIPTED_MEMBERS; i++) {
    ScriptedMember *member = &controller->members[i];
    if (!member->sends_statuses)
      continue;
    member->status.clock = controller->now;
    if (!member->repeats_echo) {
      member->status.n_echoes = 1;
      g_strlcpy (member->status.echoes[0].label, "c0", sizeof member->status.echoes[0].label);
      g_strlcpy (member->status.echoes[0].incarnation, "c0-1",
                 sizeof member->status.echoes[0].incarnation);
      member->status.echoes[0].clock = controller->latest_status.clock;
    }
    scripted_send_status (controller, &member->status);
  }
}

void
scripted_run (ScriptedController *controller, double seconds)
{
  for (double until = controller->now + seconds; controller->now < until - 0.05;) {
    controller->now += 0.1;
    if (controller->now - controller->statuses_sent_at >= 1)
      send_member_statuses (controller);
    run_step (controller, hr_command_new (HR_COMMAND_TICK));
  }
}

static int
request (ScriptedController *controller, HrMethod method, const char *path, char *body)
{
  static guint64 id;
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = ++id;
  command->request.method = method;
  command->request.path = g_strdup (path);
  command->body = body ? g_bytes_new_take (body, strlen (body)) : NULL;
  controller->status = 0;
  run_step (controller, command);
  for (int i = 0; !controller->status && i < 30; i++)
    scripted_run (controller, 0.1);
  return controller->status;
}

int
scripted_request (ScriptedController *controller, HrMethod method, const char *path,
                  const char *body)
{
  return request (controller, method, path, g_strdup (body));
}

void
scripted_submit (ScriptedController *controller, const char *id)
{
  g_autofree char *body = g_strdup_printf (
      "{\"name_id\":\"%s\",\"jobclass\":\"web\",\"crew\":\"crew\",\"shape\":\"daemon\",\"rank\":"
      "\"production\",\"pieces\":1,\"vcpus\":4,\"accelerators\":1,\"memory_gb\":30,\"bundle\":"
      "\"img\",\"size_gb\":5,\"hulls\":null,\"quarry\":null,\"together\":false,\"apart\":false,"
      "\"loaners\":false,\"guess_s\":60,\"cairn_s\":0,\"stash_s\":0,\"due_s\":null}",
      id);
  if (scripted_request (controller, HR_POST, "/v1/jobs", body) != 201)
    g_error ("the submission of %s was refused: %d %s", id, controller->status, controller->answer);
}

int
scripted_report (ScriptedController *controller)
{
  int status = request (controller, HR_POST, "/hello", report_text (controller));
  if (status == 200)
    apply_orders (controller, controller->answer);
  return status;
}

int
scripted_report_for (ScriptedController *controller, double seconds)
{
  int status = 0;
  for (double until = controller->now + seconds; controller->now < until;) {
    scripted_run (controller, 2);
    status = scripted_report (controller);
  }
  return status;
}

gboolean
scripted_has_task (const ScriptedController *controller, const char *id)
{
  g_autofree char *piece = g_strconcat (id, "/0", NULL);
  return g_hash_table_contains (controller->tasks, piece);
}

static void
load_settings_and_policy (ScriptedController *controller)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GHashTable) vars = hr_policy_vars_new ();
  json_t *root = json_loads (
      "{\"label\":\"c0\",\"area\":\"z0\",\"front\":\"127.0.0.1:1\",\"back\":\"127.0.0.1:2\","
      "\"outside\":{\"cloud\":\"127.0.0.1:3\",\"state\":\"127.0.0.1:4\"},\"members\":["
      "{\"label\":\"c1\",\"area\":\"z0\",\"endpoint\":\"127.0.0.1:5\"},"
      "{\"label\":\"c2\",\"area\":\"z0\",\"endpoint\":\"127.0.0.1:6\"}],\"facts\":"
      "{\"teams\":[{\"name\":\"crew\",\"cpus\":0,\"cpus_max\":0,\"gpus\":0,\"gpus_max\":0}],"
      "\"objectives\":[],\"workers\":{\"report_s\":2.5,\"lease_s\":14,\"gang_wait_s\":30,"
      "\"gang_peer_s\":4,\"cancel_s\":36},\"state\":{\"rps\":1e6,\"write_rps\":1e5,\"value_kb\":4,"
      "\"txn_ops\":12},\"cloud\":{\"rps\":8,\"list_lag_s\":3}}}",
      0, NULL);
  controller->settings = hr_settings_parse (root, &controller->names, &error);
  json_decref (root);
  if (!controller->settings)
    g_error ("cannot parse the settings: %s", error->message);
  hr_core_policy_vars (controller->settings, vars);
  if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &controller->policy, &error))
    g_error ("cannot load the policy: %s", error->message);
}

ScriptedController *
scripted_new (const char *leader)
{
  ScriptedController *controller = g_new0 (ScriptedController, 1);
  controller->now = 100;
  controller->store_available = TRUE;
  controller->revision = 1;
  controller->incarnation = 1;
  controller->log = g_ptr_array_new_with_free_func (g_free);
  controller->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  controller->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  hr_names_init (&controller->names);
  load_settings_and_policy (controller);
  if (strcmp (leader, "c0") != 0) {
    /* "b": fencing token, "o": label of the leader, "i": incarnation of its process. */
    g_autofree char *leader_lock =
        g_strdup_printf ("{\"b\":0,\"o\":\"%s\",\"i\":\"%s-1\"}", leader, leader);
    g_autofree char *leader_record =
        g_strdup_printf ("{\"b\":1,\"o\":\"%s\",\"i\":\"%s-1\"}", leader, leader);
    scripted_write (controller, "h/leader", leader_lock);
    scripted_write (controller, "h/map", leader_record);
  }
  for (guint i = 0; i < SCRIPTED_MEMBERS; i++) {
    ScriptedMember *member = &controller->members[i];
    member->sends_statuses = member->status.synced = member->status.cancellations.is_present = TRUE;
    g_snprintf (member->status.label, sizeof member->status.label, "c%u", i + 1);
    g_snprintf (member->status.incarnation, sizeof member->status.incarnation, "c%u-1", i + 1);
    member->status.fencing_token = 1;
  }
  controller->core =
      hr_core_new (controller->settings, &controller->policy, &controller->names, "c0-1", 1);
  scripted_run (controller, 5);
  return controller;
}

void
scripted_free (ScriptedController *controller)
{
  hr_core_free (controller->core);
  hr_settings_free (controller->settings);
  hr_names_clear (&controller->names);
  g_ptr_array_unref (controller->log);
  g_ptr_array_unref (controller->inbox);
  g_hash_table_unref (controller->tasks);
  g_free (controller->answer);
  g_free (controller);
}

static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  return level & G_LOG_FLAG_FATAL || g_getenv ("HR_SIM_VERBOSE")
             ? g_log_writer_default (level, fields, n, data)
             : G_LOG_WRITER_HANDLED;
}

void
scripted_log_init (void)
{
  g_log_set_writer_func (log_writer, NULL, NULL);
}
