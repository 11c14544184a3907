#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "scripted.h"
#include <string.h>

static void
answer (Script *script, guint64 id, int status, char *text)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = id;
  command->result.status = status;
  if (text)
    command->body = g_bytes_new_take (text, strlen (text));
  g_ptr_array_add (script->inbox, command);
}

void
script_write (Script *script, const char *key, const char *value)
{
  g_ptr_array_add (script->log,
                   g_strdup_printf ("{\"set\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT "}",
                                    key, value, ++script->epoch));
}

/* The latest change of a key; NULL: there is none. */
static json_t *
latest (const Script *script, const char *key)
{
  for (guint i = script->log->len; i-- > 0;) {
    json_t *object = json_loads (script->log->pdata[i], 0, NULL);
    if (strcmp (hr_json_str (object, "set"), key) == 0)
      return object;
    json_decref (object);
  }
  return NULL;
}

guint64
script_withdraw (Script *script, const char *id)
{
  g_autofree char *key = g_strconcat ("h/j/", id, NULL);
  json_t *object = latest (script, key), *value = json_object_get (object, "value");
  json_object_set_new (value, "s", json_integer (2));
  json_object_set_new (value, "w", json_string ("another"));
  g_autofree char *text = json_dumps (value, JSON_COMPACT);
  json_decref (object);
  script_write (script, key, text);
  return script->epoch;
}

static gboolean
holds (const Script *script, json_t *when)
{
  json_t *entry;
  size_t i;
  json_array_foreach (when, i, entry)
  {
    json_t *object = latest (script, hr_json_str (entry, "path"));
    gboolean same = json_integer_value (json_object_get (object, "stamp")) ==
                    json_integer_value (json_object_get (entry, "stamp"));
    json_decref (object);
    if (!same)
      return FALSE;
  }
  return TRUE;
}

static void
commit (Script *script, const HrEffect *call)
{
  json_t *object = json_loads (call->body, 0, NULL), *entry;
  size_t i;
  if (!holds (script, json_object_get (object, "when"))) {
    answer (script, call->id, 409, g_strdup ("{\"failed\":[],\"epoch\":1}"));
  } else {
    guint64 store_revision = script->epoch + 1;
    json_array_foreach (json_object_get (object, "writes"), i, entry)
    {
      g_autofree char *value =
          json_dumps (json_object_get (entry, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
      script->epoch = store_revision - 1; /* all changes of a transaction have one revision */
      script_write (script, hr_json_str (entry, "set"), value);
    }
    if (script->loses_writes) {
      script->served &= !script->out_after_loss;
      answer (script, call->id, 0, NULL);
    } else
      answer (script, call->id, 200,
              g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", script->epoch));
  }
  json_decref (object);
}

static void
changes (Script *script, const HrEffect *call)
{
  if (!strstr (call->call.path, "hold_ms=0"))
    return; /* watches stay open */
  guint64 after = g_ascii_strtoull (strstr (call->call.path, "after=") + 6, NULL, 10);
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"epoch\":%" G_GUINT64_FORMAT ",\"log\":[", script->epoch);
  const char *sep = "";
  for (guint i = 0; i < script->log->len; i++) {
    json_t *object = json_loads (script->log->pdata[i], 0, NULL);
    if ((guint64)json_integer_value (json_object_get (object, "stamp")) > after) {
      g_string_append_printf (text, "%s%s", sep, (char *)script->log->pdata[i]);
      sep = ",";
    }
    json_decref (object);
  }
  g_string_append (text, "]}");
  answer (script, call->id, 200, g_string_free (text, FALSE));
}

static void
store (Script *script, const HrEffect *call)
{
  g_autofree char *settings =
      g_strdup_printf ("\"set\":\"%s\"", script->watched ? script->watched : "");
  script->watched_writes +=
      strcmp (call->call.path, "/commit") == 0 && strstr (call->body, settings) != NULL;
  if (!script->served)
    answer (script, call->id, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (call->call.path, "/commit") == 0)
    commit (script, call);
  else if (g_str_has_prefix (call->call.path, "/changes?"))
    changes (script, call);
  else if (strcmp (call->call.path, "/leases") == 0)
    answer (script, call->id, 200, g_strdup ("{\"claim\":1}"));
  else if (g_str_has_prefix (call->call.path, "/kv?"))
    answer (script, call->id, 200, g_strdup ("{\"rows\":[],\"more\":false,\"epoch\":1}"));
  else if (g_str_has_prefix (call->call.path, "/kv/")) {
    json_t *object = latest (script, call->call.path + strlen ("/kv/"));
    answer (script, call->id, object ? 200 : 404,
            object ? json_dumps (object, JSON_COMPACT) : g_strdup ("{}"));
    json_decref (object);
  } else
    answer (script, call->id, 200, g_strdup ("{}"));
}

static void
cloud (Script *script, const HrEffect *call)
{
  if (strcmp (call->call.path, "/machine_types") == 0)
    answer (script, call->id, 200,
            g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                      "96,\"cache_gb\":100,\"fetch_gb_per_s\":1,\"hourly\":5.0,\"startup_s\":40,"
                      "\"quarries\":[\"z0\"]}]}"));
  else
    answer (script, call->id, 503, g_strdup ("{\"error\":\"no capacity\"}"));
}

static void
obey (Script *script, const char *body)
{
  json_t *object = json_loads (body, 0, NULL), *entry;
  size_t i;
  script->token =
      MAX (script->token, (guint64)json_integer_value (json_object_get (object, "baton")));
  json_array_foreach (json_object_get (object, "orders"), i, entry)
  {
    const char *piece = hr_json_str (entry, "piece");
    if (strcmp (hr_json_str (entry, "verb"), "launch") == 0)
      g_hash_table_insert (
          script->on, g_strdup (piece),
          GINT_TO_POINTER ((int)json_integer_value (json_object_get (entry, "try"))));
    else
      g_hash_table_remove (script->on, piece);
  }
  json_decref (object);
}

static char *
report_text (Script *script)
{
  json_t *pieces = json_array ();
  GHashTableIter iter;
  gpointer piece, attempt;
  g_hash_table_iter_init (&iter, script->on);
  while (g_hash_table_iter_next (&iter, &piece, &attempt))
    json_array_append_new (pieces, json_pack ("{sssiss}", "piece", piece, "try",
                                              GPOINTER_TO_INT (attempt), "stance", "running"));
  return hr_json_take_text (json_pack ("{sssssssssbsisisIso}", "rockhand", "m-000001", "addr",
                                       "10.0.0.1:9000", "hull", "g2", "quarry", "z0", "loaners", 0,
                                       "tenure", script->session, "tally", ++script->tally, "baton",
                                       (json_int_t)script->token, "pieces", pieces));
}

static void
worker (Script *script, const HrEffect *call)
{
  if (script->loses_orders) {
    script->lost_launches += strstr (call->body, "launch") != NULL;
    answer (script, call->id, 0, NULL);
    return;
  }
  obey (script, call->body);
  answer (script, call->id, 200, report_text (script));
}

static void
perform (Script *script, const HrEffect *effect)
{
  if (effect->kind == HR_EFFECT_PEER_STATUS) {
    script->said = *effect->peer_status;
    script->hint_at = script->now;
  } else if (effect->kind == HR_EFFECT_REPLY) {
    script->status = effect->reply.status;
    g_free (script->answer);
    script->answer = g_strdup (effect->body);
  } else if (effect->call.target == HR_TO_STORE)
    store (script, effect);
  else if (effect->call.target == HR_TO_CLOUD)
    cloud (script, effect);
  else
    worker (script, effect);
}

/* One step with this command, then steps with the answers to what it asked for. */
static void
step (Script *script, HrCommand *command)
{
  g_ptr_array_add (script->inbox, command);
  while (script->inbox->len) {
    g_autoptr (GPtrArray) commands = script->inbox;
    g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
    script->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
    hr_core_step (script->core, script->now, 1e9 + script->now, commands, out);
    for (guint i = 0; i < out->len; i++)
      perform (script, out->pdata[i]);
  }
}

void
script_hint (Script *script, HrPeerStatus *status)
{
  HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
  *command->peer_status = *status;
  step (script, command);
}

static void
speak (Script *script)
{
  script->said_at = script->now;
  for (guint i = 0; i < SCRIPTED_MEMBERS; i++) {
    ScriptedMember *member = &script->members[i];
    if (!member->speaks)
      continue;
    member->hint.clock = script->now;
    if (!member->echo_stays) {
      member->hint.n_echoes = 1;
      g_strlcpy (member->hint.echoes[0].label, "c0", sizeof member->hint.echoes[0].label);
      g_strlcpy (member->hint.echoes[0].incarnation, "c0-1",
                 sizeof member->hint.echoes[0].incarnation);
      member->hint.echoes[0].clock = script->said.clock;
    }
    script_hint (script, &member->hint);
  }
}

void
script_run (Script *script, double seconds)
{
  for (double until = script->now + seconds; script->now < until - 0.05;) {
    script->now += 0.1;
    if (script->now - script->said_at >= 1)
      speak (script);
    step (script, hr_command_new (HR_COMMAND_TICK));
  }
}

static int
request (Script *script, HrMethod method, const char *path, char *body)
{
  static guint64 id;
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = ++id;
  command->request.method = method;
  command->request.path = g_strdup (path);
  command->body = body ? g_bytes_new_take (body, strlen (body)) : NULL;
  script->status = 0;
  step (script, command);
  for (int i = 0; !script->status && i < 30; i++)
    script_run (script, 0.1);
  return script->status;
}

int
script_ask (Script *script, HrMethod method, const char *path, const char *body)
{
  return request (script, method, path, g_strdup (body));
}

void
script_submit (Script *script, const char *id)
{
  g_autofree char *body = g_strdup_printf (
      "{\"name_id\":\"%s\",\"jobclass\":\"web\",\"crew\":\"crew\",\"shape\":\"daemon\",\"rank\":"
      "\"production\",\"pieces\":1,\"vcpus\":4,\"accelerators\":1,\"memory_gb\":30,\"bundle\":"
      "\"img\",\"size_gb\":5,\"hulls\":null,\"quarry\":null,\"together\":false,\"apart\":false,"
      "\"loaners\":false,\"guess_s\":60,\"cairn_s\":0,\"stash_s\":0,\"due_s\":null}",
      id);
  if (script_ask (script, HR_POST, "/v1/jobs", body) != 201)
    g_error ("%s is not accepted: %d %s", id, script->status, script->answer);
}

int
script_report (Script *script)
{
  int status = request (script, HR_POST, "/hello", report_text (script));
  if (status == 200)
    obey (script, script->answer);
  return status;
}

int
script_report_for (Script *script, double seconds)
{
  int status = 0;
  for (double until = script->now + seconds; script->now < until;) {
    script_run (script, 2);
    status = script_report (script);
  }
  return status;
}

gboolean
script_runs (const Script *script, const char *id)
{
  g_autofree char *piece = g_strconcat (id, "/0", NULL);
  return g_hash_table_contains (script->on, piece);
}

static void
settings (Script *script)
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
  script->set = hr_settings_parse (root, &script->names, &error);
  json_decref (root);
  if (!script->set)
    g_error ("the settings: %s", error->message);
  hr_core_policy_vars (script->set, vars);
  if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &script->pol, &error))
    g_error ("the policy: %s", error->message);
}

Script *
script_new (const char *leader)
{
  Script *script = g_new0 (Script, 1);
  script->now = 100;
  script->served = TRUE;
  script->epoch = 1;
  script->session = 1;
  script->log = g_ptr_array_new_with_free_func (g_free);
  script->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  script->on = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  hr_names_init (&script->names);
  settings (script);
  if (strcmp (leader, "c0") != 0) {
    g_autofree char *key =
        g_strdup_printf ("{\"b\":0,\"o\":\"%s\",\"i\":\"%s-1\"}", leader, leader);
    g_autofree char *map =
        g_strdup_printf ("{\"b\":1,\"o\":\"%s\",\"i\":\"%s-1\"}", leader, leader);
    script_write (script, "h/leader", key);
    script_write (script, "h/map", map);
  }
  for (guint i = 0; i < SCRIPTED_MEMBERS; i++) {
    ScriptedMember *member = &script->members[i];
    member->speaks = member->hint.synced = member->hint.cancellations.is_stated = TRUE;
    g_snprintf (member->hint.label, sizeof member->hint.label, "c%u", i + 1);
    g_snprintf (member->hint.incarnation, sizeof member->hint.incarnation, "c%u-1", i + 1);
    member->hint.fencing_token = 1;
  }
  script->core = hr_core_new (script->set, &script->pol, &script->names, "c0-1", 1);
  script_run (script, 5);
  return script;
}

void
script_free (Script *script)
{
  hr_core_free (script->core);
  hr_settings_free (script->set);
  hr_names_clear (&script->names);
  g_ptr_array_unref (script->log);
  g_ptr_array_unref (script->inbox);
  g_hash_table_unref (script->on);
  g_free (script->answer);
  g_free (script);
}

static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  return level & G_LOG_FLAG_FATAL || g_getenv ("HR_SIM_VERBOSE")
             ? g_log_writer_default (level, fields, n, data)
             : G_LOG_WRITER_HANDLED;
}

void
script_log_init (void)
{
  g_log_set_writer_func (log_writer, NULL, NULL);
}
