/* The simulated state store. src/bookkeeping/record_fields.h explains the members of records ("s",
 * "w", "x" and others), src/bookkeeping/store_keys.h the keys. */
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"
#include <stdlib.h>
#include <string.h>

typedef struct {
  char *text; /* the value */
  guint64 revision, lease_id;
} StoreKey;

typedef struct {
  char *path, *text; /* text NULL: deleted */
  guint64 revision;
} StoreChange;

typedef struct {
  guint64 id;
  double expires_at, duration_s;
} StoreLease;

typedef struct {
  SimRequest *request;
  char *prefix;
  guint64 after;
  double expires_at;
} StoreWatch;

static void
key_free (gpointer data)
{
  StoreKey *k = data;
  g_free (k->text);
  g_free (k);
}

/* Records the time for each machine that has ended and that the record named before this change. */
static void
note_last_reference (SimCluster *cluster, const char *path)
{
  StoreKey *old = g_hash_table_lookup (cluster->keys, path);
  for (guint i = 0; old && i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    if (machine->gone && strstr (old->text, machine->name))
      machine->last_referenced_at = cluster->now;
  }
}

static void
apply_change (SimCluster *cluster, const char *path, char *text, guint64 lease_id)
{
  note_last_reference (cluster, path);
  StoreChange entry = {g_strdup (path), g_strdup (text), cluster->epoch};
  g_array_append_val (cluster->log, entry);
  if (!text) {
    g_hash_table_remove (cluster->keys, path);
    return;
  }
  StoreKey *k = g_new0 (StoreKey, 1);
  k->text = text;
  k->revision = cluster->epoch;
  k->lease_id = lease_id;
  g_hash_table_replace (cluster->keys, g_strdup (path), k);
}

static char *
changes_text (SimCluster *cluster, const char *prefix, guint64 after, guint *n)
{
  json_t *log = json_array ();
  *n = 0;
  for (guint i = 0; i < cluster->log->len; i++) {
    StoreChange *entry = &g_array_index (cluster->log, StoreChange, i);
    if (entry->revision <= after || !g_str_has_prefix (entry->path, prefix))
      continue;
    json_t *object = json_pack ("{sssI}", entry->text ? "set" : "delete", entry->path, "stamp",
                                (json_int_t)entry->revision);
    if (entry->text)
      json_object_set_new (object, "value", json_loads (entry->text, JSON_DECODE_ANY, NULL));
    json_array_append_new (log, object);
    ++*n;
  }
  return hr_json_take_text (json_pack ("{sIso}", "epoch", (json_int_t)cluster->epoch, "log", log));
}

/* Answers the watches that have changes or whose time is over. */
static void
answer_watches (SimCluster *cluster)
{
  if (cluster->store_outage_until > cluster->now)
    return; /* open watches stay open */
  for (guint i = 0; i < cluster->watches->len;) {
    StoreWatch *watch = cluster->watches->pdata[i];
    guint n;
    g_autofree char *text = changes_text (cluster, watch->prefix, watch->after, &n);
    SimNode *node = &cluster->nodes[watch->request->node];
    if ((!n && watch->expires_at > cluster->now) || node->store_refuses_until > cluster->now) {
      i++;
      continue;
    }
    sim_send_response (cluster, watch->request, 200, g_steal_pointer (&text));
    req_unref (watch->request);
    g_free (watch->prefix);
    g_free (watch);
    g_ptr_array_remove_index (cluster->watches, i);
  }
}

static void
leases_tick (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, cluster->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    StoreLease *lease = value;
    if (cluster->store_outage_until > cluster->now)
      lease->expires_at =
          cluster->store_outage_until +
          lease->duration_s; /* after an outage every lease gets its full duration again */
    else if (lease->expires_at < cluster->now)
      g_ptr_array_add (expired, lease);
  }
  for (guint i = 0; i < expired->len; i++) {
    StoreLease *lease = expired->pdata[i];
    g_autoptr (GPtrArray) paths = g_ptr_array_new_with_free_func (g_free);
    gpointer k;
    g_hash_table_iter_init (&iter, cluster->keys);
    while (g_hash_table_iter_next (&iter, &k, &value))
      if (((StoreKey *)value)->lease_id == lease->id)
        g_ptr_array_add (paths, g_strdup (k));
    if (paths->len)
      cluster->epoch++;
    for (guint d = 0; d < paths->len; d++)
      apply_change (cluster, paths->pdata[d], NULL, 0);
    g_hash_table_remove (cluster->leases, &lease->id);
  }
  answer_watches (cluster);
  sim_schedule (cluster, cluster->now + 0.05, leases_tick, NULL);
}

/* Checks that no task is placed on a machine that ended more than 45 s ago, whatever late copies of
 * its heartbeats say. That is longer than the machine may appear alive, than an outage lasts and
 * than a write takes. */
static void
check_placement (SimCluster *cluster, const char *task, const char *machine)
{
  for (guint i = 0; machine && i < cluster->machines->len; i++) {
    SimMachine *host = cluster->machines->pdata[i];
    if (host->gone && cluster->now - host->gone_at > 45 && strcmp (host->name, machine) == 0)
      sim_report_violation (cluster, "stale", "%s is placed on %s, which ended %.0f s ago", task,
                            machine, cluster->now - host->gone_at);
  }
}

static gboolean
is_record (const char *path)
{
  return g_str_has_prefix (path, "h/j/") || g_str_has_prefix (path, "h/t/") ||
         g_str_has_prefix (path, "h/u/");
}

/* Returns the number of tasks per page: from the page's key, or from the job's main record. */
static guint
page_size (SimCluster *cluster, const char *path, const char *id)
{
  if (path[2] == 'u')
    return atoi (path + strlen ("h/u/") + strlen (id) + 1);
  g_autofree char *main = g_strconcat ("h/j/", id, NULL);
  StoreKey *k = g_hash_table_lookup (cluster->keys, main);
  json_t *object = k ? json_loads (k->text, 0, NULL) : NULL;
  guint n = json_integer_value (json_object_get (object, "q"));
  json_decref (object);
  return n;
}

/* Records which process wrote each assignment first: the record's tag begins with the incarnation
 * of its writer. */
static void
note_assignments (SimCluster *cluster, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *value = json_object_get (put, "value"), *entry;
  const char *tag = json_string_value (json_object_get (value, "w"));
  size_t i;
  if (!path || !tag || !is_record (path))
    return;
  const char *page = path[2] == 'j' ? NULL : strrchr (path, '/');
  g_autofree char *id = g_strndup (path + 4, strcspn (path + 4, "/"));
  guint first = page ? atoi (page + 1) * page_size (cluster, path, id) : 0;
  json_array_foreach (json_object_get (value, "x"), i, entry)
  {
    g_autofree char *key = g_strdup_printf ("%s/%u/%d", id, first + (guint)i,
                                            (int)json_integer_value (json_array_get (entry, 2)));
    if (json_is_array (entry) && !g_hash_table_contains (cluster->assignment_recorders, key))
      check_placement (cluster, key, json_string_value (json_array_get (entry, 0)));
    if (json_is_array (entry) && !g_hash_table_contains (cluster->assignment_recorders, key))
      g_hash_table_insert (cluster->assignment_recorders, g_steal_pointer (&key),
                           g_strndup (tag, strcspn (tag, ".")));
  }
}

/* Checks that a write with assignments of a job that is not cancelled is conditional on the leader
 * record's revision; otherwise a late write of a former leader would succeed. */
static void
check_fence (SimCluster *cluster, json_t *when, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *value = json_object_get (put, "value"), *entry, *tasks = json_object_get (value, "x");
  size_t i;
  gboolean bound = FALSE, fenced = FALSE;
  if (!path || !is_record (path) || json_integer_value (json_object_get (value, "s")) == 2)
    return;
  json_array_foreach (tasks, i, entry) bound |= json_is_array (entry);
  json_array_foreach (when, i, entry) fenced |=
      g_strcmp0 (json_string_value (json_object_get (entry, "path")), "h/map") == 0;
  if (bound && !fenced)
    sim_report_violation (cluster, "fence",
                          "%s is written without a condition on the leader record", path);
}

/* Records the incarnation and token of a separate process that has written the leader record. */
static void
note_process (SimCluster *cluster, int node, json_t *map)
{
  guint64 token = json_integer_value (json_object_get (map, "b"));
  g_free (cluster->nodes[node].incarnation);
  cluster->nodes[node].incarnation = g_strdup (json_string_value (json_object_get (map, "i")));
  g_hash_table_insert (cluster->token_nodes, g_memdup2 (&token, sizeof token),
                       GINT_TO_POINTER (node));
}

/* Records the writes that a leader must read soon: changes of the leader record, and cancellations
 * (checked by node_check_kills in node_checks.c). */
static void
note_decision (SimCluster *cluster, const SimRequest *request, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *state = json_object_get (json_object_get (put, "value"), "s");
  if (json_integer_value (state) == 2 && g_str_has_prefix (path, "h/j/")) {
    guint32 index;
    SimJob *job = job_by_id (cluster, path + strlen ("h/j/"), &index);
    if (job && !job->cancelled_at)
      job->cancelled_at = cluster->now;
    if (!g_hash_table_contains (cluster->cancelled_jobs, path + 4))
      g_hash_table_insert (cluster->cancelled_jobs, g_strdup (path + 4),
                           g_memdup2 (&cluster->epoch, sizeof cluster->epoch));
  }
  if (g_strcmp0 (path, "h/map") != 0)
    return;
  if (cluster->controllers)
    note_process (cluster, request->node, json_object_get (put, "value"));
  for (int k = 0; k < cluster->n; k++)
    if (k != request->node) {
      SimNode *n = &cluster->nodes[k];
      if (!n->unread_leader_change_at)
        n->unread_leader_change_at = cluster->now;
      n->unread_leader_change_epoch = cluster->epoch;
    }
}

/* Checks that no record which the release in production would misread is written while one of its
 * processes may run. */
static void
check_record_format (SimCluster *cluster, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  gboolean new_format =
      path && (g_str_has_prefix (path, "h/u/") || strcmp (path, "h/format") == 0 ||
               json_object_get (json_object_get (put, "value"), "u"));
  for (int k = 0; new_format && k < cluster->n; k++)
    if (!cluster->nodes[k].record_format)
      sim_report_violation (cluster, "form",
                            "%s is written while c%d may run the release in production", path, k);
}

static gboolean
limits_dropped (SimCluster *cluster)
{
  return cluster->limits_drop_at > 0 && cluster->now >= cluster->limits_drop_at;
}

/* Returns whether the value is refused for its size. Checks that a process of the new version does
 * not send a refused value again and again. */
static gboolean
refuse_size (SimCluster *cluster, SimRequest *request, json_t *put)
{
  if (!json_object_get (put, "value"))
    return FALSE;
  const char *path = json_string_value (json_object_get (put, "set"));
  g_autofree char *text = hr_json_take_text (json_incref (json_object_get (put, "value")));
  if (!cluster->production && strlen (text) > NEXT_VALUE_KB * 1024)
    sim_report_violation (cluster, "limit", "a value of %zu bytes for %s", strlen (text), path);
  if (strlen (text) <= (limits_dropped (cluster) ? NEXT_VALUE_KB : cluster->value_kb) * 1024)
    return FALSE;
  guint *times = g_hash_table_lookup (cluster->too_large, path);
  if (!times) {
    times = g_new0 (guint, 1);
    g_hash_table_insert (cluster->too_large, g_strdup (path), times);
  }
  if (++*times > 6 && cluster->nodes[request->node].record_format)
    sim_report_violation (cluster, "spin", "a value of %zu bytes for %s is sent for the %uth time",
                          strlen (text), path, *times);
  return TRUE;
}

static gboolean
refuse_rate (SimCluster *cluster, guint changes)
{
  if (!limits_dropped (cluster))
    return FALSE;
  cluster->write_tokens =
      MIN (NEXT_WRITE_RPS,
           cluster->write_tokens + (cluster->now - cluster->write_tokens_at) * NEXT_WRITE_RPS);
  cluster->write_tokens_at = cluster->now;
  if (cluster->write_tokens < changes)
    return TRUE;
  cluster->write_tokens -= changes;
  return FALSE;
}

/* Returns the status with which the store refuses a transaction before it compares revisions, and
 * sets the error; 0: it is not refused. */
static int
refuse_commit (SimCluster *cluster, SimRequest *request, json_t *when, json_t *writes,
               const char **error)
{
  json_t *entry;
  size_t i;
  gboolean lease_gone = FALSE, too_large = FALSE;
  guint changes = json_array_size (writes);
  json_array_foreach (writes, i, entry)
  {
    guint64 lease_id = json_integer_value (json_object_get (entry, "claim"));
    check_fence (cluster, when, entry);
    lease_gone |= lease_id && !g_hash_table_contains (cluster->leases, &lease_id);
    check_record_format (cluster, entry);
    too_large |= refuse_size (cluster, request, entry);
  }
  too_large |= limits_dropped (cluster) && changes > NEXT_TXN_OPS;
  if (!cluster->production && changes > NEXT_TXN_OPS)
    sim_report_violation (cluster, "limit", "%u changes in a transaction", changes);
  if (too_large || refuse_rate (cluster, changes)) {
    *error =
        too_large ? "{\"error\":\"the value is too large\"}" : "{\"error\":\"too many changes\"}";
    return too_large ? 400 : 429;
  }
  *error = "{\"error\":\"no such lease\"}";
  return lease_gone ? 400 : 0;
}

/* Returns the paths whose revision differs from the transaction's condition; the caller
 * unreferences the array. */
static json_t *
failed_conditions (SimCluster *cluster, json_t *when)
{
  json_t *failed = json_array (), *entry;
  size_t i;
  json_array_foreach (when, i, entry)
  {
    const char *path = json_string_value (json_object_get (entry, "path"));
    StoreKey *key = g_hash_table_lookup (cluster->keys, path);
    if ((guint64)json_integer_value (json_object_get (entry, "stamp")) != (key ? key->revision : 0))
      json_array_append_new (failed, json_string (path));
  }
  return failed;
}

static void
apply_writes (SimCluster *cluster, SimRequest *request, json_t *writes)
{
  json_t *entry;
  size_t i;
  if (json_array_size (writes) > 12)
    sim_report_violation (cluster, "limit", "%zu changes in a transaction",
                          json_array_size (writes));
  if (json_array_size (writes))
    cluster->epoch++;
  json_array_foreach (writes, i, entry)
  {
    const char *path = json_string_value (json_object_get (entry, "set"));
    json_t *value = json_object_get (entry, "value");
    note_assignments (cluster, entry);
    note_decision (cluster, request, entry);
    if (g_strcmp0 (path, "h/map") == 0)
      faults_on_leader_record (cluster, value);
    if (path)
      apply_change (cluster, path, hr_json_take_text (json_incref (value)),
                    json_integer_value (json_object_get (entry, "claim")));
    else
      apply_change (cluster, json_string_value (json_object_get (entry, "delete")), NULL, 0);
  }
}

static void
commit (SimCluster *cluster, SimRequest *request)
{
  json_t *object = request->body ? json_loads (request->body, 0, NULL) : NULL;
  json_t *when = json_object_get (object, "when"), *writes = json_object_get (object, "writes");
  const char *error;
  int refused = refuse_commit (cluster, request, when, writes, &error);
  if (refused) {
    sim_send_response (cluster, request, refused, g_strdup (error));
    json_decref (object);
    return;
  }
  json_t *failed = failed_conditions (cluster, when);
  if (json_array_size (failed)) {
    sim_send_response (cluster, request, 409,
                       hr_json_take_text (json_pack ("{sosI}", "failed", failed, "epoch",
                                                     (json_int_t)cluster->epoch)));
    json_decref (object);
    return;
  }
  json_decref (failed);
  apply_writes (cluster, request, writes);
  sim_send_response (cluster, request, 200,
                     g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", cluster->epoch));
  json_decref (object);
  faults_trigger (cluster, ON_WRITE_DONE);
  answer_watches (cluster);
}

gboolean
store_references_machine (SimCluster *cluster, const char *machine)
{
  GHashTableIter iter;
  gpointer k;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, NULL, &k))
    if (strstr (((StoreKey *)k)->text, machine))
      return TRUE;
  return FALSE;
}

guint
store_corrupt_pages (SimCluster *cluster)
{
  GHashTableIter iter;
  gpointer path, k;
  guint n = 0;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, &path, &k))
    if (g_str_has_prefix (path, "h/t/")) {
      g_free (((StoreKey *)k)->text);
      ((StoreKey *)k)->text = g_strdup ("{\"w\":\"torn\",\"x\":[0,\"m-0\",1]}");
      n++;
    }
  return n;
}

guint
store_count_obsolete_pages (SimCluster *cluster)
{
  GHashTableIter iter;
  gpointer path;
  guint n = 0;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, &path, NULL)) {
    if (!is_record (path) || g_str_has_prefix (path, "h/j/"))
      continue;
    const char *rest = (char *)path + strlen ("h/t/");
    g_autofree char *id = g_strndup (rest, strcspn (rest, "/"));
    g_autofree char *main = g_strconcat ("h/j/", id, NULL);
    StoreKey *k = g_hash_table_lookup (cluster->keys, main);
    n += k && !strstr (k->text, "\"j\":"); /* a tombstone has no specification */
  }
  return n;
}

guint
store_count_oversized_records (SimCluster *cluster)
{
  GHashTableIter iter;
  gpointer path, k;
  guint n = 0;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, &path, &k))
    n += is_record (path) && strlen (((StoreKey *)k)->text) > NEXT_VALUE_KB * 1024;
  return n;
}

gboolean
store_job_is_split (SimCluster *cluster, const char *id)
{
  g_autofree char *main = g_strconcat ("h/j/", id, NULL);
  StoreKey *k = g_hash_table_lookup (cluster->keys, main);
  return k && strstr (k->text, "\"u\":1");
}

void
store_preload (SimCluster *cluster, const char *path, const char *text)
{
  cluster->epoch++;
  apply_change (cluster, path, g_strdup (text), 0);
}

gboolean
store_has_key (SimCluster *cluster, const char *path)
{
  return g_hash_table_contains (cluster->keys, path);
}

int
store_leader (SimCluster *cluster)
{
  StoreKey *k = g_hash_table_lookup (cluster->keys, "h/map");
  json_t *object = k ? json_loads (k->text, 0, NULL) : NULL;
  const char *label = json_string_value (json_object_get (object, "o"));
  int node = label ? label[1] - '0' : -1;
  json_decref (object);
  return node;
}

static char *
query (const char *path, const char *name)
{
  const char *text = strchr (path, '?');
  g_autofree char *prefix = g_strconcat (name, "=", NULL);
  g_auto (GStrv) fields = g_strsplit (text ? text + 1 : "", "&", -1);
  for (guint i = 0; fields[i]; i++)
    if (g_str_has_prefix (fields[i], prefix))
      return g_strdup (fields[i] + strlen (prefix));
  return NULL;
}

static int
by_text (gconstpointer left, gconstpointer right)
{
  return strcmp (*(char *const *)left, *(char *const *)right);
}

static void
list_keys (SimCluster *cluster, SimRequest *request)
{
  g_autofree char *prefix = query (request->path, "starts"),
                  *after = query (request->path, "after");
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  if (!after)
    cluster->nodes[request->node].compacted_epoch = 0; /* it begins a new snapshot read */
  GHashTableIter iter;
  gpointer k;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, &k, NULL))
    if (g_str_has_prefix (k, prefix) && (!after || strcmp (k, after) > 0))
      g_ptr_array_add (keys, k);
  g_ptr_array_sort (keys, by_text);
  json_t *rows = json_array ();
  for (guint i = 0; i < keys->len && i < 7; i++) { /* short pages, so that paging is tested */
    StoreKey *key = g_hash_table_lookup (cluster->keys, keys->pdata[i]);
    json_array_append_new (rows, json_pack ("{sssosI}", "path", keys->pdata[i], "value",
                                            json_loads (key->text, JSON_DECODE_ANY, NULL), "stamp",
                                            (json_int_t)key->revision));
  }
  sim_send_response (cluster, request, 200,
                     hr_json_take_text (json_pack ("{sosbsI}", "rows", rows, "more", keys->len > 7,
                                                   "epoch", (json_int_t)cluster->epoch)));
}

static void
lease_request (SimCluster *cluster, SimRequest *request)
{
  guint64 id = 0;
  if (strcmp (request->path, "/leases") == 0) {
    json_t *object = json_loads (request->body, 0, NULL);
    StoreLease *lease = g_new0 (StoreLease, 1);
    lease->id = ++cluster->last_lease_id;
    lease->duration_s = json_integer_value (json_object_get (object, "life_ms")) / 1000.0;
    lease->expires_at = cluster->now + lease->duration_s;
    json_decref (object);
    g_hash_table_insert (cluster->leases, &lease->id, lease);
    sim_send_response (cluster, request, 200,
                       g_strdup_printf ("{\"claim\":%" G_GUINT64_FORMAT "}", lease->id));
    return;
  }
  id = g_ascii_strtoull (request->path + strlen ("/leases/"), NULL, 10);
  StoreLease *lease = g_hash_table_lookup (cluster->leases, &id);
  if (!lease) {
    sim_send_response (cluster, request, 404, g_strdup ("{}"));
    return;
  }
  lease->expires_at =
      request->method == HR_DELETE ? cluster->now - 1 : cluster->now + lease->duration_s;
  sim_send_response (cluster, request, 200, g_strdup ("{}"));
}

void
store_request (SimCluster *cluster, SimRequest *request)
{
  if (cluster->store_outage_until > cluster->now ||
      cluster->nodes[request->node].store_refuses_until > cluster->now)
    sim_send_response (cluster, request, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (request->path, "/commit") == 0)
    commit (cluster, request);
  else if (g_str_has_prefix (request->path, "/leases"))
    lease_request (cluster, request);
  else if (g_str_has_prefix (request->path, "/kv?"))
    list_keys (cluster, request);
  else if (g_str_has_prefix (request->path, "/kv/")) {
    StoreKey *k = g_hash_table_lookup (cluster->keys, request->path + 4);
    if (!k)
      sim_send_response (cluster, request, 404,
                         g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", cluster->epoch));
    else
      sim_send_response (
          cluster, request, 200,
          hr_json_take_text (json_pack ("{sssosI}", "path", request->path + 4, "value",
                                        json_loads (k->text, JSON_DECODE_ANY, NULL), "stamp",
                                        (json_int_t)k->revision)));
  } else if (g_str_has_prefix (request->path, "/changes?")) {
    g_autofree char *after = query (request->path, "after"),
                    *hold = query (request->path, "hold_ms");
    guint64 too_old = cluster->nodes[request->node].compacted_epoch;
    if (too_old && g_ascii_strtoull (after, NULL, 10) <= too_old) {
      sim_send_response (cluster, request, 410, g_strdup ("{\"error\":\"too old\"}"));
      return;
    }
    StoreWatch *watch = g_new0 (StoreWatch, 1);
    watch->request = request;
    request->refs++;
    watch->prefix = query (request->path, "starts");
    watch->after = g_ascii_strtoull (after, NULL, 10);
    watch->expires_at = cluster->now + g_ascii_strtod (hold, NULL) / 1000;
    g_ptr_array_add (cluster->watches, watch);
    answer_watches (cluster);
  } else
    sim_report_violation (cluster, "protocol", "unexpected request to the state store: %s",
                          request->path);
}

static void
change_clear (gpointer data)
{
  StoreChange *entry = data;
  g_free (entry->path);
  g_free (entry->text);
}

void
store_set_format (SimCluster *cluster, gboolean known)
{
  if (!known) {
    g_hash_table_remove (cluster->keys, "h/format");
    return;
  }
  StoreKey *k = g_new0 (StoreKey, 1);
  k->text = g_strdup_printf ("{\"f\":%d}", HR_NEWEST_RECORD_FORMAT);
  k->revision = ++cluster->epoch;
  g_hash_table_replace (cluster->keys, g_strdup ("h/format"), k);
}

void
store_init (SimCluster *cluster)
{
  cluster->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
  cluster->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  cluster->log = g_array_new (FALSE, TRUE, sizeof (StoreChange));
  g_array_set_clear_func (cluster->log, change_clear);
  cluster->watches = g_ptr_array_new ();
  cluster->too_large = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster->token_nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  cluster->assignment_recorders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store_set_format (cluster, TRUE);
  cluster->cancelled_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sim_schedule (cluster, 0.05, leases_tick, NULL);
}

const char *
store_text (SimCluster *cluster, const char *key)
{
  const StoreKey *k = g_hash_table_lookup (cluster->keys, key);
  return k ? k->text : "";
}

void
store_free (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->watches->len; i++) {
    StoreWatch *watch = cluster->watches->pdata[i];
    g_free (watch->prefix);
    req_unref (watch->request);
    g_free (watch);
  }
  g_ptr_array_unref (cluster->watches);
  g_hash_table_unref (cluster->keys);
  g_hash_table_unref (cluster->leases);
  g_array_unref (cluster->log);
  g_hash_table_unref (cluster->token_nodes);
  g_hash_table_unref (cluster->assignment_recorders);
  g_hash_table_unref (cluster->too_large);
  g_hash_table_unref (cluster->cancelled_jobs);
}
