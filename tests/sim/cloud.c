/* A stand-in for the cloud: rentals by name, late lists, boots that fail. */
#include "sim/cloud.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/worker.h"
#include "sim/world.h"
#include "protocol/json_util.h"
#include <string.h>

#define LAG 3.0
#define CALLS_PER_S 8.0  /* cloud.rps of the simulated settings */
#define CALLS_BURST 16.0 /* worth two seconds */

static const char *const zones[] = {"z0", "z1"};

void
machine_end (World *world, SimMachine *machine)
{
  if (machine->gone)
    return;
  machine_stop_all (world, machine);
  machine->gone = TRUE;
  machine->up = FALSE;
  machine->gone_at = world->now;
}

/* The cloud takes it, with no notice. */
static void
taken (World *world, gpointer data)
{
  machine_end (world, data);
}

void
machine_take (World *world, SimMachine *machine)
{
  if (machine->gone || machine->warned)
    return;
  if (w_rand (world, 0, 1) < 0.5) {
    machine_end (world, machine);
    return;
  }
  machine->warned = world->now + w_rand (world, 6, 18);
  w_at (world, machine->warned, taken, machine);
}

static void
boot (World *world, gpointer data)
{
  SimMachine *machine = data;
  if (machine->gone)
    return;
  machine->up = TRUE;
  worker_boot (world, machine);
}

static void
rent (World *world, SimRequest *request)
{
  json_t *object = json_loads (request->body, 0, NULL);
  const char *ask = json_string_value (json_object_get (object, "ask"));
  const char *zone = json_string_value (json_object_get (object, "quarry"));
  guint n = json_integer_value (json_object_get (object, "count"));
  gboolean spot = json_is_true (json_object_get (object, "loaners"));
  char *known = g_hash_table_lookup (world->asks, ask);
  if (known) {
    w_answer (world, request, 200, g_strdup (known));
    json_decref (object);
    return;
  }
  guint live = 0;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    live += !machine->gone && machine->spot == spot;
  }
  guint capacity = spot ? world->capacity / 3 : world->capacity;
  n = MIN (n, capacity > live ? capacity - live : 0);
  if (!n) {
    w_answer (world, request, 503, g_strdup ("{\"error\":\"no capacity\"}"));
    json_decref (object);
    return;
  }
  json_t *names = json_array ();
  for (guint i = 0; i < n; i++) {
    SimMachine *machine = g_new0 (SimMachine, 1);
    machine->name = g_strdup_printf (
        world->long_names ? "m-%06u-of-the-eastern-render-hall" : "m-%06u", world->machines->len);
    machine->addr = world->controllers
                        ? world->controllers->worker_address (world, world->machines->len)
                        : g_strdup_printf ("10.1.0.%u:9000", world->machines->len);
    machine->zone = strcmp (zone, "z1") == 0;
    machine->spot = spot;
    machine->rented = world->now;
    machine->faulty = w_rand (world, 0, 1) < 0.03;
    machine->tasks = g_array_new (FALSE, TRUE, sizeof (SimTask));
    machine->images = g_hash_table_new (g_direct_hash, g_direct_equal);
    double boot_s = w_rand (world, 0, 1) < 0.05 ? 1 : w_rand (world, 12, 30);
    machine->boots =
        faults_boot_time (world, w_rand (world, 0, 1) < 0.04 ? 1e9 : world->now + boot_s);
    g_ptr_array_add (world->machines, machine);
    json_array_append_new (names, json_string (machine->name));
    if (machine->boots < 1e8)
      w_at (world, machine->boots, boot, machine);
  }
  json_t *array = json_pack ("{so}", "rockhands", names);
  char *text = hr_json_take_text (array);
  g_hash_table_insert (world->asks, g_strdup (ask), g_strdup (text));
  json_decref (object);
  w_answer (world, request, 200, text);
}

static void
del (World *world, SimRequest *request)
{
  json_t *object = json_loads (request->body, 0, NULL), *entry;
  size_t i;
  json_array_foreach (json_object_get (object, "rockhands"), i, entry)
  {
    for (guint k = 0; k < world->machines->len; k++) {
      SimMachine *machine = world->machines->pdata[k];
      if (strcmp (machine->name, json_string_value (entry)) != 0)
        continue;
      /* Longer than any outage, and no record names it, or did of late: the leader's view is
       * that of an earlier term of his. */
      if (!request->answered && machine->gone &&
          world->now - MAX (machine->gone_at, machine->named_at) > 90 &&
          !store_names (world, machine->name))
        w_broken (world, "stale", "%s is returned %.0f s after it went", machine->name,
                  world->now - machine->gone_at);
      if (!machine->asked_gone)
        machine->asked_gone = world->now;
      machine_end (world, machine);
    }
  }
  json_decref (object);
  w_answer (world, request, 200, g_strdup ("{}"));
}

static void
list (World *world, SimRequest *request)
{
  double at = world->now - w_rand (world, 0.5, 2) * LAG;
  const char *after = strstr (request->path, "after=");
  g_autofree char *from = after ? g_strndup (after + 6, strcspn (after + 6, "&")) : g_strdup ("");
  json_t *rows = json_array ();
  gboolean more = FALSE;
  for (guint i = 0; i < world->machines->len; i++) {
    SimMachine *machine = world->machines->pdata[i];
    if (machine->rented > at || (machine->gone && machine->gone_at < at) ||
        strcmp (machine->name, from) <= 0)
      continue;
    if (json_array_size (rows) == (world->capacity > 100 ? 500 : 10)) {
      more = TRUE;
      break;
    }
    json_array_append_new (rows, json_pack ("{sssssssssbsssf}", "name_id", machine->name, "addr",
                                            machine->addr, "hull", "g2", "quarry",
                                            zones[machine->zone], "loaners", machine->spot,
                                            "stance", machine->boots > at ? "starting" : "running",
                                            "age_s", at - machine->rented));
  }
  json_t *array = json_pack ("{sosb}", "rockhands", rows, "more", more);
  w_answer (world, request, 200, hr_json_take_text (array));
}

/* More calls than the cloud allows, also while it is in trouble, take away from those that matter
 * when that is over. Late copies are not the controllers' doing. */
static void
check_rate (World *world, const SimRequest *request)
{
  if (request->answered)
    return;
  world->cloud_calls =
      MAX (0, world->cloud_calls - (world->now - world->cloud_called) * CALLS_PER_S) + 1;
  world->cloud_called = world->now;
  if (world->cloud_calls > CALLS_BURST) {
    w_broken (world, "cloud_rate", "c%d calls %s, more often than the cloud allows", request->node,
              request->path);
    world->cloud_calls = 0;
  }
}

void
cloud_request (World *world, SimRequest *request)
{
  check_rate (world, request);
  if (world->cloud_outage > world->now)
    w_answer (world, request, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (request->path, "/machine_types") == 0)
    w_answer (world, request, 200,
              g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                        "96,\"cache_gb\":100,\"fetch_gb_per_s\":1.0,\"hourly\":5.0,\"low_price\":"
                        "2.0,\"startup_s\":20,\"quarries\":[\"z0\",\"z1\"]}]}"));
  else if (strcmp (request->path, "/rentals") == 0)
    rent (world, request);
  else if (strcmp (request->path, "/rentals/delete") == 0)
    del (world, request);
  else if (g_str_has_prefix (request->path, "/rentals?"))
    list (world, request);
  else
    w_broken (world, "protocol", "the cloud was asked for %s", request->path);
}

static void
machine_free (gpointer data)
{
  SimMachine *machine = data;
  g_free (machine->name);
  g_free (machine->addr);
  g_array_unref (machine->tasks);
  g_hash_table_unref (machine->images);
  g_free (machine);
}

void
cloud_init (World *world)
{
  world->machines = g_ptr_array_new_with_free_func (machine_free);
  world->asks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->capacity = 24;
}

void
cloud_free (World *world)
{
  g_ptr_array_unref (world->machines);
  g_hash_table_unref (world->asks);
}
