/* Services of 100,000 replicas that set `together` are accepted beside small jobs; users go on
 * asking about one of the small jobs at every controller. */
#include "world.h"
#include <string.h>

#define ZONES 3

static const World small = {
    .site = "libros-del-valle",
    .controllers = 3,
    .areas = {"heredia-room", "heredia-room", "heredia-room"},
    .n_zones = ZONES,
    .zones = {"heredia-room", "cartago-room", "liberia-room"},
    .report_s = 2.5,
    .lease_s = 14,
    .gang_wait_s = 30,
    .gang_peer_s = 8,
    .cancel_s = 34,
    .state_rps = 250,
    .state_write_rps = 100,
    .value_kb = 16,
    .txn_ops = 12,
    .cloud_rps = 5,
    .list_lag_s = 6,
    .cloud_latency_s = 0.1,
    .restart_s = 5,
    .type = "estante-node",
    .type_cpus = 12,
    .type_gpus = 2,
    .type_memory = 96,
    .fetch_rate = 0.5,
    .boot_s = 40,
    .capacity = {6, 6, 6},
    .team = "bodega-team",
};

/* shared/rules.md: "a job about which no question is answered for 75 s counts as forgotten". */
#define FORGOTTEN_S 75
#define END_S 110
#define REPLICAS 100000

/* Asks about the job at every controller each second. Returns when it was last answered. */
static double
ask_everywhere (const char *id, double answered_at, char stance[16])
{
  for (int node = 0; node < world.controllers; node++) {
    char heard[16];
    if (user_poll (node, id, heard) != 200)
      continue;
    strcpy (stance, heard);
    answered_at = now_s ();
  }
  return answered_at;
}

static json_t *
job_in_zone (int number, int zone, const char *class_name, const char *shape, const char *rank,
             int pieces, double cpus, double gpus, double guess_s)
{
  g_autofree char *id = g_strdup_printf ("job-%06d", number);
  json_t *job = user_job (id, class_name, shape, rank, pieces, cpus, gpus, 20, guess_s);
  json_object_set_new (job, "quarry", json_string (world.zones[zone]));
  return job;
}

/* Submits two services for each zone. Returns how many were accepted. */
static int
submit_services (void)
{
  int accepted = 0;
  double until = now_s () + 10;
  for (int i = 0; i < 2 * ZONES; i++) {
    bool is_first = i % 2 == 0;
    json_t *service =
        job_in_zone (10 + i, i / 2, "portada-live", "daemon", is_first ? "production" : "urgent",
                     REPLICAS, is_first ? 7 : 4, 1, 0);
    int status = 0;
    json_object_set_new (service, "together", json_true ());
    for (int node = i; status / 100 != 2 && now_s () < until; node++)
      status = user_submit (node % world.controllers, service, 2, NULL);
    accepted += status / 100 == 2;
  }
  return accepted;
}

int
main (int argc, char **argv)
{
  const char *trouble = g_getenv ("TROUBLE");
  bool with_trouble = !trouble || strcmp (trouble, "0") != 0;
  char stance[16] = "";
  int accepted = 0;
  if (argc != 4)
    return 2;
  world = small;
  world_begin (argv[1], argv[2], argv[3]);
  bool runs = wait_for_leader (15);
  for (int zone = 0; zone < ZONES && runs; zone++)
    runs = user_submit_until_accepted (
        job_in_zone (1 + zone, zone, "scan-clean", "batch", "normal", 1, 1, 0, 15));
  /* Wait for machines that boot in every zone, as on any morning. */
  while (runs && machines_rented () < ZONES && now_s () < 20)
    g_usleep (10000);
  if (!runs || machines_rented () < ZONES) {
    world_end ();
    record ("result: could not run: the first jobs were not accepted");
    return 2;
  }
  if (with_trouble) {
    record ("disruption: users submit services of %d replicas", REPLICAS);
    accepted = submit_services ();
    if (!accepted) {
      world_end ();
      record ("result: could not run: no service was accepted");
      return 2;
    }
  }
  double answered_at = now_s (), longest = 0;
  while (now_s () < END_S && strcmp (stance, "done") != 0) {
    double since = answered_at;
    answered_at = ask_everywhere ("job-000001", answered_at, stance);
    longest = MAX (longest, (answered_at > since ? answered_at : now_s ()) - since);
    if (longest > FORGOTTEN_S)
      break;
    g_usleep (1000000);
  }
  for (int node = 0; node < world.controllers; node++)
    record ("controller c%d has used %.1f s of processor time", node, controller_cpu_s (node));
  if (longest > FORGOTTEN_S)
    rule_broken ("forgotten",
                 "no controller answered a question about job-000001, which was accepted, for "
                 "%.1f s; its task was started %d times",
                 longest, tasks_started ("job-000001"));
  world_end ();
  record ("result: %d rules broken; %d services accepted; longest time without an answer about "
          "job-000001: %.1f s; it is %s; %d starts of its task",
          rules_broken (NULL), accepted, longest, *stance ? stance : "unknown",
          tasks_started ("job-000001"));
  return rules_broken (NULL) > 0;
}
