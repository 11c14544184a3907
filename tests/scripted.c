#include "scripted.h"
#include "protocol/json_util.h"
#include <string.h>

static void
answer (Script *s, guint64 id, int status, char *text)
{
  HrCommand *command = hr_command_new (HR_COMMAND_RESULT);
  command->id = id;
  command->status = status;
  if (text)
    command->body = g_bytes_new_take (text, strlen (text));
  g_ptr_array_add (s->inbox, command);
}

void
script_write (Script *s, const char *key, const char *value)
{
  g_ptr_array_add (s->log,
                   g_strdup_printf ("{\"set\":\"%s\",\"value\":%s,\"stamp\":%" G_GUINT64_FORMAT "}",
                                    key, value, ++s->epoch));
}

/* The latest change of a key; NULL: there is none. */
static json_t *
latest (const Script *s, const char *key)
{
  for (guint i = s->log->len; i-- > 0;) {
    json_t *object = json_loads (s->log->pdata[i], 0, NULL);
    if (strcmp (hr_json_str (object, "set"), key) == 0)
      return object;
    json_decref (object);
  }
  return NULL;
}

guint64
script_withdraw (Script *s, const char *id)
{
  g_autofree char *key = g_strconcat ("h/j/", id, NULL);
  json_t *object = latest (s, key), *value = json_object_get (object, "value");
  json_object_set_new (value, "s", json_integer (2));
  json_object_set_new (value, "w", json_string ("another"));
  g_autofree char *text = json_dumps (value, JSON_COMPACT);
  json_decref (object);
  script_write (s, key, text);
  return s->epoch;
}

static gboolean
holds (const Script *s, json_t *when)
{
  json_t *entry;
  size_t i;
  json_array_foreach (when, i, entry)
  {
    json_t *object = latest (s, hr_json_str (entry, "path"));
    gboolean same = json_integer_value (json_object_get (object, "stamp")) ==
                    json_integer_value (json_object_get (entry, "stamp"));
    json_decref (object);
    if (!same)
      return FALSE;
  }
  return TRUE;
}

static void
commit (Script *s, const HrEffect *call)
{
  json_t *object = json_loads (call->body, 0, NULL), *entry;
  size_t i;
  if (!holds (s, json_object_get (object, "when"))) {
    answer (s, call->id, 409, g_strdup ("{\"failed\":[],\"epoch\":1}"));
  } else {
    guint64 store_revision = s->epoch + 1;
    json_array_foreach (json_object_get (object, "writes"), i, entry)
    {
      g_autofree char *value =
          json_dumps (json_object_get (entry, "value"), JSON_COMPACT | JSON_ENCODE_ANY);
      s->epoch = store_revision - 1; /* all changes of a transaction have one stamp */
      script_write (s, hr_json_str (entry, "set"), value);
    }
    if (s->loses_writes) {
      s->served &= !s->out_after_loss;
      answer (s, call->id, 0, NULL);
    } else
      answer (s, call->id, 200, g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", s->epoch));
  }
  json_decref (object);
}

static void
changes (Script *s, const HrEffect *call)
{
  if (!strstr (call->path, "hold_ms=0"))
    return; /* watches stay open */
  guint64 after = g_ascii_strtoull (strstr (call->path, "after=") + 6, NULL, 10);
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"epoch\":%" G_GUINT64_FORMAT ",\"log\":[", s->epoch);
  const char *sep = "";
  for (guint i = 0; i < s->log->len; i++) {
    json_t *object = json_loads (s->log->pdata[i], 0, NULL);
    if ((guint64)json_integer_value (json_object_get (object, "stamp")) > after) {
      g_string_append_printf (text, "%s%s", sep, (char *)s->log->pdata[i]);
      sep = ",";
    }
    json_decref (object);
  }
  g_string_append (text, "]}");
  answer (s, call->id, 200, g_string_free (text, FALSE));
}

static void
store (Script *s, const HrEffect *call)
{
  g_autofree char *settings = g_strdup_printf ("\"set\":\"%s\"", s->watched ? s->watched : "");
  s->watched_writes += strcmp (call->path, "/commit") == 0 && strstr (call->body, settings) != NULL;
  if (!s->served)
    answer (s, call->id, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (call->path, "/commit") == 0)
    commit (s, call);
  else if (g_str_has_prefix (call->path, "/changes?"))
    changes (s, call);
  else if (strcmp (call->path, "/leases") == 0)
    answer (s, call->id, 200, g_strdup ("{\"claim\":1}"));
  else if (g_str_has_prefix (call->path, "/kv?"))
    answer (s, call->id, 200, g_strdup ("{\"rows\":[],\"more\":false,\"epoch\":1}"));
  else if (g_str_has_prefix (call->path, "/kv/")) {
    json_t *object = latest (s, call->path + strlen ("/kv/"));
    answer (s, call->id, object ? 200 : 404,
            object ? json_dumps (object, JSON_COMPACT) : g_strdup ("{}"));
    json_decref (object);
  } else
    answer (s, call->id, 200, g_strdup ("{}"));
}

static void
cloud (Script *s, const HrEffect *call)
{
  if (strcmp (call->path, "/machine_types") == 0)
    answer (s, call->id, 200,
            g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                      "96,\"cache_gb\":100,\"fetch_gb_per_s\":1,\"hourly\":5.0,\"startup_s\":40,"
                      "\"quarries\":[\"z0\"]}]}"));
  else
    answer (s, call->id, 503, g_strdup ("{\"error\":\"no capacity\"}"));
}

static void
obey (Script *s, const char *body)
{
  json_t *object = json_loads (body, 0, NULL), *entry;
  size_t i;
  s->token = MAX (s->token, (guint64)json_integer_value (json_object_get (object, "baton")));
  json_array_foreach (json_object_get (object, "orders"), i, entry)
  {
    const char *piece = hr_json_str (entry, "piece");
    if (strcmp (hr_json_str (entry, "verb"), "launch") == 0)
      g_hash_table_insert (
          s->on, g_strdup (piece),
          GINT_TO_POINTER ((int)json_integer_value (json_object_get (entry, "try"))));
    else
      g_hash_table_remove (s->on, piece);
  }
  json_decref (object);
}

static char *
report_text (Script *s)
{
  json_t *pieces = json_array ();
  GHashTableIter iter;
  gpointer piece, attempt;
  g_hash_table_iter_init (&iter, s->on);
  while (g_hash_table_iter_next (&iter, &piece, &attempt))
    json_array_append_new (pieces, json_pack ("{sssiss}", "piece", piece, "try",
                                              GPOINTER_TO_INT (attempt), "stance", "running"));
  return hr_json_take_text (json_pack ("{sssssssssbsisisIso}", "rockhand", "m-000001", "addr",
                                       "10.0.0.1:9000", "hull", "g2", "quarry", "z0", "loaners", 0,
                                       "tenure", s->session, "tally", ++s->tally, "baton",
                                       (json_int_t)s->token, "pieces", pieces));
}

static void
worker (Script *s, const HrEffect *call)
{
  if (s->loses_orders) {
    s->lost_launches += strstr (call->body, "launch") != NULL;
    answer (s, call->id, 0, NULL);
    return;
  }
  obey (s, call->body);
  answer (s, call->id, 200, report_text (s));
}

static void
perform (Script *s, const HrEffect *effect)
{
  if (effect->kind == HR_EFFECT_PEER_STATUS) {
    s->said = *effect->peer_status;
    s->hint_at = s->now;
  } else if (effect->kind == HR_EFFECT_REPLY) {
    s->status = effect->status;
    g_free (s->answer);
    s->answer = g_strdup (effect->body);
  } else if (effect->target == HR_TO_STORE)
    store (s, effect);
  else if (effect->target == HR_TO_CLOUD)
    cloud (s, effect);
  else
    worker (s, effect);
}

/* One step with this command, then steps with the answers to what it asked for. */
static void
step (Script *s, HrCommand *command)
{
  g_ptr_array_add (s->inbox, command);
  while (s->inbox->len) {
    g_autoptr (GPtrArray) commands = s->inbox;
    g_autoptr (GPtrArray) out = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_effect_free);
    s->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
    hr_core_step (s->core, s->now, 1e9 + s->now, commands, out);
    for (guint i = 0; i < out->len; i++)
      perform (s, out->pdata[i]);
  }
}

void
script_hint (Script *s, HrPeerStatus *status)
{
  HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
  *command->peer_status = *status;
  step (s, command);
}

static void
speak (Script *s)
{
  s->said_at = s->now;
  for (guint i = 0; i < SCRIPTED_MEMBERS; i++) {
    ScriptedMember *m = &s->members[i];
    if (!m->speaks)
      continue;
    m->hint.clock = s->now;
    if (!m->echo_stays) {
      m->hint.n_echoes = 1;
      g_strlcpy (m->hint.echoes[0].label, "c0", sizeof m->hint.echoes[0].label);
      g_strlcpy (m->hint.echoes[0].incarnation, "c0-1", sizeof m->hint.echoes[0].incarnation);
      m->hint.echoes[0].clock = s->said.clock;
    }
    script_hint (s, &m->hint);
  }
}

void
script_run (Script *s, double seconds)
{
  for (double until = s->now + seconds; s->now < until - 0.05;) {
    s->now += 0.1;
    if (s->now - s->said_at >= 1)
      speak (s);
    step (s, hr_command_new (HR_COMMAND_TICK));
  }
}

static int
request (Script *s, HrMethod method, const char *path, char *body)
{
  static guint64 id;
  HrCommand *command = hr_command_new (HR_COMMAND_REQUEST);
  command->id = ++id;
  command->method = method;
  command->path = g_strdup (path);
  command->body = body ? g_bytes_new_take (body, strlen (body)) : NULL;
  s->status = 0;
  step (s, command);
  for (int i = 0; !s->status && i < 30; i++)
    script_run (s, 0.1);
  return s->status;
}

int
script_ask (Script *s, HrMethod method, const char *path, const char *body)
{
  return request (s, method, path, g_strdup (body));
}

void
script_submit (Script *s, const char *id)
{
  g_autofree char *body = g_strdup_printf (
      "{\"name_id\":\"%s\",\"jobclass\":\"web\",\"crew\":\"crew\",\"shape\":\"daemon\",\"rank\":"
      "\"production\",\"pieces\":1,\"vcpus\":4,\"accelerators\":1,\"memory_gb\":30,\"bundle\":"
      "\"img\",\"size_gb\":5,\"hulls\":null,\"quarry\":null,\"together\":false,\"apart\":false,"
      "\"loaners\":false,\"guess_s\":60,\"cairn_s\":0,\"stash_s\":0,\"due_s\":null}",
      id);
  if (script_ask (s, HR_POST, "/v1/jobs", body) != 201)
    g_error ("%s is not accepted: %d %s", id, s->status, s->answer);
}

int
script_report (Script *s)
{
  int status = request (s, HR_POST, "/hello", report_text (s));
  if (status == 200)
    obey (s, s->answer);
  return status;
}

int
script_report_for (Script *s, double seconds)
{
  int status = 0;
  for (double until = s->now + seconds; s->now < until;) {
    script_run (s, 2);
    status = script_report (s);
  }
  return status;
}

gboolean
script_runs (const Script *s, const char *id)
{
  g_autofree char *piece = g_strconcat (id, "/0", NULL);
  return g_hash_table_contains (s->on, piece);
}

static void
settings (Script *s)
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
  s->set = hr_settings_parse (root, &s->names, &error);
  json_decref (root);
  if (!s->set)
    g_error ("the settings: %s", error->message);
  hr_core_policy_vars (s->set, vars);
  if (!hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &s->pol, &error))
    g_error ("the policy: %s", error->message);
}

Script *
script_new (const char *leader)
{
  Script *s = g_new0 (Script, 1);
  s->now = 100;
  s->served = TRUE;
  s->epoch = 1;
  s->session = 1;
  s->log = g_ptr_array_new_with_free_func (g_free);
  s->inbox = g_ptr_array_new_with_free_func ((GDestroyNotify)hr_command_free);
  s->on = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  hr_names_init (&s->names);
  settings (s);
  if (strcmp (leader, "c0") != 0) {
    g_autofree char *key =
        g_strdup_printf ("{\"b\":0,\"o\":\"%s\",\"i\":\"%s-1\"}", leader, leader);
    g_autofree char *map =
        g_strdup_printf ("{\"b\":1,\"o\":\"%s\",\"i\":\"%s-1\"}", leader, leader);
    script_write (s, "h/leader", key);
    script_write (s, "h/map", map);
  }
  for (guint i = 0; i < SCRIPTED_MEMBERS; i++) {
    ScriptedMember *m = &s->members[i];
    m->speaks = m->hint.synced = m->hint.cancellations.is_stated = TRUE;
    g_snprintf (m->hint.label, sizeof m->hint.label, "c%u", i + 1);
    g_snprintf (m->hint.incarnation, sizeof m->hint.incarnation, "c%u-1", i + 1);
    m->hint.fencing_token = 1;
  }
  s->core = hr_core_new (s->set, &s->pol, &s->names, "c0-1", 1);
  script_run (s, 5);
  return s;
}

void
script_free (Script *s)
{
  hr_core_free (s->core);
  hr_settings_free (s->set);
  hr_names_clear (&s->names);
  g_ptr_array_unref (s->log);
  g_ptr_array_unref (s->inbox);
  g_hash_table_unref (s->on);
  g_free (s->answer);
  g_free (s);
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
