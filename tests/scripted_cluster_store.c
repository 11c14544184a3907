/* The simulated state store of tests/scripted_cluster.h, which carries out single requests, and a
 * simulated cloud that lists the machines that the test added and refuses every rental. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <string.h>

typedef struct {
  char *text; /* the value */
  guint64 revision, lease_id;
} Key;

typedef struct {
  char *path, *text; /* text NULL: deleted */
  guint64 revision;
} Change;

typedef struct {
  guint64 id;
  double ttl_s, expires_at;
} Lease;

static void
key_free (gpointer data)
{
  Key *k = data;
  g_free (k->text);
  g_free (k);
}

static void
change_clear (gpointer data)
{
  Change *entry = data;
  g_free (entry->path);
  g_free (entry->text);
}

void
cluster_store_init (Cluster *cluster)
{
  cluster->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
  cluster->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  cluster->log = g_array_new (FALSE, TRUE, sizeof (Change));
  g_array_set_clear_func (cluster->log, change_clear);
}

void
cluster_store_free (Cluster *cluster)
{
  g_hash_table_unref (cluster->keys);
  g_hash_table_unref (cluster->leases);
  g_array_unref (cluster->log);
}

/* Applies a change at the present revision. @text: (transfer full) (nullable): NULL deletes the
 * key */
static void
apply_change (Cluster *cluster, const char *path, char *text, guint64 lease_id)
{
  Change entry = {g_strdup (path), g_strdup (text), cluster->store_revision};
  g_array_append_val (cluster->log, entry);
  if (!text) {
    g_hash_table_remove (cluster->keys, path);
    return;
  }
  Key *k = g_new0 (Key, 1);
  k->text = text;
  k->revision = cluster->store_revision;
  k->lease_id = lease_id;
  g_hash_table_replace (cluster->keys, g_strdup (path), k);
}

static void
end_lease (Cluster *cluster, const Lease *lease)
{
  g_autoptr (GPtrArray) paths = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer path, key;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, &path, &key))
    if (((Key *)key)->lease_id == lease->id)
      g_ptr_array_add (paths, g_strdup (path));
  cluster->store_revision += paths->len > 0;
  for (guint i = 0; i < paths->len; i++)
    apply_change (cluster, paths->pdata[i], NULL, 0);
  g_hash_table_remove (cluster->leases, &lease->id);
}

static void
end_leases (Cluster *cluster)
{
  g_autoptr (GList) all = g_hash_table_get_values (cluster->leases);
  for (GList *link = all; link; link = link->next) {
    Lease *lease = link->data;
    if (cluster->store_outage)
      lease->expires_at = cluster->now + lease->ttl_s;
    else if (lease->expires_at < cluster->now)
      end_lease (cluster, lease);
  }
}

static json_t *
parse_value (const char *text)
{
  return json_loads (text, JSON_DECODE_ANY, NULL);
}

static gboolean
leases_exist (Cluster *cluster, json_t *writes)
{
  size_t i;
  json_t *entry;
  json_array_foreach (writes, i, entry)
  {
    guint64 lease_id = json_integer_value (json_object_get (entry, "claim"));
    if (lease_id && !g_hash_table_contains (cluster->leases, &lease_id))
      return FALSE;
  }
  return TRUE;
}

/* Takes the changes from the allowance: a token bucket that holds one second's worth. */
static gboolean
take_write_allowance (Cluster *cluster, guint changes)
{
  if (cluster->write_rps <= 0)
    return TRUE;
  cluster->write_tokens =
      MIN (cluster->write_rps,
           cluster->write_tokens + (cluster->now - cluster->write_tokens_at) * cluster->write_rps);
  cluster->write_tokens_at = cluster->now;
  if (cluster->write_tokens < changes) {
    cluster->refused_writes++;
    return FALSE;
  }
  cluster->write_tokens -= changes;
  return TRUE;
}

static char *
commit (Cluster *cluster, const ClusterCall *call, int *status)
{
  json_t *object = json_loads (call->body, 0, NULL), *entry, *failed = json_array ();
  json_t *writes = json_object_get (object, "writes");
  size_t i;
  if (!take_write_allowance (cluster, json_array_size (writes))) {
    *status = 429;
    json_decref (failed);
    json_decref (object);
    return g_strdup ("{\"error\":\"too many changes\"}");
  }
  if (!leases_exist (cluster, writes)) {
    *status = 400;
    json_decref (failed);
    json_decref (object);
    return g_strdup ("{\"error\":\"no such lease\"}");
  }
  json_array_foreach (json_object_get (object, "when"), i, entry)
  {
    const char *path = hr_json_str (entry, "path");
    if ((guint64)json_integer_value (json_object_get (entry, "stamp")) !=
        cluster_key_revision (cluster, path))
      json_array_append_new (failed, json_string (path));
  }
  *status = json_array_size (failed) ? 409 : 200;
  if (*status == 200 && json_array_size (writes)) {
    cluster->store_revision++;
    cluster->committed_transactions++;
    json_array_foreach (writes, i, entry)
    {
      const char *path = hr_json_str (entry, "set");
      if (path)
        apply_change (cluster, path,
                      hr_json_take_text (json_incref (json_object_get (entry, "value"))),
                      json_integer_value (json_object_get (entry, "claim")));
      else
        apply_change (cluster, hr_json_str (entry, "delete"), NULL, 0);
    }
  }
  json_decref (object);
  return hr_json_take_text (
      json_pack ("{sosI}", "failed", failed, "epoch", (json_int_t)cluster->store_revision));
}

static char *
query_value (const char *path, const char *name)
{
  const char *text = strchr (path, '?');
  g_autofree char *prefix = g_strconcat (name, "=", NULL);
  g_auto (GStrv) fields = g_strsplit (text ? text + 1 : "", "&", -1);
  for (guint i = 0; fields[i]; i++)
    if (g_str_has_prefix (fields[i], prefix))
      return g_strdup (fields[i] + strlen (prefix));
  return NULL;
}

static char *
list_changes (Cluster *cluster, const ClusterCall *call, int *status)
{
  g_autofree char *prefix = query_value (call->path, "starts"),
                  *text = query_value (call->path, "after"),
                  *hold = query_value (call->path, "hold_ms");
  guint64 after = g_ascii_strtoull (text, NULL, 10);
  double ends = call->sent + g_ascii_strtod (hold ? hold : "0", NULL) / 1000;
  if (after < cluster->compacted_revision) {
    *status = 410;
    return g_strdup ("{\"error\":\"too old\"}");
  }
  json_t *log = json_array ();
  for (guint i = 0; i < cluster->log->len; i++) {
    Change *entry = &g_array_index (cluster->log, Change, i);
    if (entry->revision <= after || !g_str_has_prefix (entry->path, prefix))
      continue;
    json_t *object = json_pack ("{sssI}", entry->text ? "set" : "delete", entry->path, "stamp",
                                (json_int_t)entry->revision);
    if (entry->text)
      json_object_set_new (object, "value", parse_value (entry->text));
    json_array_append_new (log, object);
  }
  if (!json_array_size (log) && ends > cluster->now) {
    json_decref (log);
    return NULL;
  }
  *status = 200;
  return hr_json_take_text (
      json_pack ("{sIso}", "epoch", (json_int_t)cluster->store_revision, "log", log));
}

static char *
list_keys (Cluster *cluster, const ClusterCall *call, int *status)
{
  g_autofree char *prefix = query_value (call->path, "starts"),
                  *after = query_value (call->path, "after"),
                  *text = query_value (call->path, "limit");
  guint limit = g_ascii_strtoull (text ? text : "1000", NULL, 10);
  g_autoptr (GList) keys =
      g_list_sort (g_hash_table_get_keys (cluster->keys), (GCompareFunc)strcmp);
  json_t *rows = json_array ();
  gboolean more = FALSE;
  for (GList *link = keys; link && !more; link = link->next) {
    Key *k = g_hash_table_lookup (cluster->keys, link->data);
    if (!g_str_has_prefix (link->data, prefix) || (after && strcmp (link->data, after) <= 0))
      continue;
    more = json_array_size (rows) == limit;
    if (!more)
      json_array_append_new (rows,
                             json_pack ("{sssosI}", "path", link->data, "value",
                                        parse_value (k->text), "stamp", (json_int_t)k->revision));
  }
  *status = 200;
  return hr_json_take_text (json_pack ("{sosbsI}", "rows", rows, "more", more, "epoch",
                                       (json_int_t)cluster->store_revision));
}

static char *
lease_request (Cluster *cluster, const ClusterCall *call, int *status)
{
  *status = 200;
  if (strcmp (call->path, "/leases") == 0) {
    json_t *object = json_loads (call->body, 0, NULL);
    Lease *lease = g_new0 (Lease, 1);
    lease->id = ++cluster->last_lease_id;
    lease->ttl_s = json_integer_value (json_object_get (object, "life_ms")) / 1000.0;
    lease->expires_at = cluster->now + lease->ttl_s;
    g_hash_table_insert (cluster->leases, &lease->id, lease);
    json_decref (object);
    return g_strdup_printf ("{\"claim\":%" G_GUINT64_FORMAT "}", lease->id);
  }
  guint64 id = g_ascii_strtoull (call->path + strlen ("/leases/"), NULL, 10);
  Lease *lease = g_hash_table_lookup (cluster->leases, &id);
  if (!lease)
    *status = 404;
  else if (call->method == HR_DELETE)
    end_lease (cluster, lease);
  else
    lease->expires_at = cluster->now + lease->ttl_s;
  return g_strdup ("{}");
}

static char *
read_key (Cluster *cluster, const ClusterCall *call, int *status)
{
  const char *path = call->path + strlen ("/kv/");
  Key *k = g_hash_table_lookup (cluster->keys, path);
  *status = k ? 200 : 404;
  if (!k)
    return g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", cluster->store_revision);
  return hr_json_take_text (json_pack ("{sssosI}", "path", path, "value", parse_value (k->text),
                                       "stamp", (json_int_t)k->revision));
}

char *
cluster_store_request (Cluster *cluster, const ClusterCall *call, int *status)
{
  end_leases (cluster);
  gboolean watch = strstr (call->path, "hold_ms=10000") != NULL;
  if (cluster->store_outage || !cluster->nodes[call->node].store_available) {
    if (watch)
      return NULL; /* an outage leaves open watches open */
    *status = 503;
    return g_strdup ("{\"error\":\"trouble\"}");
  }
  if (strcmp (call->path, "/commit") == 0)
    return commit (cluster, call, status);
  if (g_str_has_prefix (call->path, "/changes?"))
    return list_changes (cluster, call, status);
  if (g_str_has_prefix (call->path, "/kv?"))
    return list_keys (cluster, call, status);
  if (g_str_has_prefix (call->path, "/kv/"))
    return read_key (cluster, call, status);
  return lease_request (cluster, call, status);
}

const char *
cluster_value (Cluster *cluster, const char *key)
{
  Key *k = g_hash_table_lookup (cluster->keys, key);
  return k ? k->text : NULL;
}

guint64
cluster_key_revision (Cluster *cluster, const char *key)
{
  Key *k = g_hash_table_lookup (cluster->keys, key);
  return k ? k->revision : 0;
}

void
cluster_set_value (Cluster *cluster, const char *key, const char *text)
{
  cluster->store_revision++;
  apply_change (cluster, key, g_strdup (text), 0);
}

void
cluster_compact_changes (Cluster *cluster)
{
  cluster->compacted_revision = cluster->store_revision;
  g_array_set_size (cluster->log, 0);
}

int
cluster_leader (Cluster *cluster)
{
  const char *text = cluster_value (cluster, "h/map");
  json_t *object = text ? parse_value (text) : NULL;
  const char *label = hr_json_str (object, "o");
  int node = label ? label[1] - '0' : -1;
  json_decref (object);
  return node;
}

static const char types[] =
    "{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":96,\"cache_gb\":100,"
    "\"fetch_gb_per_s\":0.3,\"hourly\":5.0,\"low_price\":2.0,\"startup_s\":40,\"quarries\":"
    "[\"z0\",\"z1\"]}]}";

char *
cluster_cloud_request (Cluster *cluster, const ClusterCall *call, int *status)
{
  *status = 200;
  if (strcmp (call->path, "/machine_types") == 0)
    return g_strdup (types);
  if (!g_str_has_prefix (call->path, "/rentals?")) {
    *status = strcmp (call->path, "/rentals") == 0 ? 503 : 200; /* every rental is refused */
    return g_strdup ("{\"error\":\"no capacity\"}");
  }
  json_t *list = json_array ();
  for (guint i = 0; i < cluster->workers->len; i++) {
    ClusterWorker *worker = cluster->workers->pdata[i];
    json_array_append_new (list, json_pack ("{sssssssssbsssf}", "name_id", worker->name, "addr",
                                            worker->name, "hull", "g2", "quarry", "z0", "loaners",
                                            0, "stance", "running", "age_s", cluster->now + 100));
  }
  gboolean second_page = strstr (call->path, "after=m") != NULL;
  if (second_page)
    json_array_clear (list);
  return hr_json_take_text (json_pack ("{sosb}", "rockhands", list, "more", 0));
}
