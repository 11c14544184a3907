#include "protocol/settings.h"
#include "protocol/json_util.h"
#include <gio/gio.h>
#include <string.h>

static void
member_clear (gpointer p)
{
  HrMember *m = p;
  g_free (m->label);
  g_free (m->zone);
  g_free (m->endpoint);
}

static gboolean
fail (GError **e, const char *where, const char *want)
{
  g_set_error (e, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "setting %s: expected %s", where, want);
  return FALSE;
}

static gboolean
text (const json_t *o, const char *where, const char *key, char **out, GError **e)
{
  const char *s = hr_json_str (o, key);
  if (!s || !*s)
    return fail (e, where, "a text that is not empty");
  *out = g_strdup (s);
  return TRUE;
}

/* IP:PORT, as the deployments use no names. */
static gboolean
address (const json_t *o, const char *where, const char *key, char **out, GError **e)
{
  if (!text (o, where, key, out, e))
    return FALSE;
  g_autoptr (GSocketConnectable) a = g_network_address_parse (*out, 0, NULL);
  const char *host = a ? g_network_address_get_hostname (G_NETWORK_ADDRESS (a)) : NULL;
  if (!host || !g_hostname_is_ip_address (host) ||
      g_network_address_get_port (G_NETWORK_ADDRESS (a)) == 0)
    return fail (e, where, "an address such as 10.0.0.1:8080");
  return TRUE;
}

static gboolean
positive (const json_t *o, const char *where, const char *key, double *out, GError **e)
{
  if (!hr_json_num (o, key, out) || *out <= 0 || *out > 1e9)
    return fail (e, where, "a number above 0");
  return TRUE;
}

static gboolean
amount (const json_t *o, const char *where, const char *key, double *out, GError **e)
{
  if (!hr_json_num (o, key, out) || *out < 0)
    return fail (e, where, "a number, 0 or more");
  return TRUE;
}

/* An announced limit, which may be missing. */
static gboolean
announced (const json_t *next, const char *where, const char *key, double *limit, GError **e)
{
  double value;
  if (!json_object_get (next, key) || json_is_null (json_object_get (next, key)))
    return TRUE;
  if (!positive (next, where, key, &value, e))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

/* Elections change two keys at once. */
#define MIN_TRANSACTION_OPS 2

static gboolean
read_planned (HrSettings *s, const json_t *next, GError **e)
{
  double ops = s->txn_ops;
  s->planned = (HrStateLimits){s->state_rps, s->state_write_rps, s->value_kb, s->txn_ops};
  if (!announced (next, "facts.state.next.rps", "rps", &s->planned.rps, e) ||
      !announced (next, "facts.state.next.write_rps", "write_rps", &s->planned.write_rps, e) ||
      !announced (next, "facts.state.next.value_kb", "value_kb", &s->planned.value_kb, e) ||
      !announced (next, "facts.state.next.txn_ops", "txn_ops", &ops, e))
    return FALSE;
  if (ops < MIN_TRANSACTION_OPS)
    return fail (e, "facts.state.next.txn_ops", "at least 2 changes a transaction");
  s->planned.txn_ops = ops;
  return TRUE;
}

static gboolean
read_facts (HrSettings *s, const json_t *facts, HrNames *names, GError **e)
{
  const json_t *w = json_object_get (facts, "workers"), *st = json_object_get (facts, "state"),
               *cl = json_object_get (facts, "cloud");
  double ops;
  if (!positive (w, "facts.workers.report_s", "report_s", &s->report_s, e) ||
      !positive (w, "facts.workers.lease_s", "lease_s", &s->lease_s, e) ||
      !positive (w, "facts.workers.gang_wait_s", "gang_wait_s", &s->gang_wait_s, e) ||
      !positive (w, "facts.workers.gang_peer_s", "gang_peer_s", &s->gang_peer_s, e) ||
      !positive (w, "facts.workers.cancel_s", "cancel_s", &s->cancel_s, e) ||
      !positive (st, "facts.state.rps", "rps", &s->state_rps, e) ||
      !positive (st, "facts.state.write_rps", "write_rps", &s->state_write_rps, e) ||
      !positive (st, "facts.state.value_kb", "value_kb", &s->value_kb, e) ||
      !positive (st, "facts.state.txn_ops", "txn_ops", &ops, e) ||
      !positive (cl, "facts.cloud.rps", "rps", &s->cloud_rps, e) ||
      !amount (cl, "facts.cloud.list_lag_s", "list_lag_s", &s->list_lag_s, e))
    return FALSE;
  if (ops < 3)
    return fail (e, "facts.state.txn_ops", "at least 3 changes a transaction");
  s->txn_ops = MIN (ops, 1000);
  if (!read_planned (s, json_object_get (st, "next"), e))
    return FALSE;
  double sockets = 1024;
  hr_json_num (json_object_get (facts, "machine_limits"), "fd_limit", &sockets);
  if (sockets < 64)
    return fail (e, "facts.machine_limits.fd_limit", "at least 64 sockets");
  s->sockets = MIN (sockets, 1e6);
  if (s->cancel_s <= s->lease_s + 2)
    return fail (e, "facts.workers.cancel_s", "more than lease_s and two seconds");
  const json_t *teams = json_object_get (facts, "teams"),
               *aims = json_object_get (facts, "objectives");
  if (!json_is_array (teams) || json_array_size (teams) == 0)
    return fail (e, "facts.teams", "an array with at least one team");
  size_t i;
  json_t *o;
  json_array_foreach (teams, i, o)
  {
    HrTeam t = {0};
    const char *name = hr_json_str (o, "name");
    if (!name || !*name)
      return fail (e, "facts.teams[].name", "a text that is not empty");
    if (!amount (o, "facts.teams[].cpus", "cpus", &t.cpus, e) ||
        !amount (o, "facts.teams[].gpus", "gpus", &t.gpus, e) ||
        !amount (o, "facts.teams[].cpus_max", "cpus_max", &t.cpus_max, e) ||
        !amount (o, "facts.teams[].gpus_max", "gpus_max", &t.gpus_max, e))
      return FALSE;
    t.team = hr_intern (&names->teams, name);
    g_array_append_val (s->teams, t);
  }
  json_array_foreach (aims, i, o)
  {
    const char *kind = hr_json_str (o, "kind"), *k = hr_json_str (o, "class");
    if (!kind || !k)
      continue; /* an aim of a kind we don't know steers nothing */
    HrObjective a = {HR_OBJECTIVE_OTHER, hr_intern (&names->classes, k), 0, 0};
    if (g_str_equal (kind, "wait"))
      a.kind = HR_OBJECTIVE_WAIT;
    else if (g_str_equal (kind, "deadline"))
      a.kind = HR_OBJECTIVE_DEADLINE;
    else if (g_str_equal (kind, "finished"))
      a.kind = HR_OBJECTIVE_FINISHED;
    else if (g_str_equal (kind, "up"))
      a.kind = HR_OBJECTIVE_UP;
    hr_json_num (o, a.kind == HR_OBJECTIVE_UP ? "after_s" : "within_s", &a.within_s);
    hr_json_num (o, "share", &a.share);
    g_array_append_val (s->objectives, a);
  }
  return TRUE;
}

HrSettings *
hr_settings_parse (const json_t *root, HrNames *names, GError **e)
{
  g_autoptr (HrSettings) s = g_new0 (HrSettings, 1);
  s->members = g_array_new (FALSE, TRUE, sizeof (HrMember));
  g_array_set_clear_func (s->members, member_clear);
  s->teams = g_array_new (FALSE, TRUE, sizeof (HrTeam));
  s->objectives = g_array_new (FALSE, TRUE, sizeof (HrObjective));
  if (!json_is_object (root)) {
    fail (e, "(the whole file)", "a JSON object");
    return NULL;
  }
  const json_t *out = json_object_get (root, "outside");
  if (!text (root, "label", "label", &s->label, e) || !text (root, "area", "area", &s->zone, e) ||
      !address (root, "front", "front", &s->front, e) ||
      !address (root, "back", "back", &s->back, e) ||
      !address (out, "outside.cloud", "cloud", &s->cloud, e) ||
      !address (out, "outside.state", "state", &s->state, e))
    return NULL;
  const json_t *members = json_object_get (root, "members");
  if (!json_is_array (members)) {
    fail (e, "members", "an array");
    return NULL;
  }
  size_t i;
  json_t *o;
  json_array_foreach (members, i, o)
  {
    HrMember m = {0};
    gboolean ok = text (o, "members[].label", "label", &m.label, e) &&
                  address (o, "members[].endpoint", "endpoint", &m.endpoint, e);
    m.zone = g_strdup (hr_json_str (o, "area"));
    if (!ok) {
      member_clear (&m);
      return NULL;
    }
    g_array_append_val (s->members, m);
  }
  s->home = hr_intern (&names->zones, s->zone);
  for (guint k = 0; k < s->members->len; k++)
    if (g_strcmp0 (g_array_index (s->members, HrMember, k).zone, s->zone) != 0)
      s->home = HR_NONE;
  if (!read_facts (s, json_object_get (root, "facts"), names, e))
    return NULL;
  return g_steal_pointer (&s);
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
  HrSettings *s = hr_settings_parse (root, names, error);
  json_decref (root);
  if (!s)
    g_prefix_error (error, "%s: ", path);
  return s;
}

void
hr_settings_free (HrSettings *s)
{
  if (!s)
    return;
  g_free (s->label);
  g_free (s->zone);
  g_free (s->front);
  g_free (s->back);
  g_free (s->cloud);
  g_free (s->state);
  g_array_unref (s->members);
  g_array_unref (s->teams);
  g_array_unref (s->objectives);
  g_free (s);
}
