/* A stand-in for the cloud: rentals by name, late lists, boots that fail. */
#include "sim/world.h"
#include "protocol/json_util.h"
#include <string.h>

#define LAG 3.0
#define CALLS_PER_S 8.0  /* cloud.rps of the simulated settings */
#define CALLS_BURST 16.0 /* worth two seconds */

static const char *const zones[] = {"z0", "z1"};

void
machine_end (World *w, SMachine *m)
{
  if (m->gone)
    return;
  machine_stop_all (w, m, NULL);
  m->gone = TRUE;
  m->up = FALSE;
  m->gone_at = w->now;
}

/* The cloud takes it, with no notice. */
static void
taken (World *w, gpointer p)
{
  machine_end (w, p);
}

void
machine_take (World *w, SMachine *m)
{
  if (m->gone || m->warned)
    return;
  if (w_rand (w, 0, 1) < 0.5) {
    machine_end (w, m);
    return;
  }
  m->warned = w->now + w_rand (w, 6, 18);
  w_at (w, m->warned, taken, m);
}

static void
boot (World *w, gpointer p)
{
  SMachine *m = p;
  if (m->gone)
    return;
  m->up = TRUE;
  worker_boot (w, m);
}

static void
rent (World *w, Req *r)
{
  json_t *o = json_loads (r->body, 0, NULL);
  const char *ask = json_string_value (json_object_get (o, "ask"));
  const char *zone = json_string_value (json_object_get (o, "quarry"));
  guint n = json_integer_value (json_object_get (o, "count"));
  gboolean spot = json_is_true (json_object_get (o, "loaners"));
  char *known = g_hash_table_lookup (w->asks, ask);
  if (known) {
    w_answer (w, r, 200, g_strdup (known));
    json_decref (o);
    return;
  }
  guint live = 0;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    live += !m->gone && m->spot == spot;
  }
  guint capacity = spot ? w->capacity / 3 : w->capacity;
  n = MIN (n, capacity > live ? capacity - live : 0);
  if (!n) {
    w_answer (w, r, 503, g_strdup ("{\"error\":\"no capacity\"}"));
    json_decref (o);
    return;
  }
  json_t *names = json_array ();
  for (guint i = 0; i < n; i++) {
    SMachine *m = g_new0 (SMachine, 1);
    m->name = g_strdup_printf (w->long_names ? "m-%06u-of-the-eastern-render-hall" : "m-%06u",
                               w->machines->len);
    m->addr = w->controllers ? w->controllers->worker_address (w, w->machines->len)
                             : g_strdup_printf ("10.1.0.%u:9000", w->machines->len);
    m->zone = strcmp (zone, "z1") == 0;
    m->spot = spot;
    m->rented = w->now;
    m->faulty = w_rand (w, 0, 1) < 0.03;
    m->tasks = g_array_new (FALSE, TRUE, sizeof (STask));
    m->images = g_hash_table_new (g_direct_hash, g_direct_equal);
    double b = w_rand (w, 0, 1) < 0.05 ? 1 : w_rand (w, 12, 30);
    m->boots = troubles_boots (w, w_rand (w, 0, 1) < 0.04 ? 1e9 : w->now + b);
    g_ptr_array_add (w->machines, m);
    json_array_append_new (names, json_string (m->name));
    if (m->boots < 1e8)
      w_at (w, m->boots, boot, m);
  }
  json_t *a = json_pack ("{so}", "rockhands", names);
  char *text = hr_json_take_text (a);
  g_hash_table_insert (w->asks, g_strdup (ask), g_strdup (text));
  json_decref (o);
  w_answer (w, r, 200, text);
}

static void
del (World *w, Req *r)
{
  json_t *o = json_loads (r->body, 0, NULL), *e;
  size_t i;
  json_array_foreach (json_object_get (o, "rockhands"), i, e)
  {
    for (guint k = 0; k < w->machines->len; k++) {
      SMachine *m = w->machines->pdata[k];
      if (strcmp (m->name, json_string_value (e)) != 0)
        continue;
      /* Longer than any outage, and no record names it, or did of late: the owner's view is
       * that of an earlier term of his. */
      if (!r->answered && m->gone && w->now - MAX (m->gone_at, m->named_at) > 90 &&
          !store_names (w, m->name))
        w_broken (w, "stale", "%s is returned %.0f s after it went", m->name, w->now - m->gone_at);
      if (!m->asked_gone)
        m->asked_gone = w->now;
      machine_end (w, m);
    }
  }
  json_decref (o);
  w_answer (w, r, 200, g_strdup ("{}"));
}

static void
list (World *w, Req *r)
{
  double at = w->now - w_rand (w, 0.5, 2) * LAG;
  const char *after = strstr (r->path, "after=");
  g_autofree char *from = after ? g_strndup (after + 6, strcspn (after + 6, "&")) : g_strdup ("");
  json_t *rows = json_array ();
  gboolean more = FALSE;
  for (guint i = 0; i < w->machines->len; i++) {
    SMachine *m = w->machines->pdata[i];
    if (m->rented > at || (m->gone && m->gone_at < at) || strcmp (m->name, from) <= 0)
      continue;
    if (json_array_size (rows) == (w->capacity > 100 ? 500 : 10)) {
      more = TRUE;
      break;
    }
    json_array_append_new (
        rows, json_pack ("{sssssssssbsssf}", "name_id", m->name, "addr", m->addr, "hull", "g2",
                         "quarry", zones[m->zone], "loaners", m->spot, "stance",
                         m->boots > at ? "starting" : "running", "age_s", at - m->rented));
  }
  json_t *a = json_pack ("{sosb}", "rockhands", rows, "more", more);
  w_answer (w, r, 200, hr_json_take_text (a));
}

/* More calls than the cloud allows, also while it is in trouble, take away from those that matter
 * when that is over. Late copies are not the controllers' doing. */
static void
check_rate (World *w, const Req *r)
{
  if (r->answered)
    return;
  w->cloud_calls = MAX (0, w->cloud_calls - (w->now - w->cloud_called) * CALLS_PER_S) + 1;
  w->cloud_called = w->now;
  if (w->cloud_calls > CALLS_BURST) {
    w_broken (w, "cloud_rate", "c%d calls %s, more often than the cloud allows", r->node, r->path);
    w->cloud_calls = 0;
  }
}

void
cloud_request (World *w, Req *r)
{
  check_rate (w, r);
  if (w->cloud_outage > w->now)
    w_answer (w, r, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (r->path, "/machine_types") == 0)
    w_answer (w, r, 200,
              g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                        "96,\"cache_gb\":100,\"fetch_gb_per_s\":1.0,\"hourly\":5.0,\"low_price\":"
                        "2.0,\"startup_s\":20,\"quarries\":[\"z0\",\"z1\"]}]}"));
  else if (strcmp (r->path, "/rentals") == 0)
    rent (w, r);
  else if (strcmp (r->path, "/rentals/delete") == 0)
    del (w, r);
  else if (g_str_has_prefix (r->path, "/rentals?"))
    list (w, r);
  else
    w_broken (w, "protocol", "the cloud was asked for %s", r->path);
}

static void
machine_free (gpointer p)
{
  SMachine *m = p;
  g_free (m->name);
  g_free (m->addr);
  g_array_unref (m->tasks);
  g_hash_table_unref (m->images);
  g_free (m);
}

void
cloud_init (World *w)
{
  w->machines = g_ptr_array_new_with_free_func (machine_free);
  w->asks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->capacity = 24;
}

void
cloud_free (World *w)
{
  g_ptr_array_unref (w->machines);
  g_hash_table_unref (w->asks);
}
