/* A gang that sets `apart`, while the cloud has no machine to give in one of two zones. */
#include "world.h"
#include <string.h>

static const World small = {
    .site = "libros-del-valle",
    .controllers = 3,
    .areas = {"heredia-room", "cartago-room", "heredia-room"},
    .n_zones = 2,
    .zones = {"heredia-room", "cartago-room"},
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
    .cloud_latency_s = 0.15,
    .restart_s = 5,
    .type = "estante-node",
    .type_cpus = 12,
    .type_gpus = 2,
    .type_memory = 96,
    .fetch_rate = 0.5,
    .boot_s = 12,
    .capacity = {4, 4},
    .quick_boots = 4,
    .team = "bodega-team",
};

/* How long the cloud has no machine to give in the second zone. */
#define NONE_TO_GIVE_S 50
#define WATCHED_S 95

int
main (int argc, char **argv)
{
  const char *trouble = g_getenv ("TROUBLE");
  bool with_trouble = !trouble || strcmp (trouble, "0") != 0;
  char stance[16] = "";
  if (argc != 4)
    return 2;
  world = small;
  world_begin (argv[1], argv[2], argv[3]);
  json_t *gang = user_job ("job-000001", "spine-train", "ensemble", "urgent", 4, 10, 2, 77, 15);
  json_object_set_new (gang, "apart", json_true ());
  if (with_trouble) {
    record ("disruption: the cloud has no machine to give in %s for %d s", world.zones[1],
            NONE_TO_GIVE_S);
    zone_granted[1] = 0;
  }
  if (!wait_for_leader (15) || !user_submit_until_accepted (gang)) {
    world_end ();
    record ("result: could not run: the gang was not accepted");
    return 2;
  }
  double from = now_s ();
  for (int i = 0;
       now_s () < from + WATCHED_S && strcmp (stance, "done") != 0 && !rules_broken (NULL); i++) {
    if (now_s () > from + NONE_TO_GIVE_S && zone_granted[1] == 0) {
      record ("the disruption ends");
      zone_granted[1] = -1;
    }
    user_poll (i % world.controllers, "job-000001", stance);
    g_usleep (1000000);
  }
  world_end ();
  record ("result: %d rules broken; the gang is %s; %d starts of its tasks", rules_broken (NULL),
          *stance ? stance : "unknown", tasks_started ("job-000001"));
  return rules_broken (NULL) > 0;
}
