#include "protocol/settings.h"
#include "protocol/json_util.h"
#include <gio/gio.h>
#include <string.h>

/* Maximum value of a setting that must be above 0. */
#define MAX_NUMBER 1e9
/* Minimum for the announced limit of changes per transaction: an election changes two keys at once.
 */
#define MIN_PLANNED_TRANSACTION_OPS 2
/* Range of the limit of changes per transaction that is in force. */
#define MIN_TRANSACTION_OPS 3
#define MAX_TRANSACTION_OPS 1000
/* Number of sockets of this process. */
#define DEFAULT_SOCKETS 1024
#define MIN_SOCKETS 64
#define MAX_SOCKETS 1e6
/* cancel_s must exceed lease_s by more than this: a machine that cannot be reached stops its tasks
 * only when its lease expires. */
#define CANCEL_MARGIN_S 2

static const HrJsonMember controller_members[] = {
    {.name = "label"}, {.name = "area"}, {.name = "endpoint"}, {.name = NULL}};
static const HrJsonMember service_members[] = {
    {.name = "cloud"}, {.name = "state"}, {.name = NULL}};
static const HrJsonMember team_members[] = {{.name = "name"},     {.name = "cpus"},
                                            {.name = "gpus"},     {.name = "cpus_max"},
                                            {.name = "gpus_max"}, {.name = NULL}};
static const HrJsonMember objective_members[] = {{.name = "kind"},     {.name = "class"},
                                                 {.name = "within_s"}, {.name = "after_s"},
                                                 {.name = "share"},    {.name = NULL}};
static const HrJsonMember worker_members[] = {{.name = "report_s"},    {.name = "lease_s"},
                                              {.name = "gang_wait_s"}, {.name = "gang_peer_s"},
                                              {.name = "cancel_s"},    {.name = NULL}};
static const HrJsonMember limit_members[] = {{.name = "rps"},
                                             {.name = "write_rps"},
                                             {.name = "value_kb"},
                                             {.name = "txn_ops"},
                                             {.name = NULL}};
static const HrJsonMember store_members[] = {
    {.name = "rps"},
    {.name = "write_rps"},
    {.name = "value_kb"},
    {.name = "txn_ops"},
    {.name = "next", .kind = HR_JSON_OBJECT, .members = limit_members},
    {.name = NULL}};
static const HrJsonMember cloud_members[] = {
    {.name = "rps"}, {.name = "list_lag_s"}, {.name = NULL}};
static const HrJsonMember machine_limit_members[] = {
    {.name = "fd_limit"}, {.name = "mem_mb"}, {.name = NULL}};
static const HrJsonMember fact_members[] = {
    {.name = "teams", .kind = HR_JSON_LIST, .members = team_members},
    {.name = "objectives", .kind = HR_JSON_LIST, .members = objective_members},
    {.name = "workers", .kind = HR_JSON_OBJECT, .members = worker_members},
    {.name = "state", .kind = HR_JSON_OBJECT, .members = store_members},
    {.name = "cloud", .kind = HR_JSON_OBJECT, .members = cloud_members},
    {.name = "machine_limits", .kind = HR_JSON_OBJECT, .members = machine_limit_members},
    {.name = NULL}};
static const HrJsonMember settings_members[] = {
    {.name = "label"},
    {.name = "area"},
    {.name = "front"},
    {.name = "back"},
    {.name = "members", .kind = HR_JSON_LIST, .members = controller_members},
    {.name = "outside", .kind = HR_JSON_OBJECT, .members = service_members},
    {.name = "facts", .kind = HR_JSON_OBJECT, .members = fact_members},
    {.name = NULL}};

static void
member_clear (gpointer data)
{
  HrMember *member = data;
  g_free (member->label);
  g_free (member->zone);
  g_free (member->endpoint);
}

/* Sets *error for an invalid setting. path: the setting's path in the file. Always returns FALSE,
 * so that callers can return the result. */
static gboolean
set_setting_error (GError **error, const char *path, const char *expected)
{
  g_set_error (error, HR_PROTOCOL_ERROR, HR_PROTOCOL_ERROR_SETTING, "setting %s: expected %s", path,
               expected);
  return FALSE;
}

static gboolean
read_text (const json_t *object, const char *path, const char *key, char **out, GError **error)
{
  const char *name = hr_json_str (object, key);
  if (!name || !*name)
    return set_setting_error (error, path, "a non-empty string");
  *out = g_strdup (name);
  return TRUE;
}

/* Accepts only IP:PORT, since deployments use no host names. */
static gboolean
read_address (const json_t *object, const char *path, const char *key, char **out, GError **error)
{
  if (!read_text (object, path, key, out, error))
    return FALSE;
  g_autoptr (GSocketConnectable) parsed = g_network_address_parse (*out, 0, NULL);
  const char *host = parsed ? g_network_address_get_hostname (G_NETWORK_ADDRESS (parsed)) : NULL;
  if (!host || !g_hostname_is_ip_address (host) ||
      g_network_address_get_port (G_NETWORK_ADDRESS (parsed)) == 0)
    return set_setting_error (error, path, "IP:PORT, such as 10.0.0.1:8080");
  return TRUE;
}

static gboolean
read_positive (const json_t *object, const char *path, const char *key, double *out, GError **error)
{
  if (!hr_json_num (object, key, out) || *out <= 0 || *out > MAX_NUMBER)
    return set_setting_error (error, path, "a number above 0, at most 1e9");
  return TRUE;
}

static gboolean
read_amount (const json_t *object, const char *path, const char *key, double *out, GError **error)
{
  if (!hr_json_num (object, key, out) || *out < 0)
    return set_setting_error (error, path, "a number of at least 0");
  return TRUE;
}

/* Lowers *limit to the announced limit, if there is one. */
static gboolean
read_announced_limit (const json_t *next, const char *path, const char *key, double *limit,
                      GError **error)
{
  double value;
  if (!json_object_get (next, key) || json_is_null (json_object_get (next, key)))
    return TRUE;
  if (!read_positive (next, path, key, &value, error))
    return FALSE;
  *limit = MIN (*limit, value);
  return TRUE;
}

static gboolean
read_planned_limits (HrSettings *settings, const json_t *next, GError **error)
{
  double ops = settings->txn_ops;
  settings->planned_limits = (HrStateLimits){settings->state_rps, settings->state_write_rps,
                                             settings->value_kb, settings->txn_ops};
  if (!read_announced_limit (next, "facts.state.next.rps", "rps", &settings->planned_limits.rps,
                             error) ||
      !read_announced_limit (next, "facts.state.next.write_rps", "write_rps",
                             &settings->planned_limits.write_rps, error) ||
      !read_announced_limit (next, "facts.state.next.value_kb", "value_kb",
                             &settings->planned_limits.value_kb, error) ||
      !read_announced_limit (next, "facts.state.next.txn_ops", "txn_ops", &ops, error))
    return FALSE;
  if (ops < MIN_PLANNED_TRANSACTION_OPS)
    return set_setting_error (error, "facts.state.next.txn_ops",
                              "at least 2 changes per transaction");
  settings->planned_limits.txn_ops = ops;
  return TRUE;
}

static gboolean
read_worker_facts (HrSettings *settings, const json_t *workers, GError **error)
{
  return read_positive (workers, "facts.workers.report_s", "report_s", &settings->report_s,
                        error) &&
         read_positive (workers, "facts.workers.lease_s", "lease_s", &settings->lease_s, error) &&
         read_positive (workers, "facts.workers.gang_wait_s", "gang_wait_s", &settings->gang_wait_s,
                        error) &&
         read_positive (workers, "facts.workers.gang_peer_s", "gang_peer_s", &settings->gang_peer_s,
                        error) &&
         read_positive (workers, "facts.workers.cancel_s", "cancel_s", &settings->cancel_s, error);
}

/* *ops: changes per transaction, whose range the caller checks. */
static gboolean
read_store_facts (HrSettings *settings, const json_t *state, double *ops, GError **error)
{
  return read_positive (state, "facts.state.rps", "rps", &settings->state_rps, error) &&
         read_positive (state, "facts.state.write_rps", "write_rps", &settings->state_write_rps,
                        error) &&
         read_positive (state, "facts.state.value_kb", "value_kb", &settings->value_kb, error) &&
         read_positive (state, "facts.state.txn_ops", "txn_ops", ops, error);
}

static gboolean
read_cloud_facts (HrSettings *settings, const json_t *cloud, GError **error)
{
  return read_positive (cloud, "facts.cloud.rps", "rps", &settings->cloud_rps, error) &&
         read_amount (cloud, "facts.cloud.list_lag_s", "list_lag_s", &settings->list_lag_s, error);
}

static gboolean
read_sockets (HrSettings *settings, const json_t *machine_limits, GError **error)
{
  double sockets = DEFAULT_SOCKETS;
  hr_json_num (machine_limits, "fd_limit", &sockets);
  if (sockets < MIN_SOCKETS)
    return set_setting_error (error, "facts.machine_limits.fd_limit", "a number of at least 64");
  settings->sockets = MIN (sockets, MAX_SOCKETS);
  return TRUE;
}

static gboolean
read_memory (HrSettings *settings, const json_t *machine_limits, GError **error)
{
  hr_json_num (machine_limits, "mem_mb", &settings->memory_mb);
  if (settings->memory_mb < 0)
    return set_setting_error (error, "facts.machine_limits.mem_mb", "a non-negative number");
  return TRUE;
}

static gboolean
read_teams (HrSettings *settings, const json_t *teams, HrNames *names, GError **error)
{
  if (!json_is_array (teams) || json_array_size (teams) == 0)
    return set_setting_error (error, "facts.teams", "an array with at least one team");
  size_t i;
  json_t *object;
  json_array_foreach (teams, i, object)
  {
    HrTeam team = {0};
    const char *name = hr_json_str (object, "name");
    if (!name || !*name)
      return set_setting_error (error, "facts.teams[].name", "a non-empty string");
    if (!read_amount (object, "facts.teams[].cpus", "cpus", &team.cpus, error) ||
        !read_amount (object, "facts.teams[].gpus", "gpus", &team.gpus, error) ||
        !read_amount (object, "facts.teams[].cpus_max", "cpus_max", &team.cpus_max, error) ||
        !read_amount (object, "facts.teams[].gpus_max", "gpus_max", &team.gpus_max, error))
      return FALSE;
    team.team = hr_intern (&names->teams, name);
    g_array_append_val (settings->teams, team);
  }
  return TRUE;
}

static HrObjectiveKind
objective_kind (const char *name)
{
  return g_str_equal (name, "wait")       ? HR_OBJECTIVE_WAIT
         : g_str_equal (name, "deadline") ? HR_OBJECTIVE_DEADLINE
         : g_str_equal (name, "finished") ? HR_OBJECTIVE_FINISHED
         : g_str_equal (name, "up")       ? HR_OBJECTIVE_UP
                                          : HR_OBJECTIVE_OTHER;
}

static void
read_objectives (HrSettings *settings, const json_t *objectives, HrNames *names)
{
  size_t i;
  json_t *object;
  json_array_foreach (objectives, i, object)
  {
    const char *kind = hr_json_str (object, "kind"), *job_class = hr_json_str (object, "class");
    if (!kind || !job_class)
      continue; /* an objective without a kind or a class has no effect */
    HrObjective objective = {objective_kind (kind), hr_intern (&names->classes, job_class), 0, 0};
    hr_json_num (object, objective.kind == HR_OBJECTIVE_UP ? "after_s" : "within_s",
                 &objective.within_s);
    hr_json_num (object, "share", &objective.share);
    g_array_append_val (settings->objectives, objective);
  }
}

static gboolean
read_facts (HrSettings *settings, const json_t *facts, HrNames *names, GError **error)
{
  const json_t *state = json_object_get (facts, "state");
  double ops;
  if (!read_worker_facts (settings, json_object_get (facts, "workers"), error) ||
      !read_store_facts (settings, state, &ops, error) ||
      !read_cloud_facts (settings, json_object_get (facts, "cloud"), error))
    return FALSE;
  if (ops < MIN_TRANSACTION_OPS)
    return set_setting_error (error, "facts.state.txn_ops", "at least 3 changes per transaction");
  settings->txn_ops = MIN (ops, MAX_TRANSACTION_OPS);
  const json_t *machine_limits = json_object_get (facts, "machine_limits");
  if (!read_planned_limits (settings, json_object_get (state, "next"), error) ||
      !read_sockets (settings, machine_limits, error) ||
      !read_memory (settings, machine_limits, error))
    return FALSE;
  if (settings->cancel_s <= settings->lease_s + CANCEL_MARGIN_S)
    return set_setting_error (error, "facts.workers.cancel_s", "more than lease_s + 2 seconds");
  if (!read_teams (settings, json_object_get (facts, "teams"), names, error))
    return FALSE;
  read_objectives (settings, json_object_get (facts, "objectives"), names);
  return TRUE;
}

static gboolean
read_addresses (HrSettings *settings, const json_t *root, GError **error)
{
  const json_t *outside = json_object_get (root, "outside");
  return read_text (root, "label", "label", &settings->label, error) &&
         read_text (root, "area", "area", &settings->zone, error) &&
         read_address (root, "front", "front", &settings->front, error) &&
         read_address (root, "back", "back", &settings->back, error) &&
         read_address (outside, "outside.cloud", "cloud", &settings->cloud, error) &&
         read_address (outside, "outside.state", "state", &settings->state, error);
}

static gboolean
read_members (HrSettings *settings, const json_t *members, GError **error)
{
  if (!json_is_array (members))
    return set_setting_error (error, "members", "an array");
  size_t i;
  json_t *object;
  json_array_foreach (members, i, object)
  {
    HrMember member = {0};
    gboolean ok = read_text (object, "members[].label", "label", &member.label, error) &&
                  read_address (object, "members[].endpoint", "endpoint", &member.endpoint, error);
    member.zone = g_strdup (hr_json_str (object, "area"));
    if (!ok) {
      member_clear (&member);
      return FALSE;
    }
    g_array_append_val (settings->members, member);
  }
  return TRUE;
}

/* Returns the zone of all controllers; HR_NONE if they are in several zones. */
static guint32
common_zone (const HrSettings *settings, HrNames *names)
{
  guint32 zone = hr_intern (&names->zones, settings->zone);
  for (guint i = 0; i < settings->members->len; i++)
    if (g_strcmp0 (g_array_index (settings->members, HrMember, i).zone, settings->zone) != 0)
      return HR_NONE;
  return zone;
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
    set_setting_error (error, "(top level)", "a JSON object");
    return NULL;
  }
  if (!read_addresses (settings, root, error) ||
      !read_members (settings, json_object_get (root, "members"), error))
    return NULL;
  settings->home_zone = common_zone (settings, names);
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
  json_t *root = hr_json_parse (data, len, settings_members, error);
  HrSettings *settings = root ? hr_settings_parse (root, names, error) : NULL;
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
