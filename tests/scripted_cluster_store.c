/* The state service of tests/scripted_cluster.h, which carries out one request when it is told to;
 * and a cloud that has no more machines than the test made. */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_cluster.h"
#include <string.h>

typedef struct {
  char *text; /* the value */
  guint64 stamp, claim;
} Key;

typedef struct {
  char *path, *text; /* text NULL: deleted */
  guint64 stamp;
} Change;

typedef struct {
  guint64 id;
  double life, ends;
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
  Change *core = data;
  g_free (core->path);
  g_free (core->text);
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

static void
change (Cluster *cluster, const char *path, char *text, guint64 lease_id)
{
  Change core = {g_strdup (path), g_strdup (text), cluster->epoch};
  g_array_append_val (cluster->log, core);
  if (!text) {
    g_hash_table_remove (cluster->keys, path);
    return;
  }
  Key *k = g_new0 (Key, 1);
  k->text = text;
  k->stamp = cluster->epoch;
  k->claim = lease_id;
  g_hash_table_replace (cluster->keys, g_strdup (path), k);
}

static void
end_lease (Cluster *cluster, const Lease *lease)
{
  g_autoptr (GPtrArray) dead = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer path, key;
  g_hash_table_iter_init (&iter, cluster->keys);
  while (g_hash_table_iter_next (&iter, &path, &key))
    if (((Key *)key)->claim == lease->id)
      g_ptr_array_add (dead, g_strdup (path));
  cluster->epoch += dead->len > 0;
  for (guint i = 0; i < dead->len; i++)
    change (cluster, dead->pdata[i], NULL, 0);
  g_hash_table_remove (cluster->leases, &lease->id);
}

static void
end_leases (Cluster *cluster)
{
  g_autoptr (GList) all = g_hash_table_get_values (cluster->leases);
  for (GList *link = all; link; link = link->next) {
    Lease *lease = link->data;
    if (cluster->outage)
      lease->ends = cluster->now + lease->life;
    else if (lease->ends < cluster->now)
      end_lease (cluster, lease);
  }
}

static json_t *
value_of (const char *text)
{
  return json_loads (text, JSON_DECODE_ANY, NULL);
}

static gboolean
claims_hold (Cluster *cluster, json_t *writes)
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

/* Changes within the allowance, with bursts of one second's worth. */
static gboolean
allowed (Cluster *cluster, guint changes)
{
  if (cluster->write_rps <= 0)
    return TRUE;
  cluster->write_tokens =
      MIN (cluster->write_rps,
           cluster->write_tokens + (cluster->now - cluster->write_at) * cluster->write_rps);
  cluster->write_at = cluster->now;
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
  if (!allowed (cluster, json_array_size (writes))) {
    *status = 429;
    json_decref (failed);
    json_decref (object);
    return g_strdup ("{\"error\":\"too many changes\"}");
  }
  if (!claims_hold (cluster, writes)) {
    *status = 400;
    json_decref (failed);
    json_decref (object);
    return g_strdup ("{\"error\":\"no such lease\"}");
  }
  json_array_foreach (json_object_get (object, "when"), i, entry)
  {
    const char *path = hr_json_str (entry, "path");
    if ((guint64)json_integer_value (json_object_get (entry, "stamp")) !=
        cluster_stamp (cluster, path))
      json_array_append_new (failed, json_string (path));
  }
  *status = json_array_size (failed) ? 409 : 200;
  if (*status == 200 && json_array_size (writes)) {
    cluster->epoch++;
    cluster->carried_out++;
    json_array_foreach (writes, i, entry)
    {
      const char *settings = hr_json_str (entry, "set");
      if (settings)
        change (cluster, settings,
                hr_json_take_text (json_incref (json_object_get (entry, "value"))),
                json_integer_value (json_object_get (entry, "claim")));
      else
        change (cluster, hr_json_str (entry, "delete"), NULL, 0);
    }
  }
  json_decref (object);
  return hr_json_take_text (
      json_pack ("{sosI}", "failed", failed, "epoch", (json_int_t)cluster->epoch));
}

static char *
query (const char *path, const char *name)
{
  const char *text = strchr (path, '?');
  g_autofree char *want = g_strconcat (name, "=", NULL);
  g_auto (GStrv) fields = g_strsplit (text ? text + 1 : "", "&", -1);
  for (guint i = 0; fields[i]; i++)
    if (g_str_has_prefix (fields[i], want))
      return g_strdup (fields[i] + strlen (want));
  return NULL;
}

static char *
changes (Cluster *cluster, const ClusterCall *call, int *status)
{
  g_autofree char *prefix = query (call->path, "starts"), *text = query (call->path, "after"),
                  *hold = query (call->path, "hold_ms");
  guint64 after = g_ascii_strtoull (text, NULL, 10);
  double ends = call->sent + g_ascii_strtod (hold ? hold : "0", NULL) / 1000;
  if (after < cluster->oldest) {
    *status = 410;
    return g_strdup ("{\"error\":\"too old\"}");
  }
  json_t *log = json_array ();
  for (guint i = 0; i < cluster->log->len; i++) {
    Change *core = &g_array_index (cluster->log, Change, i);
    if (core->stamp <= after || !g_str_has_prefix (core->path, prefix))
      continue;
    json_t *object = json_pack ("{sssI}", core->text ? "set" : "delete", core->path, "stamp",
                                (json_int_t)core->stamp);
    if (core->text)
      json_object_set_new (object, "value", value_of (core->text));
    json_array_append_new (log, object);
  }
  if (!json_array_size (log) && ends > cluster->now) {
    json_decref (log);
    return NULL;
  }
  *status = 200;
  return hr_json_take_text (json_pack ("{sIso}", "epoch", (json_int_t)cluster->epoch, "log", log));
}

static char *
range (Cluster *cluster, const ClusterCall *call, int *status)
{
  g_autofree char *prefix = query (call->path, "starts"), *after = query (call->path, "after"),
                  *text = query (call->path, "limit");
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
      json_array_append_new (rows, json_pack ("{sssosI}", "path", link->data, "value",
                                              value_of (k->text), "stamp", (json_int_t)k->stamp));
  }
  *status = 200;
  return hr_json_take_text (
      json_pack ("{sosbsI}", "rows", rows, "more", more, "epoch", (json_int_t)cluster->epoch));
}

static char *
lease (Cluster *cluster, const ClusterCall *call, int *status)
{
  *status = 200;
  if (strcmp (call->path, "/leases") == 0) {
    json_t *object = json_loads (call->body, 0, NULL);
    Lease *lease_row = g_new0 (Lease, 1);
    lease_row->id = ++cluster->claims;
    lease_row->life = json_integer_value (json_object_get (object, "life_ms")) / 1000.0;
    lease_row->ends = cluster->now + lease_row->life;
    g_hash_table_insert (cluster->leases, &lease_row->id, lease_row);
    json_decref (object);
    return g_strdup_printf ("{\"claim\":%" G_GUINT64_FORMAT "}", lease_row->id);
  }
  guint64 id = g_ascii_strtoull (call->path + strlen ("/leases/"), NULL, 10);
  Lease *lease_row = g_hash_table_lookup (cluster->leases, &id);
  if (!lease_row)
    *status = 404;
  else if (call->method == HR_DELETE)
    end_lease (cluster, lease_row);
  else
    lease_row->ends = cluster->now + lease_row->life;
  return g_strdup ("{}");
}

static char *
single (Cluster *cluster, const ClusterCall *call, int *status)
{
  const char *path = call->path + strlen ("/kv/");
  Key *k = g_hash_table_lookup (cluster->keys, path);
  *status = k ? 200 : 404;
  if (!k)
    return g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", cluster->epoch);
  return hr_json_take_text (json_pack ("{sssosI}", "path", path, "value", value_of (k->text),
                                       "stamp", (json_int_t)k->stamp));
}

char *
cluster_store_request (Cluster *cluster, const ClusterCall *call, int *status)
{
  end_leases (cluster);
  gboolean watch = strstr (call->path, "hold_ms=10000") != NULL;
  if (cluster->outage || !cluster->nodes[call->node].served) {
    if (watch)
      return NULL; /* open watches stay open */
    *status = 503;
    return g_strdup ("{\"error\":\"trouble\"}");
  }
  if (strcmp (call->path, "/commit") == 0)
    return commit (cluster, call, status);
  if (g_str_has_prefix (call->path, "/changes?"))
    return changes (cluster, call, status);
  if (g_str_has_prefix (call->path, "/kv?"))
    return range (cluster, call, status);
  if (g_str_has_prefix (call->path, "/kv/"))
    return single (cluster, call, status);
  return lease (cluster, call, status);
}

const char *
cluster_value (Cluster *cluster, const char *key)
{
  Key *k = g_hash_table_lookup (cluster->keys, key);
  return k ? k->text : NULL;
}

guint64
cluster_stamp (Cluster *cluster, const char *key)
{
  Key *k = g_hash_table_lookup (cluster->keys, key);
  return k ? k->stamp : 0;
}

void
cluster_write (Cluster *cluster, const char *key, const char *text)
{
  cluster->epoch++;
  change (cluster, key, g_strdup (text), 0);
}

void
cluster_forget_changes (Cluster *cluster)
{
  cluster->oldest = cluster->epoch;
  g_array_set_size (cluster->log, 0);
}

int
cluster_leader (Cluster *cluster)
{
  const char *text = cluster_value (cluster, "h/map");
  json_t *object = text ? value_of (text) : NULL;
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
    *status = strcmp (call->path, "/rentals") == 0 ? 503 : 200; /* nothing to be had */
    return g_strdup ("{\"error\":\"no capacity\"}");
  }
  json_t *list = json_array ();
  for (guint i = 0; i < cluster->workers->len; i++) {
    ClusterWorker *worker = cluster->workers->pdata[i];
    json_array_append_new (list, json_pack ("{sssssssssbsssf}", "name_id", worker->name, "addr",
                                            worker->name, "hull", "g2", "quarry", "z0", "loaners",
                                            0, "stance", "running", "age_s", cluster->now + 100));
  }
  gboolean further = strstr (call->path, "after=m") != NULL;
  if (further)
    json_array_clear (list);
  return hr_json_take_text (json_pack ("{sosb}", "rockhands", list, "more", 0));
}
