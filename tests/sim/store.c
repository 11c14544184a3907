/* A stand-in for the state service. */
#include "bookkeeping/tables.h"
#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/world.h"
#include <stdlib.h>
#include <string.h>

typedef struct {
  char *text; /* the value */
  guint64 stamp, claim;
} StoreKey;

typedef struct {
  char *path, *text; /* text NULL: deleted */
  guint64 stamp;
} StoreChange;

typedef struct {
  guint64 id;
  double ends, life;
} SLease;

typedef struct {
  SimRequest *r;
  char *prefix;
  guint64 after;
  double ends;
} SWatch;

static void
key_free (gpointer data)
{
  StoreKey *k = data;
  g_free (k->text);
  g_free (k);
}

/* Machines that went, named by a record until now. */
static void
note_named (World *world, const char *path)
{
  StoreKey *old = g_hash_table_lookup (world->keys, path);
  for (guint i = 0; old && i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    if (machine->gone && strstr (old->text, machine->name))
      machine->named_at = world->now;
  }
}

static void
change (World *world, const char *path, char *text, guint64 lease_id)
{
  note_named (world, path);
  StoreChange core = {g_strdup (path), g_strdup (text), world->epoch};
  g_array_append_val (world->log, core);
  if (!text) {
    g_hash_table_remove (world->keys, path);
    return;
  }
  StoreKey *k = g_new0 (StoreKey, 1);
  k->text = text;
  k->stamp = world->epoch;
  k->claim = lease_id;
  g_hash_table_replace (world->keys, g_strdup (path), k);
}

static char *
changes_text (World *world, const char *prefix, guint64 after, guint *n)
{
  json_t *log = json_array ();
  *n = 0;
  for (guint i = 0; i < world->log->len; i++) {
    StoreChange *core = &g_array_index (world->log, StoreChange, i);
    if (core->stamp <= after || !g_str_has_prefix (core->path, prefix))
      continue;
    json_t *object = json_pack ("{sssI}", core->text ? "set" : "delete", core->path, "stamp",
                                (json_int_t)core->stamp);
    if (core->text)
      json_object_set_new (object, "value", json_loads (core->text, JSON_DECODE_ANY, NULL));
    json_array_append_new (log, object);
    ++*n;
  }
  return hr_json_take_text (json_pack ("{sIso}", "epoch", (json_int_t)world->epoch, "log", log));
}

static void
wake (World *world)
{
  if (world->outage > world->now)
    return; /* open watches stay open */
  for (guint i = 0; i < world->watches->len;) {
    SWatch *watch = world->watches->pdata[i];
    guint n;
    g_autofree char *team_name = changes_text (world, watch->prefix, watch->after, &n);
    Node *node = &world->nodes[watch->r->node];
    if ((!n && watch->ends > world->now) || node->refused > world->now) {
      i++;
      continue;
    }
    w_answer (world, watch->r, 200, g_steal_pointer (&team_name));
    req_unref (watch->r);
    g_free (watch->prefix);
    g_free (watch);
    g_ptr_array_remove_index (world->watches, i);
  }
}

static void
leases_tick (World *world, gpointer data G_GNUC_UNUSED)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr (GPtrArray) over = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, world->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    SLease *lease = value;
    if (world->outage > world->now)
      lease->ends =
          world->outage + lease->life; /* after an outage every lease has its full time again */
    else if (lease->ends < world->now)
      g_ptr_array_add (over, lease);
  }
  for (guint i = 0; i < over->len; i++) {
    SLease *lease = over->pdata[i];
    g_autoptr (GPtrArray) dead = g_ptr_array_new_with_free_func (g_free);
    gpointer k;
    g_hash_table_iter_init (&iter, world->keys);
    while (g_hash_table_iter_next (&iter, &k, &value))
      if (((StoreKey *)value)->claim == lease->id)
        g_ptr_array_add (dead, g_strdup (k));
    if (dead->len)
      world->epoch++;
    for (guint d = 0; d < dead->len; d++)
      change (world, dead->pdata[d], NULL, 0);
    g_hash_table_remove (world->leases, &lease->id);
  }
  wake (world);
  w_at (world, world->now + 0.05, leases_tick, NULL);
}

/* Nothing is placed on a machine that went long ago, whatever late copies of its reports
 * say: longer than it may look alive, than an outage, and than a write may take. */
static void
check_place (World *world, const char *what, const char *machine)
{
  for (guint i = 0; machine && i < world->machines->len; i++) {
    SimMachine *host = world->machines->pdata[i];
    if (host->gone && world->now - host->gone_at > 45 && strcmp (host->name, machine) == 0)
      w_broken (world, "stale", "%s is placed on %s, %.0f s after that went", what, machine,
                world->now - host->gone_at);
  }
}

static gboolean
is_record (const char *path)
{
  return g_str_has_prefix (path, "h/j/") || g_str_has_prefix (path, "h/t/") ||
         g_str_has_prefix (path, "h/u/");
}

/* Tasks a page: in its key, or in the job's main record. */
static guint
page_size (World *world, const char *path, const char *id)
{
  if (path[2] == 'u')
    return atoi (path + strlen ("h/u/") + strlen (id) + 1);
  g_autofree char *main = g_strconcat ("h/j/", id, NULL);
  StoreKey *k = g_hash_table_lookup (world->keys, main);
  json_t *object = k ? json_loads (k->text, 0, NULL) : NULL;
  guint n = json_integer_value (json_object_get (object, "q"));
  json_decref (object);
  return n;
}

/* Notes which process recorded each assignment first: its tag begins with its incarnation. */
static void
note_assignments (World *world, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *value = json_object_get (put, "value"), *entry;
  const char *tag = json_string_value (json_object_get (value, "w"));
  size_t i;
  if (!path || !tag || !is_record (path))
    return;
  const char *page = path[2] == 'j' ? NULL : strrchr (path, '/');
  g_autofree char *id = g_strndup (path + 4, strcspn (path + 4, "/"));
  guint first = page ? atoi (page + 1) * page_size (world, path, id) : 0;
  json_array_foreach (json_object_get (value, "x"), i, entry)
  {
    g_autofree char *key = g_strdup_printf ("%s/%u/%d", id, first + (guint)i,
                                            (int)json_integer_value (json_array_get (entry, 2)));
    if (json_is_array (entry) && !g_hash_table_contains (world->assigned, key))
      check_place (world, key, json_string_value (json_array_get (entry, 0)));
    if (json_is_array (entry) && !g_hash_table_contains (world->assigned, key))
      g_hash_table_insert (world->assigned, g_steal_pointer (&key),
                           g_strndup (tag, strcspn (tag, ".")));
  }
}

/* A write of the leader (tasks of a job that goes on) holds on the leader record's revision, or a
 * former owner's late write would count. */
static void
check_fence (World *world, json_t *when, json_t *put)
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
    w_broken (world, "fence", "%s is written without a hold on the map", path);
}

/* A process of its own has written the leader record. */
static void
note_process (World *world, int node, json_t *map)
{
  guint64 token = json_integer_value (json_object_get (map, "b"));
  g_free (world->nodes[node].incarnation);
  world->nodes[node].incarnation = g_strdup (json_string_value (json_object_get (map, "i")));
  g_hash_table_insert (world->token_nodes, g_memdup2 (&token, sizeof token),
                       GINT_TO_POINTER (node));
}

/* The leader record's change, and a cancellation, are what a leader must not miss for long:
 * check_kills in world.c sees to the latter. */
static void
note_decision (World *world, const SimRequest *request, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *state = json_object_get (json_object_get (put, "value"), "s");
  if (json_integer_value (state) == 2 && g_str_has_prefix (path, "h/j/")) {
    guint32 index;
    SimJob *job = job_by_id (world, path + strlen ("h/j/"), &index);
    if (job && !job->cancelled_at)
      job->cancelled_at = world->now;
    if (!g_hash_table_contains (world->cancelled_jobs, path + 4))
      g_hash_table_insert (world->cancelled_jobs, g_strdup (path + 4),
                           g_memdup2 (&world->epoch, sizeof world->epoch));
  }
  if (g_strcmp0 (path, "h/map") != 0)
    return;
  if (world->controllers)
    note_process (world, request->node, json_object_get (put, "value"));
  for (int k = 0; k < world->n; k++)
    if (k != request->node) {
      Node *n = &world->nodes[k];
      if (!n->behind_at)
        n->behind_at = world->now;
      n->behind_epoch = world->epoch;
    }
}

/* Nothing that production would misread is written while one of its processes may be there. */
static void
check_form (World *world, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  gboolean form = path && (g_str_has_prefix (path, "h/u/") || strcmp (path, "h/format") == 0 ||
                           json_object_get (json_object_get (put, "value"), "u"));
  for (int k = 0; form && k < world->n; k++)
    if (!world->nodes[k].speaks)
      w_broken (world, "form", "%s is written while c%d may be of production", path, k);
}

static gboolean
limits_fell (World *world)
{
  return world->limits_fall > 0 && world->now >= world->limits_fall;
}

/* Values beyond the limit are refused; of the new version none is sent again and again. */
static gboolean
refuse_size (World *world, SimRequest *request, json_t *put)
{
  if (!json_object_get (put, "value"))
    return FALSE;
  const char *path = json_string_value (json_object_get (put, "set"));
  g_autofree char *team_name = hr_json_take_text (json_incref (json_object_get (put, "value")));
  if (!world->production && strlen (team_name) > NEXT_VALUE_KB * 1024)
    w_broken (world, "limit", "a value of %zu bytes for %s", strlen (team_name), path);
  if (strlen (team_name) <= (limits_fell (world) ? NEXT_VALUE_KB : world->value_kb) * 1024)
    return FALSE;
  guint *times = g_hash_table_lookup (world->too_large, path);
  if (!times) {
    times = g_new0 (guint, 1);
    g_hash_table_insert (world->too_large, g_strdup (path), times);
  }
  if (++*times > 6 && world->nodes[request->node].speaks)
    w_broken (world, "spin", "a value of %zu bytes for %s is sent for the %uth time",
              strlen (team_name), path, *times);
  return TRUE;
}

static gboolean
refuse_rate (World *world, guint changes)
{
  if (!limits_fell (world))
    return FALSE;
  world->write_tokens = MIN (
      NEXT_WRITE_RPS, world->write_tokens + (world->now - world->write_tokens_at) * NEXT_WRITE_RPS);
  world->write_tokens_at = world->now;
  if (world->write_tokens < changes)
    return TRUE;
  world->write_tokens -= changes;
  return FALSE;
}

/* What the service refuses before it looks at revisions: the status and the error; 0: nothing. */
static int
refuse_commit (World *world, SimRequest *request, json_t *when, json_t *writes, const char **error)
{
  json_t *entry;
  size_t i;
  gboolean lease_gone = FALSE, too_large = FALSE;
  guint changes = json_array_size (writes);
  json_array_foreach (writes, i, entry)
  {
    guint64 lease_id = json_integer_value (json_object_get (entry, "claim"));
    check_fence (world, when, entry);
    lease_gone |= lease_id && !g_hash_table_contains (world->leases, &lease_id);
    check_form (world, entry);
    too_large |= refuse_size (world, request, entry);
  }
  too_large |= limits_fell (world) && changes > NEXT_TXN_OPS;
  if (!world->production && changes > NEXT_TXN_OPS)
    w_broken (world, "limit", "%u changes in a transaction", changes);
  if (too_large || refuse_rate (world, changes)) {
    *error =
        too_large ? "{\"error\":\"the value is too large\"}" : "{\"error\":\"too many changes\"}";
    return too_large ? 400 : 429;
  }
  *error = "{\"error\":\"no such lease\"}";
  return lease_gone ? 400 : 0;
}

/* The paths whose revision is not the one that the transaction asks for; to be unreferenced. */
static json_t *
failed_conditions (World *world, json_t *when)
{
  json_t *failed = json_array (), *entry;
  size_t i;
  json_array_foreach (when, i, entry)
  {
    const char *path = json_string_value (json_object_get (entry, "path"));
    StoreKey *key = g_hash_table_lookup (world->keys, path);
    if ((guint64)json_integer_value (json_object_get (entry, "stamp")) != (key ? key->stamp : 0))
      json_array_append_new (failed, json_string (path));
  }
  return failed;
}

static void
apply_writes (World *world, SimRequest *request, json_t *writes)
{
  json_t *entry;
  size_t i;
  if (json_array_size (writes) > 12)
    w_broken (world, "limit", "%zu changes in a transaction", json_array_size (writes));
  if (json_array_size (writes))
    world->epoch++;
  json_array_foreach (writes, i, entry)
  {
    const char *path = json_string_value (json_object_get (entry, "set"));
    json_t *value = json_object_get (entry, "value");
    note_assignments (world, entry);
    note_decision (world, request, entry);
    if (g_strcmp0 (path, "h/map") == 0)
      faults_on_leader_record (world, value);
    if (path)
      change (world, path, hr_json_take_text (json_incref (value)),
              json_integer_value (json_object_get (entry, "claim")));
    else
      change (world, json_string_value (json_object_get (entry, "delete")), NULL, 0);
  }
}

static void
commit (World *world, SimRequest *request)
{
  json_t *object = request->body ? json_loads (request->body, 0, NULL) : NULL;
  json_t *when = json_object_get (object, "when"), *writes = json_object_get (object, "writes");
  const char *error;
  int refused = refuse_commit (world, request, when, writes, &error);
  if (refused) {
    w_answer (world, request, refused, g_strdup (error));
    json_decref (object);
    return;
  }
  json_t *failed = failed_conditions (world, when);
  if (json_array_size (failed)) {
    w_answer (world, request, 409,
              hr_json_take_text (
                  json_pack ("{sosI}", "failed", failed, "epoch", (json_int_t)world->epoch)));
    json_decref (object);
    return;
  }
  json_decref (failed);
  apply_writes (world, request, writes);
  w_answer (world, request, 200,
            g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", world->epoch));
  json_decref (object);
  faults_trigger (world, ON_WRITE_DONE);
  wake (world);
}

/* Does any record name this machine? */
gboolean
store_names (World *world, const char *machine)
{
  GHashTableIter iter;
  gpointer k;
  g_hash_table_iter_init (&iter, world->keys);
  while (g_hash_table_iter_next (&iter, NULL, &k))
    if (strstr (((StoreKey *)k)->text, machine))
      return TRUE;
  return FALSE;
}

/* Every page of tasks becomes one that cannot be read. */
guint
store_corrupt_pages (World *world)
{
  GHashTableIter iter;
  gpointer path, k;
  guint n = 0;
  g_hash_table_iter_init (&iter, world->keys);
  while (g_hash_table_iter_next (&iter, &path, &k))
    if (g_str_has_prefix (path, "h/t/")) {
      g_free (((StoreKey *)k)->text);
      ((StoreKey *)k)->text = g_strdup ("{\"w\":\"torn\",\"x\":[0,\"m-0\",1]}");
      n++;
    }
  return n;
}

/* Pages in the state store whose job is final. */
guint
store_garbage (World *world)
{
  GHashTableIter iter;
  gpointer path;
  guint n = 0;
  g_hash_table_iter_init (&iter, world->keys);
  while (g_hash_table_iter_next (&iter, &path, NULL)) {
    if (!is_record (path) || g_str_has_prefix (path, "h/j/"))
      continue;
    const char *rest = (char *)path + strlen ("h/t/");
    g_autofree char *id = g_strndup (rest, strcspn (rest, "/"));
    g_autofree char *main = g_strconcat ("h/j/", id, NULL);
    StoreKey *k = g_hash_table_lookup (world->keys, main);
    n += k && !strstr (k->text, "\"j\":"); /* a tombstone has no description */
  }
  return n;
}

guint
store_large (World *world)
{
  GHashTableIter iter;
  gpointer path, k;
  guint n = 0;
  g_hash_table_iter_init (&iter, world->keys);
  while (g_hash_table_iter_next (&iter, &path, &k))
    n += is_record (path) && strlen (((StoreKey *)k)->text) > NEXT_VALUE_KB * 1024;
  return n;
}

gboolean
store_split (World *world, const char *id)
{
  g_autofree char *main = g_strconcat ("h/j/", id, NULL);
  StoreKey *k = g_hash_table_lookup (world->keys, main);
  return k && strstr (k->text, "\"u\":1");
}

void
store_put (World *world, const char *path, const char *text)
{
  world->epoch++;
  change (world, path, g_strdup (text), 0);
}

gboolean
store_has (World *world, const char *path)
{
  return g_hash_table_contains (world->keys, path);
}

int
store_leader (World *world)
{
  StoreKey *k = g_hash_table_lookup (world->keys, "h/map");
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
  g_autofree char *want = g_strconcat (name, "=", NULL);
  g_auto (GStrv) fields = g_strsplit (text ? text + 1 : "", "&", -1);
  for (guint i = 0; fields[i]; i++)
    if (g_str_has_prefix (fields[i], want))
      return g_strdup (fields[i] + strlen (want));
  return NULL;
}

static int
by_text (gconstpointer left, gconstpointer right)
{
  return strcmp (*(char *const *)left, *(char *const *)right);
}

static void
range (World *world, SimRequest *request)
{
  g_autofree char *prefix = query (request->path, "starts"),
                  *after = query (request->path, "after");
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  if (!after)
    world->nodes[request->node].too_old = 0; /* it reads everything anew */
  GHashTableIter iter;
  gpointer k;
  g_hash_table_iter_init (&iter, world->keys);
  while (g_hash_table_iter_next (&iter, &k, NULL))
    if (g_str_has_prefix (k, prefix) && (!after || strcmp (k, after) > 0))
      g_ptr_array_add (keys, k);
  g_ptr_array_sort (keys, by_text);
  json_t *rows = json_array ();
  for (guint i = 0; i < keys->len && i < 7; i++) { /* short pages, so that paging is tested */
    StoreKey *key = g_hash_table_lookup (world->keys, keys->pdata[i]);
    json_array_append_new (rows, json_pack ("{sssosI}", "path", keys->pdata[i], "value",
                                            json_loads (key->text, JSON_DECODE_ANY, NULL), "stamp",
                                            (json_int_t)key->stamp));
  }
  w_answer (world, request, 200,
            hr_json_take_text (json_pack ("{sosbsI}", "rows", rows, "more", keys->len > 7, "epoch",
                                          (json_int_t)world->epoch)));
}

static void
lease (World *world, SimRequest *request)
{
  guint64 id = 0;
  if (strcmp (request->path, "/leases") == 0) {
    json_t *object = json_loads (request->body, 0, NULL);
    SLease *lease_row = g_new0 (SLease, 1);
    lease_row->id = ++world->claims;
    lease_row->life = json_integer_value (json_object_get (object, "life_ms")) / 1000.0;
    lease_row->ends = world->now + lease_row->life;
    json_decref (object);
    g_hash_table_insert (world->leases, &lease_row->id, lease_row);
    w_answer (world, request, 200,
              g_strdup_printf ("{\"claim\":%" G_GUINT64_FORMAT "}", lease_row->id));
    return;
  }
  id = g_ascii_strtoull (request->path + strlen ("/leases/"), NULL, 10);
  SLease *lease_row = g_hash_table_lookup (world->leases, &id);
  if (!lease_row) {
    w_answer (world, request, 404, g_strdup ("{}"));
    return;
  }
  lease_row->ends = request->method == HR_DELETE ? world->now - 1 : world->now + lease_row->life;
  w_answer (world, request, 200, g_strdup ("{}"));
}

void
store_request (World *world, SimRequest *request)
{
  if (world->outage > world->now || world->nodes[request->node].refused > world->now)
    w_answer (world, request, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (request->path, "/commit") == 0)
    commit (world, request);
  else if (g_str_has_prefix (request->path, "/leases"))
    lease (world, request);
  else if (g_str_has_prefix (request->path, "/kv?"))
    range (world, request);
  else if (g_str_has_prefix (request->path, "/kv/")) {
    StoreKey *k = g_hash_table_lookup (world->keys, request->path + 4);
    if (!k)
      w_answer (world, request, 404,
                g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", world->epoch));
    else
      w_answer (world, request, 200,
                hr_json_take_text (json_pack ("{sssosI}", "path", request->path + 4, "value",
                                              json_loads (k->text, JSON_DECODE_ANY, NULL), "stamp",
                                              (json_int_t)k->stamp)));
  } else if (g_str_has_prefix (request->path, "/changes?")) {
    g_autofree char *after = query (request->path, "after"),
                    *hold = query (request->path, "hold_ms");
    guint64 too_old = world->nodes[request->node].too_old;
    if (too_old && g_ascii_strtoull (after, NULL, 10) <= too_old) {
      w_answer (world, request, 410, g_strdup ("{\"error\":\"too old\"}"));
      return;
    }
    SWatch *watch = g_new0 (SWatch, 1);
    watch->r = request;
    request->refs++;
    watch->prefix = query (request->path, "starts");
    watch->after = g_ascii_strtoull (after, NULL, 10);
    watch->ends = world->now + g_ascii_strtod (hold, NULL) / 1000;
    g_ptr_array_add (world->watches, watch);
    wake (world);
  } else
    w_broken (world, "protocol", "the state service was asked for %s", request->path);
}

static void
change_clear (gpointer data)
{
  StoreChange *core = data;
  g_free (core->path);
  g_free (core->text);
}

/* As after an upgrade long ago; an upgrade's own day begins without it. */
void
store_format (World *world, gboolean known)
{
  if (!known) {
    g_hash_table_remove (world->keys, "h/format");
    return;
  }
  StoreKey *k = g_new0 (StoreKey, 1);
  k->text = g_strdup_printf ("{\"f\":%d}", HR_NEWEST_RECORD_FORMAT);
  k->stamp = ++world->epoch;
  g_hash_table_replace (world->keys, g_strdup ("h/format"), k);
}

void
store_init (World *world)
{
  world->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
  world->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->log = g_array_new (FALSE, TRUE, sizeof (StoreChange));
  g_array_set_clear_func (world->log, change_clear);
  world->watches = g_ptr_array_new ();
  world->too_large = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->token_nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->assigned = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store_format (world, TRUE);
  world->cancelled_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w_at (world, 0.05, leases_tick, NULL);
}

const char *
store_text (World *world, const char *key)
{
  const StoreKey *k = g_hash_table_lookup (world->keys, key);
  return k ? k->text : "";
}

void
store_free (World *world)
{
  for (guint i = 0; i < world->watches->len; i++) {
    SWatch *watch = world->watches->pdata[i];
    g_free (watch->prefix);
    req_unref (watch->r);
    g_free (watch);
  }
  g_ptr_array_unref (world->watches);
  g_hash_table_unref (world->keys);
  g_hash_table_unref (world->leases);
  g_array_unref (world->log);
  g_hash_table_unref (world->token_nodes);
  g_hash_table_unref (world->assigned);
  g_hash_table_unref (world->too_large);
  g_hash_table_unref (world->cancelled_jobs);
}
