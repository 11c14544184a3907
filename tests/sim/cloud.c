/* The simulated cloud. src/protocol/wire_names.h explains the fields of its interface. */
#include "sim/cloud.h"
#include "sim/request.h"
#include "sim/store.h"
#include "sim/trouble_hooks.h"
#include "sim/worker.h"
#include "sim/cluster.h"
#include "protocol/json_util.h"
#include <string.h>

#define LIST_LAG_S 3.0   /* cloud.list_lag_s of the simulated settings */
#define CALLS_PER_S 8.0  /* cloud.rps of the simulated settings */
#define CALLS_BURST 16.0 /* the calls of two seconds */

static const char *const zones[] = {"z0", "z1"};

void
machine_terminate (SimCluster *cluster, SimMachine *machine)
{
  if (machine->gone)
    return;
  machine_discard_tasks (cluster, machine);
  machine->gone = TRUE;
  machine->up = FALSE;
  machine->gone_at = cluster->now;
}

static void
reclaim_after_notice (SimCluster *cluster, gpointer data)
{
  machine_terminate (cluster, data);
}

void
machine_reclaim (SimCluster *cluster, SimMachine *machine)
{
  if (machine->gone || machine->reclaim_at)
    return;
  if (sim_rand_range (cluster, 0, 1) < 0.5) {
    machine_terminate (cluster, machine);
    return;
  }
  machine->reclaim_at = cluster->now + sim_rand_range (cluster, 6, 18);
  sim_schedule (cluster, machine->reclaim_at, reclaim_after_notice, machine);
}

static void
boot (SimCluster *cluster, gpointer data)
{
  SimMachine *machine = data;
  if (machine->gone)
    return;
  machine->up = TRUE;
  worker_boot (cluster, machine);
}

static void
rent (SimCluster *cluster, SimRequest *request)
{
  json_t *object = json_loads (request->body, 0, NULL);
  const char *request_id = json_string_value (json_object_get (object, "ask"));
  const char *zone = json_string_value (json_object_get (object, "quarry"));
  guint n = json_integer_value (json_object_get (object, "count"));
  gboolean spot = json_is_true (json_object_get (object, "loaners"));
  char *previous = g_hash_table_lookup (cluster->rentals, request_id);
  if (previous) {
    sim_send_response (cluster, request, 200, g_strdup (previous));
    json_decref (object);
    return;
  }
  guint rented = 0;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    rented += !machine->gone && machine->spot == spot;
  }
  guint capacity = spot ? cluster->capacity / 3 : cluster->capacity;
  n = MIN (n, capacity > rented ? capacity - rented : 0);
  if (!n) {
    sim_send_response (cluster, request, 503, g_strdup ("{\"error\":\"no capacity\"}"));
    json_decref (object);
    return;
  }
  json_t *names = json_array ();
  for (guint i = 0; i < n; i++) {
    SimMachine *machine = g_new0 (SimMachine, 1);
    machine->name =
        g_strdup_printf (cluster->long_names ? "m-%06u-of-the-eastern-render-hall" : "m-%06u",
                         cluster->machines->len);
    machine->addr = cluster->controllers
                        ? cluster->controllers->worker_address (cluster, cluster->machines->len)
                        : g_strdup_printf ("10.1.0.%u:9000", cluster->machines->len);
    machine->zone = strcmp (zone, "z1") == 0;
    machine->spot = spot;
    machine->rented_at = cluster->now;
    machine->faulty = sim_rand_range (cluster, 0, 1) < 0.03;
    machine->tasks = g_array_new (FALSE, TRUE, sizeof (SimTask));
    machine->images = g_hash_table_new (g_direct_hash, g_direct_equal);
    /* 4% of the machines never boot (up_at is 1e9); 5% of the others boot in 1 s. A fault of fast
     * boots overrides both. */
    double boot_s = sim_rand_range (cluster, 0, 1) < 0.05 ? 1 : sim_rand_range (cluster, 12, 30);
    machine->up_at = faults_boot_time (
        cluster, sim_rand_range (cluster, 0, 1) < 0.04 ? 1e9 : cluster->now + boot_s);
    g_ptr_array_add (cluster->machines, machine);
    json_array_append_new (names, json_string (machine->name));
    if (machine->up_at < 1e8)
      sim_schedule (cluster, machine->up_at, boot, machine);
  }
  json_t *array = json_pack ("{so}", "rockhands", names);
  char *text = hr_json_take_text (array);
  g_hash_table_insert (cluster->rentals, g_strdup (request_id), g_strdup (text));
  json_decref (object);
  sim_send_response (cluster, request, 200, text);
}

static void
delete_rentals (SimCluster *cluster, SimRequest *request)
{
  json_t *object = json_loads (request->body, 0, NULL), *entry;
  size_t i;
  json_array_foreach (json_object_get (object, "rockhands"), i, entry)
  {
    for (guint k = 0; k < cluster->machines->len; k++) {
      SimMachine *machine = cluster->machines->pdata[k];
      if (strcmp (machine->name, json_string_value (entry)) != 0)
        continue;
      /* Violation: the machine has been gone for more than 90 s, longer than any outage, and no
       * record has named it for as long. The leader acts on its knowledge from an earlier term. */
      if (!request->answered && machine->gone &&
          cluster->now - MAX (machine->gone_at, machine->last_referenced_at) > 90 &&
          !store_references_machine (cluster, machine->name))
        sim_report_violation (cluster, "stale", "%s is returned though it ended %.0f s ago",
                              machine->name, cluster->now - machine->gone_at);
      if (!machine->delete_requested_at)
        machine->delete_requested_at = cluster->now;
      machine_terminate (cluster, machine);
    }
  }
  json_decref (object);
  sim_send_response (cluster, request, 200, g_strdup ("{}"));
}

static void
list_rentals (SimCluster *cluster, SimRequest *request)
{
  /* The list is 1.5 to 6 s old, although the setting states 3 s. */
  double at = cluster->now - sim_rand_range (cluster, 0.5, 2) * LIST_LAG_S;
  const char *after = strstr (request->path, "after=");
  g_autofree char *from = after ? g_strndup (after + 6, strcspn (after + 6, "&")) : g_strdup ("");
  json_t *rows = json_array ();
  gboolean more = FALSE;
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    if (machine->rented_at > at || (machine->gone && machine->gone_at < at) ||
        strcmp (machine->name, from) <= 0)
      continue;
    if (json_array_size (rows) == (cluster->capacity > 100 ? 500 : 10)) {
      more = TRUE;
      break;
    }
    json_array_append_new (rows, json_pack ("{sssssssssbsssf}", "name_id", machine->name, "addr",
                                            machine->addr, "hull", "g2", "quarry",
                                            zones[machine->zone], "loaners", machine->spot,
                                            "stance", machine->up_at > at ? "starting" : "running",
                                            "age_s", at - machine->rented_at));
  }
  json_t *array = json_pack ("{sosb}", "rockhands", rows, "more", more);
  sim_send_response (cluster, request, 200, hr_json_take_text (array));
}

/* Checks the rate of calls of all controllers together, also during an outage of the cloud: calls
 * beyond the cloud's allowance then leave none for the necessary calls after the outage. Late
 * copies of a call do not count, since the network makes them. */
static void
check_rate (SimCluster *cluster, const SimRequest *request)
{
  if (request->answered)
    return;
  cluster->cloud_calls =
      MAX (0, cluster->cloud_calls - (cluster->now - cluster->cloud_called_at) * CALLS_PER_S) + 1;
  cluster->cloud_called_at = cluster->now;
  if (cluster->cloud_calls > CALLS_BURST) {
    sim_report_violation (cluster, "cloud_rate", "c%d calls %s, more often than the cloud allows",
                          request->node, request->path);
    cluster->cloud_calls = 0;
  }
}

void
cloud_request (SimCluster *cluster, SimRequest *request)
{
  check_rate (cluster, request);
  if (cluster->cloud_outage_until > cluster->now)
    sim_send_response (cluster, request, 503, g_strdup ("{\"error\":\"trouble\"}"));
  else if (strcmp (request->path, "/machine_types") == 0)
    sim_send_response (
        cluster, request, 200,
        g_strdup ("{\"hulls\":[{\"sku\":\"g2\",\"vcpus\":12,\"accelerators\":2,\"memory_gb\":"
                  "96,\"cache_gb\":100,\"fetch_gb_per_s\":1.0,\"hourly\":5.0,\"low_price\":"
                  "2.0,\"startup_s\":20,\"quarries\":[\"z0\",\"z1\"]}]}"));
  else if (strcmp (request->path, "/rentals") == 0)
    rent (cluster, request);
  else if (strcmp (request->path, "/rentals/delete") == 0)
    delete_rentals (cluster, request);
  else if (g_str_has_prefix (request->path, "/rentals?"))
    list_rentals (cluster, request);
  else
    sim_report_violation (cluster, "protocol", "unexpected request to the cloud: %s",
                          request->path);
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
cloud_init (SimCluster *cluster)
{
  cluster->machines = g_ptr_array_new_with_free_func (machine_free);
  cluster->rentals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster->capacity = 24;
}

void
cloud_free (SimCluster *cluster)
{
  g_ptr_array_unref (cluster->machines);
  g_hash_table_unref (cluster->rentals);
}
