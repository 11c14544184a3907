#include "protocol/settings.h"
#include "protocol/json_util.h"
#include <gio/gio.h>
#include <string.h>

static void
member_clear (gpointer data)
{
  HrMember *member = data;
  g_free (member->label);
  g_free (member->zone);
  g_free (member->endpoint);
}

static gboolean
fail (GError **error, const char *where, const char *want)
{
  g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "setting %s: expected %s", where, want);
  return FALSE;
}

static gboolean
text (const json_t *object, const char *where, const char *key, char **out, GError **error)
{
  const char *name = hr_json_str (object, key);
  if (!name || !*name)
    return fail (error, where, "a text that is not empty");
  *out = g_strdup (name);
  return TRUE;
}

/* IP:PORT, as the deployments use no names. */
static gboolean
address (const json_t *object, const char *where, const char *key, char **out, GError **error)
{
  if (!text (object, where, key, out, error))
    return FALSE;
  g_autoptr (GSocketConnectable) parsed = g_network_address_parse (*out, 0, NULL);
  const char *host = parsed ? g_network_address_get_hostname (G_NETWORK_ADDRESS (parsed)) : NULL;
  if (!host || !g_hostname_is_ip_address (host) ||
      g_network_address_get_port (G_NETWORK_ADDRESS (parsed)) == 0)
    return fail (error, where, "an address such as 10.0.0.1:8080");
  return TRUE;
}

static gboolean
positive (const json_t *object, const char *where, const char *key, double *out, GError **error)
{
  if (!hr_json_num (object, key, out) || *out <= 0 || *out > 1e9)
    return fail (error, where, "a number above 0");
  return TRUE;
}

static gboolean
amount (const json_t *object, const char *where, const char *key, double *out, GError **error)
{
  if (!hr_json_num (object, key, out) || *out < 0)
    return fail (error, where, "a number, 0 or more");
  return TRUE;
}

/* An announced limit, which may be missing. */
static gboolean
announced (const json_t *next, const char *where, const char *key, double *limit, GError **error)
{
  double value;
  if (!json_object_get (next, key) || json_is_null (json_object_get (next, key)))
    return TRUE;
  if (!positive (next, where, key, &value, error))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

/* Elections change two keys at once. */
#define MIN_TRANSACTION_OPS 2

static gboolean
read_planned (HrSettings *settings, const json_t *next, GError **error)
{
  double ops = settings->txn_ops;
  settings->planned = (HrStateLimits){settings->state_rps, settings->state_write_rps,
                                      settings->value_kb, settings->txn_ops};
  if (!announced (next, "facts.state.next.rps", "rps", &settings->planned.rps, error) ||
      !announced (next, "facts.state.next.write_rps", "write_rps", &settings->planned.write_rps,
                  error) ||
      !announced (next, "facts.state.next.value_kb", "value_kb", &settings->planned.value_kb,
                  error) ||
      !announced (next, "facts.state.next.txn_ops", "txn_ops", &ops, error))
    return FALSE;
  if (ops < MIN_TRANSACTION_OPS)
    return fail (error, "facts.state.next.txn_ops", "at least 2 changes a transaction");
  settings->planned.txn_ops = ops;
  return TRUE;
}

static gboolean
read_facts (HrSettings *settings, const json_t *facts, HrNames *names, GError **error)
{
  const json_t *workers = json_object_get (facts, "workers"),
               *state = json_object_get (facts, "state"), *cloud = json_object_get (facts, "cloud");
  double ops;
  if (!positive (workers, "facts.workers.report_s", "report_s", &settings->report_s, error) ||
      !positive (workers, "facts.workers.lease_s", "lease_s", &settings->lease_s, error) ||
      !positive (workers, "facts.workers.gang_wait_s", "gang_wait_s", &settings->gang_wait_s,
                 error) ||
      !positive (workers, "facts.workers.gang_peer_s", "gang_peer_s", &settings->gang_peer_s,
                 error) ||
      !positive (workers, "facts.workers.cancel_s", "cancel_s", &settings->cancel_s, error) ||
      !positive (state, "facts.state.rps", "rps", &settings->state_rps, error) ||
      !positive (state, "facts.state.write_rps", "write_rps", &settings->state_write_rps, error) ||
      !positive (state, "facts.state.value_kb", "value_kb", &settings->value_kb, error) ||
      !positive (state, "facts.state.txn_ops", "txn_ops", &ops, error) ||
      !positive (cloud, "facts.cloud.rps", "rps", &settings->cloud_rps, error) ||
      !amount (cloud, "facts.cloud.list_lag_s", "list_lag_s", &settings->list_lag_s, error))
    return FALSE;
  if (ops < 3)
    return fail (error, "facts.state.txn_ops", "at least 3 changes a transaction");
  settings->txn_ops = MIN (ops, 1000);
  if (!read_planned (settings, json_object_get (state, "next"), error))
    return FALSE;
  double sockets = 1024;
  hr_json_num (json_object_get (facts, "machine_limits"), "fd_limit", &sockets);
  if (sockets < 64)
    return fail (error, "facts.machine_limits.fd_limit", "at least 64 sockets");
  settings->sockets = MIN (sockets, 1e6);
  if (settings->cancel_s <= settings->lease_s + 2)
    return fail (error, "facts.workers.cancel_s", "more than lease_s and two seconds");
  const json_t *teams = json_object_get (facts, "teams"),
               *aims = json_object_get (facts, "objectives");
  if (!json_is_array (teams) || json_array_size (teams) == 0)
    return fail (error, "facts.teams", "an array with at least one team");
  size_t i;
  json_t *object;
  json_array_foreach (teams, i, object)
  {
    HrTeam team = {0};
    const char *name = hr_json_str (object, "name");
    if (!name || !*name)
      return fail (error, "facts.teams[].name", "a text that is not empty");
    if (!amount (object, "facts.teams[].cpus", "cpus", &team.cpus, error) ||
        !amount (object, "facts.teams[].gpus", "gpus", &team.gpus, error) ||
        !amount (object, "facts.teams[].cpus_max", "cpus_max", &team.cpus_max, error) ||
        !amount (object, "facts.teams[].gpus_max", "gpus_max", &team.gpus_max, error))
      return FALSE;
    team.team = hr_intern (&names->teams, name);
    g_array_append_val (settings->teams, team);
  }
  json_array_foreach (aims, i, object)
  {
    const char *kind = hr_json_str (object, "kind"), *key = hr_json_str (object, "class");
    if (!kind || !key)
      continue; /* an aim of a kind we don't know steers nothing */
    HrObjective objective = {HR_OBJECTIVE_OTHER, hr_intern (&names->classes, key), 0, 0};
    if (g_str_equal (kind, "wait"))
      objective.kind = HR_OBJECTIVE_WAIT;
    else if (g_str_equal (kind, "deadline"))
      objective.kind = HR_OBJECTIVE_DEADLINE;
    else if (g_str_equal (kind, "finished"))
      objective.kind = HR_OBJECTIVE_FINISHED;
    else if (g_str_equal (kind, "up"))
      objective.kind = HR_OBJECTIVE_UP;
    hr_json_num (object, objective.kind == HR_OBJECTIVE_UP ? "after_s" : "within_s",
                 &objective.within_s);
    hr_json_num (object, "share", &objective.share);
    g_array_append_val (settings->objectives, objective);
  }
  return TRUE;
}

HrSettings *
hr_settings_parse (const json_t *root, HrNames *names, GError **error)
{
  g_autoptr (HrSettings) settings = g_new0 (HrSettings, 1);
  settings->members = g_array_new (FALSE, TRUE, sizeof (HrMember));
  g_array_set_clear_func (settings->members, member_clear);
  settings->teams = g_array_new (FALSE, TRUE, sizeof (HrTeam));
  settings->objectives = g_array_new (FALSE, TRUE, sizeof (HrObjective));
  if (!json_is_object (root)) {
    fail (error, "(the whole file)", "a JSON object");
    return NULL;
  }
  const json_t *out = json_object_get (root, "outside");
  if (!text (root, "label", "label", &settings->label, error) ||
      !text (root, "area", "area", &settings->zone, error) ||
      !address (root, "front", "front", &settings->front, error) ||
      !address (root, "back", "back", &settings->back, error) ||
      !address (out, "outside.cloud", "cloud", &settings->cloud, error) ||
      !address (out, "outside.state", "state", &settings->state, error))
    return NULL;
  const json_t *members = json_object_get (root, "members");
  if (!json_is_array (members)) {
    fail (error, "members", "an array");
    return NULL;
  }
  size_t i;
  json_t *object;
  json_array_foreach (members, i, object)
  {
    HrMember member = {0};
    gboolean ok = text (object, "members[].label", "label", &member.label, error) &&
                  address (object, "members[].endpoint", "endpoint", &member.endpoint, error);
    member.zone = g_strdup (hr_json_str (object, "area"));
    if (!ok) {
      member_clear (&member);
      return NULL;
    }
    g_array_append_val (settings->members, member);
  }
  settings->home = hr_intern (&names->zones, settings->zone);
  for (guint k = 0; k < settings->members->len; k++)
    if (g_strcmp0 (g_array_index (settings->members, HrMember, k).zone, settings->zone) != 0)
      settings->home = HR_NONE;
  if (!read_facts (settings, json_object_get (root, "facts"), names, error))
    return NULL;
  return g_steal_pointer (&settings);
}

HrSettings *
hr_settings_load (const char *path, HrNames *names, GError **error)
{
  g_autofree char *data = NULL;
  gsize len;
  if (!g_file_get_contents (path, &data, &len, error))
    return NULL;
  g_autofree char *why = NULL;
  json_t *root = hr_json_parse (data, len, &why);
  if (!root) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "%s: %s", path, why);
    return NULL;
  }
  HrSettings *settings = hr_settings_parse (root, names, error);
  json_decref (root);
  if (!settings)
    g_prefix_error (error, "%s: ", path);
  return settings;
}

void
hr_settings_free (HrSettings *settings)
{
  if (!settings)
    return;
  g_free (settings->label);
  g_free (settings->zone);
  g_free (settings->front);
  g_free (settings->back);
  g_free (settings->cloud);
  g_free (settings->state);
  g_array_unref (settings->members);
  g_array_unref (settings->teams);
  g_array_unref (settings->objectives);
  g_free (settings);
}
