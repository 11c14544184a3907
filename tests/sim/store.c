/* A stand-in for the state service. */
#include "sim/world.h"
#include "protocol/json_util.h"
#include "bookkeeping/tables.h"
#include <stdlib.h>
#include <string.h>

typedef struct {
  char *text; /* the value */
  guint64 stamp, claim;
} SKey;

typedef struct {
  char *path, *text; /* text NULL: deleted */
  guint64 stamp;
} SChange;

typedef struct {
  guint64 id;
  double ends, life;
} SLease;

typedef struct {
  Req *r;
  char *prefix;
  guint64 after;
  double ends;
} SWatch;

static void
key_free (gpointer p)
{
  SKey *k = p;
  g_free (k->text);
  g_free (k);
}

/* Machines that went, named by a record until now. */
static void
note_named (World *w, const char *path)
{
  SKey *old = g_hash_table_lookup (w->keys, path);
  for (guint i = 0; old && i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    if (m->gone && strstr (old->text, m->name))
      m->named_at = w->now;
  }
}

static void
change (World *w, const char *path, char *text, guint64 claim)
{
  note_named (w, path);
  SChange c = {g_strdup (path), g_strdup (text), w->epoch};
  g_array_append_val (w->log, c);
  if (!text) {
    g_hash_table_remove (w->keys, path);
    return;
  }
  SKey *k = g_new0 (SKey, 1);
  k->text = text;
  k->stamp = w->epoch;
  k->claim = claim;
  g_hash_table_replace (w->keys, g_strdup (path), k);
}

static char *
changes_text (World *w, const char *prefix, guint64 after, guint *n)
{
  json_t *log = json_array ();
  *n = 0;
  for (guint i = 0; i < w->log->len; i++) {
    SChange *c = &g_array_index (w->log, SChange, i);
    if (c->stamp <= after || !g_str_has_prefix (c->path, prefix))
      continue;
    json_t *o =
        json_pack ("{sssI}", c->text ? "set" : "delete", c->path, "stamp", (json_int_t)c->stamp);
    if (c->text)
      json_object_set_new (o, "value", json_loads (c->text, JSON_DECODE_ANY, NULL));
    json_array_append_new (log, o);
    ++*n;
  }
  return hr_json_take_text (json_pack ("{sIso}", "epoch", (json_int_t)w->epoch, "log", log));
}

static void
wake (World *w)
{
  if (w->outage > w->now)
    return; /* open watches stay open */
  for (guint i = 0; i < w->watches->len;) {
    SWatch *s = w->watches->pdata[i];
    guint n;
    g_autofree char *t = changes_text (w, s->prefix, s->after, &n);
    Node *nd = &w->nodes[s->r->node];
    if ((!n && s->ends > w->now) || nd->refused > w->now) {
      i++;
      continue;
    }
    w_answer (w, s->r, 200, g_steal_pointer (&t));
    req_unref (s->r);
    g_free (s->prefix);
    g_free (s);
    g_ptr_array_remove_index (w->watches, i);
  }
}

static void
leases_tick (World *w, gpointer p)
{
  GHashTableIter it;
  gpointer v;
  g_autoptr (GPtrArray) over = g_ptr_array_new ();
  g_hash_table_iter_init (&it, w->leases);
  while (g_hash_table_iter_next (&it, NULL, &v)) {
    SLease *l = v;
    if (w->outage > w->now)
      l->ends = w->outage + l->life; /* after an outage every lease has its full time again */
    else if (l->ends < w->now)
      g_ptr_array_add (over, l);
  }
  for (guint i = 0; i < over->len; i++) {
    SLease *l = over->pdata[i];
    g_autoptr (GPtrArray) dead = g_ptr_array_new_with_free_func (g_free);
    gpointer k;
    g_hash_table_iter_init (&it, w->keys);
    while (g_hash_table_iter_next (&it, &k, &v))
      if (((SKey *)v)->claim == l->id)
        g_ptr_array_add (dead, g_strdup (k));
    if (dead->len)
      w->epoch++;
    for (guint d = 0; d < dead->len; d++)
      change (w, dead->pdata[d], NULL, 0);
    g_hash_table_remove (w->leases, &l->id);
  }
  wake (w);
  w_at (w, w->now + 0.05, leases_tick, NULL);
}

/* Nothing is placed on a machine that went long ago, whatever late copies of its reports
 * say: longer than it may look alive, than an outage, and than a write may take. */
static void
check_place (World *w, const char *what, const char *machine)
{
  for (guint i = 0; machine && i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    if (m->gone && w->now - m->gone_at > 45 && strcmp (m->name, machine) == 0)
      w_broken (w, "stale", "%s is placed on %s, %.0f s after that went", what, machine,
                w->now - m->gone_at);
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
page_size (World *w, const char *path, const char *id)
{
  if (path[2] == 'u')
    return atoi (path + strlen ("h/u/") + strlen (id) + 1);
  g_autofree char *main = g_strconcat ("h/j/", id, NULL);
  SKey *k = g_hash_table_lookup (w->keys, main);
  json_t *o = k ? json_loads (k->text, 0, NULL) : NULL;
  guint n = json_integer_value (json_object_get (o, "q"));
  json_decref (o);
  return n;
}

/* Notes which process recorded each assignment first: its tag begins with its incarnation. */
static void
note_assignments (World *w, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *value = json_object_get (put, "value"), *e;
  const char *tag = json_string_value (json_object_get (value, "w"));
  size_t i;
  if (!path || !tag || !is_record (path))
    return;
  const char *page = path[2] == 'j' ? NULL : strrchr (path, '/');
  g_autofree char *id = g_strndup (path + 4, strcspn (path + 4, "/"));
  guint first = page ? atoi (page + 1) * page_size (w, path, id) : 0;
  json_array_foreach (json_object_get (value, "x"), i, e)
  {
    g_autofree char *key = g_strdup_printf ("%s/%u/%d", id, first + (guint)i,
                                            (int)json_integer_value (json_array_get (e, 2)));
    if (json_is_array (e) && !g_hash_table_contains (w->assigned, key))
      check_place (w, key, json_string_value (json_array_get (e, 0)));
    if (json_is_array (e) && !g_hash_table_contains (w->assigned, key))
      g_hash_table_insert (w->assigned, g_steal_pointer (&key),
                           g_strndup (tag, strcspn (tag, ".")));
  }
}

/* A write of the owner (tasks of a job that goes on) holds on the map's stamp, or a
 * former owner's late write would count. */
static void
check_fence (World *w, json_t *when, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *value = json_object_get (put, "value"), *e, *x = json_object_get (value, "x");
  size_t i;
  gboolean bound = FALSE, fenced = FALSE;
  if (!path || !is_record (path) || json_integer_value (json_object_get (value, "s")) == 2)
    return;
  json_array_foreach (x, i, e) bound |= json_is_array (e);
  json_array_foreach (when, i, e) fenced |=
      g_strcmp0 (json_string_value (json_object_get (e, "path")), "h/map") == 0;
  if (bound && !fenced)
    w_broken (w, "fence", "%s is written without a hold on the map", path);
}

/* A process of its own has written the map. */
static void
note_process (World *w, int node, json_t *map)
{
  guint64 token = json_integer_value (json_object_get (map, "b"));
  g_free (w->nodes[node].incarnation);
  w->nodes[node].incarnation = g_strdup (json_string_value (json_object_get (map, "i")));
  g_hash_table_insert (w->token_nodes, g_memdup2 (&token, sizeof token), GINT_TO_POINTER (node));
}

/* The map's change, and a withdrawal, are what an owner must not miss for long: check_kills in
 * world.c sees to the latter. */
static void
note_decision (World *w, const Req *r, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  json_t *s = json_object_get (json_object_get (put, "value"), "s");
  if (json_integer_value (s) == 2 && g_str_has_prefix (path, "h/j/")) {
    guint32 idx;
    SJob *j = job_by_id (w, path + strlen ("h/j/"), &idx);
    if (j && !j->withdrawn_at)
      j->withdrawn_at = w->now;
    if (!g_hash_table_contains (w->withdrawn, path + 4))
      g_hash_table_insert (w->withdrawn, g_strdup (path + 4),
                           g_memdup2 (&w->epoch, sizeof w->epoch));
  }
  if (g_strcmp0 (path, "h/map") != 0)
    return;
  if (w->controllers)
    note_process (w, r->node, json_object_get (put, "value"));
  for (int k = 0; k < w->n; k++)
    if (k != r->node) {
      Node *n = &w->nodes[k];
      if (!n->behind_at)
        n->behind_at = w->now;
      n->behind_epoch = w->epoch;
    }
}

/* Nothing that production would misread is written while one of its processes may be there. */
static void
check_form (World *w, json_t *put)
{
  const char *path = json_string_value (json_object_get (put, "set"));
  gboolean form = path && (g_str_has_prefix (path, "h/u/") || strcmp (path, "h/format") == 0 ||
                           json_object_get (json_object_get (put, "value"), "u"));
  for (int k = 0; form && k < w->n; k++)
    if (!w->nodes[k].speaks)
      w_broken (w, "form", "%s is written while c%d may be of production", path, k);
}

static gboolean
limits_fell (World *w)
{
  return w->limits_fall > 0 && w->now >= w->limits_fall;
}

/* Values beyond the limit are refused; of the new version none is sent again and again. */
static gboolean
refuse_size (World *w, Req *r, json_t *put)
{
  if (!json_object_get (put, "value"))
    return FALSE;
  const char *path = json_string_value (json_object_get (put, "set"));
  g_autofree char *t = hr_json_take_text (json_incref (json_object_get (put, "value")));
  if (!w->production && strlen (t) > NEXT_VALUE_KB * 1024)
    w_broken (w, "limit", "a value of %zu bytes for %s", strlen (t), path);
  if (strlen (t) <= (limits_fell (w) ? NEXT_VALUE_KB : w->value_kb) * 1024)
    return FALSE;
  guint *times = g_hash_table_lookup (w->too_large, path);
  if (!times) {
    times = g_new0 (guint, 1);
    g_hash_table_insert (w->too_large, g_strdup (path), times);
  }
  if (++*times > 6 && w->nodes[r->node].speaks)
    w_broken (w, "spin", "a value of %zu bytes for %s is sent for the %uth time", strlen (t), path,
              *times);
  return TRUE;
}

static gboolean
refuse_rate (World *w, guint changes)
{
  if (!limits_fell (w))
    return FALSE;
  w->write_tokens =
      MIN (NEXT_WRITE_RPS, w->write_tokens + (w->now - w->write_tokens_at) * NEXT_WRITE_RPS);
  w->write_tokens_at = w->now;
  if (w->write_tokens < changes)
    return TRUE;
  w->write_tokens -= changes;
  return FALSE;
}

static void
commit (World *w, Req *r)
{
  json_t *o = r->body ? json_loads (r->body, 0, NULL) : NULL, *e;
  json_t *when = json_object_get (o, "when"), *writes = json_object_get (o, "writes");
  json_t *failed = json_array ();
  size_t i;
  gboolean lease_gone = FALSE, too_large = FALSE;
  guint changes = json_array_size (writes);
  json_array_foreach (writes, i, e)
  {
    guint64 claim = json_integer_value (json_object_get (e, "claim"));
    check_fence (w, when, e);
    lease_gone |= claim && !g_hash_table_contains (w->leases, &claim);
    check_form (w, e);
    too_large |= refuse_size (w, r, e);
  }
  too_large |= limits_fell (w) && changes > NEXT_TXN_OPS;
  if (!w->production && changes > NEXT_TXN_OPS)
    w_broken (w, "limit", "%u changes in a transaction", changes);
  if (too_large || refuse_rate (w, changes)) {
    w_answer (w, r, too_large ? 400 : 429,
              g_strdup (too_large ? "{\"error\":\"the value is too large\"}"
                                  : "{\"error\":\"too many changes\"}"));
    json_decref (failed);
    json_decref (o);
    return;
  }
  if (lease_gone) {
    w_answer (w, r, 400, g_strdup ("{\"error\":\"no such lease\"}"));
    json_decref (failed);
    json_decref (o);
    return;
  }
  json_array_foreach (when, i, e)
  {
    const char *path = json_string_value (json_object_get (e, "path"));
    SKey *k = g_hash_table_lookup (w->keys, path);
    if ((guint64)json_integer_value (json_object_get (e, "stamp")) != (k ? k->stamp : 0))
      json_array_append_new (failed, json_string (path));
  }
  if (json_array_size (failed)) {
    w_answer (
        w, r, 409,
        hr_json_take_text (json_pack ("{sosI}", "failed", failed, "epoch", (json_int_t)w->epoch)));
    json_decref (o);
    return;
  }
  json_decref (failed);
  if (json_array_size (writes) > 12)
    w_broken (w, "limit", "%zu changes in a transaction", json_array_size (writes));
  if (json_array_size (writes))
    w->epoch++;
  json_array_foreach (writes, i, e)
  {
    const char *set = json_string_value (json_object_get (e, "set"));
    note_assignments (w, e);
    note_decision (w, r, e);
    if (g_strcmp0 (set, "h/map") == 0)
      troubles_map (w, json_object_get (e, "value"));
    if (set)
      change (w, set, hr_json_take_text (json_incref (json_object_get (e, "value"))),
              json_integer_value (json_object_get (e, "claim")));
    else
      change (w, json_string_value (json_object_get (e, "delete")), NULL, 0);
  }
  w_answer (w, r, 200, g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", w->epoch));
  json_decref (o);
  troubles_moment (w, ON_WRITE_DONE);
  wake (w);
}

/* Does any record name this machine? */
gboolean
store_names (World *w, const char *machine)
{
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init (&it, w->keys);
  while (g_hash_table_iter_next (&it, NULL, &k))
    if (strstr (((SKey *)k)->text, machine))
      return TRUE;
  return FALSE;
}

/* Every page of tasks becomes one that cannot be read. */
guint
store_tear (World *w)
{
  GHashTableIter it;
  gpointer path, k;
  guint n = 0;
  g_hash_table_iter_init (&it, w->keys);
  while (g_hash_table_iter_next (&it, &path, &k))
    if (g_str_has_prefix (path, "h/t/")) {
      g_free (((SKey *)k)->text);
      ((SKey *)k)->text = g_strdup ("{\"w\":\"torn\",\"x\":[0,\"m-0\",1]}");
      n++;
    }
  return n;
}

/* Pages in the ledger whose job is final. */
guint
store_garbage (World *w)
{
  GHashTableIter it;
  gpointer path;
  guint n = 0;
  g_hash_table_iter_init (&it, w->keys);
  while (g_hash_table_iter_next (&it, &path, NULL)) {
    if (!is_record (path) || g_str_has_prefix (path, "h/j/"))
      continue;
    const char *rest = (char *)path + strlen ("h/t/");
    g_autofree char *id = g_strndup (rest, strcspn (rest, "/"));
    g_autofree char *main = g_strconcat ("h/j/", id, NULL);
    SKey *k = g_hash_table_lookup (w->keys, main);
    n += k && !strstr (k->text, "\"j\":"); /* a tombstone has no description */
  }
  return n;
}

guint
store_large (World *w)
{
  GHashTableIter it;
  gpointer path, k;
  guint n = 0;
  g_hash_table_iter_init (&it, w->keys);
  while (g_hash_table_iter_next (&it, &path, &k))
    n += is_record (path) && strlen (((SKey *)k)->text) > NEXT_VALUE_KB * 1024;
  return n;
}

gboolean
store_split (World *w, const char *id)
{
  g_autofree char *main = g_strconcat ("h/j/", id, NULL);
  SKey *k = g_hash_table_lookup (w->keys, main);
  return k && strstr (k->text, "\"u\":1");
}

void
store_put (World *w, const char *path, const char *text)
{
  w->epoch++;
  change (w, path, g_strdup (text), 0);
}

gboolean
store_has (World *w, const char *path)
{
  return g_hash_table_contains (w->keys, path);
}

int
store_owner (World *w)
{
  SKey *k = g_hash_table_lookup (w->keys, "h/map");
  json_t *o = k ? json_loads (k->text, 0, NULL) : NULL;
  const char *label = json_string_value (json_object_get (o, "o"));
  int node = label ? label[1] - '0' : -1;
  json_decref (o);
  return node;
}

static char *
query (const char *path, const char *name)
{
  const char *q = strchr (path, '?');
  g_autofree char *want = g_strconcat (name, "=", NULL);
  g_auto (GStrv) parts = g_strsplit (q ? q + 1 : "", "&", -1);
  for (guint i = 0; parts[i]; i++)
    if (g_str_has_prefix (parts[i], want))
      return g_strdup (parts[i] + strlen (want));
  return NULL;
}

static int
by_text (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static void
range (World *w, Req *r)
{
  g_autofree char *prefix = query (r->path, "starts"), *after = query (r->path, "after");
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();
  if (!after)
    w->nodes[r->node].too_old = 0; /* it reads everything anew */
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init (&it, w->keys);
  while (g_hash_table_iter_next (&it, &k, NULL))
    if (g_str_has_prefix (k, prefix) && (!after || strcmp (k, after) > 0))
      g_ptr_array_add (keys, k);
  g_ptr_array_sort (keys, by_text);
  json_t *rows = json_array ();
  for (guint i = 0; i < keys->len && i < 7; i++) { /* short pages, so that paging is tested */
    SKey *s = g_hash_table_lookup (w->keys, keys->pdata[i]);
    json_array_append_new (rows, json_pack ("{sssosI}", "path", keys->pdata[i], "value",
                                            json_loads (s->text, JSON_DECODE_ANY, NULL), "stamp",
                                            (json_int_t)s->stamp));
  }
  w_answer (w, r, 200,
            hr_json_take_text (json_pack ("{sosbsI}", "rows", rows, "more", keys->len > 7, "epoch",
                                          (json_int_t)w->epoch)));
}

static void
lease (World *w, Req *r)
{
  guint64 id = 0;
  if (strcmp (r->path, "/leases") == 0) {
    json_t *o = json_loads (r->body, 0, NULL);
    SLease *l = g_new0 (SLease, 1);
    l->id = ++w->claims;
    l->life = json_integer_value (json_object_get (o, "life_ms")) / 1000.0;
    l->ends = w->now + l->life;
    json_decref (o);
    g_hash_table_insert (w->leases, &l->id, l);
    w_answer (w, r, 200, g_strdup_printf ("{\"claim\":%" G_GUINT64_FORMAT "}", l->id));
    return;
  }
  id = g_ascii_strtoull (r->path + strlen ("/leases/"), NULL, 10);
  SLease *l = g_hash_table_lookup (w->leases, &id);
  if (!l) {
    w_answer (w, r, 404, g_strdup ("{}"));
    return;
  }
  l->ends = r->method == HR_DELETE ? w->now - 1 : w->now + l->life;
  w_answer (w, r, 200, g_strdup ("{}"));
}

void
store_request (World *w, Req *r)
{
  if (w->outage > w->now || w->nodes[r->node].refused > w->now)
    w_answer (w, r, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (r->path, "/commit") == 0)
    commit (w, r);
  else if (g_str_has_prefix (r->path, "/leases"))
    lease (w, r);
  else if (g_str_has_prefix (r->path, "/kv?"))
    range (w, r);
  else if (g_str_has_prefix (r->path, "/kv/")) {
    SKey *k = g_hash_table_lookup (w->keys, r->path + 4);
    if (!k)
      w_answer (w, r, 404, g_strdup_printf ("{\"epoch\":%" G_GUINT64_FORMAT "}", w->epoch));
    else
      w_answer (w, r, 200,
                hr_json_take_text (json_pack ("{sssosI}", "path", r->path + 4, "value",
                                              json_loads (k->text, JSON_DECODE_ANY, NULL), "stamp",
                                              (json_int_t)k->stamp)));
  } else if (g_str_has_prefix (r->path, "/changes?")) {
    g_autofree char *after = query (r->path, "after"), *hold = query (r->path, "hold_ms");
    guint64 too_old = w->nodes[r->node].too_old;
    if (too_old && g_ascii_strtoull (after, NULL, 10) <= too_old) {
      w_answer (w, r, 410, g_strdup ("{\"error\":\"too old\"}"));
      return;
    }
    SWatch *s = g_new0 (SWatch, 1);
    s->r = r;
    r->refs++;
    s->prefix = query (r->path, "starts");
    s->after = g_ascii_strtoull (after, NULL, 10);
    s->ends = w->now + g_ascii_strtod (hold, NULL) / 1000;
    g_ptr_array_add (w->watches, s);
    wake (w);
  } else
    w_broken (w, "protocol", "the state service was asked for %s", r->path);
}

static void
change_clear (gpointer p)
{
  SChange *c = p;
  g_free (c->path);
  g_free (c->text);
}

/* As after an upgrade long ago; an upgrade's own day begins without it. */
void
store_format (World *w, gboolean known)
{
  if (!known) {
    g_hash_table_remove (w->keys, "h/format");
    return;
  }
  SKey *k = g_new0 (SKey, 1);
  k->text = g_strdup_printf ("{\"f\":%d}", HR_FORMAT);
  k->stamp = ++w->epoch;
  g_hash_table_replace (w->keys, g_strdup ("h/format"), k);
}

void
store_init (World *w)
{
  w->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_free);
  w->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  w->log = g_array_new (FALSE, TRUE, sizeof (SChange));
  g_array_set_clear_func (w->log, change_clear);
  w->watches = g_ptr_array_new ();
  w->too_large = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->token_nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  w->assigned = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store_format (w, TRUE);
  w->withdrawn = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w_at (w, 0.05, leases_tick, NULL);
}

const char *
store_text (World *w, const char *key)
{
  const SKey *k = g_hash_table_lookup (w->keys, key);
  return k ? k->text : "";
}

void
store_free (World *w)
{
  for (guint i = 0; i < w->watches->len; i++) {
    SWatch *s = w->watches->pdata[i];
    g_free (s->prefix);
    req_unref (s->r);
    g_free (s);
  }
  g_ptr_array_unref (w->watches);
  g_hash_table_unref (w->keys);
  g_hash_table_unref (w->leases);
  g_array_unref (w->log);
  g_hash_table_unref (w->token_nodes);
  g_hash_table_unref (w->assigned);
  g_hash_table_unref (w->too_large);
  g_hash_table_unref (w->withdrawn);
}
