/* Fault scenarios: days (runs) of the simulated cluster on which several kinds of faults overlap.
 * Each test has a table of its faults and is played with several seeds. Every rule of the protocol
 * is checked at every event, and all work must be done once the faults are over. Scenarios of
 * users, messages and leaders are in test_fault_scenarios.c. */
#include "fault_scenarios.h"
#include "sim/workloads_large.h"

/* New machines are up within two seconds and get work at once while writes are delayed, and the
 * leader crashes. */
static void
fast_boots_and_late_writes (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 0.1, .kind = FAULT_FAST_BOOT, .for_s = 250},
      {.at_s = 2, .kind = FAULT_LATE_WRITES, .for_s = 80, .share = 0.3},
      {.at_s = 40, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 110, .kind = FAULT_MACHINE_CRASH, .share = 0.5},
      {.at_s = 110, .kind = FAULT_LATE_WRITES, .for_s = 40, .share = 0.6},
      {.at_s = 114, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.5}};
  PLAY (2100, 2104, day);
}

static void
four_jobs_per_second (SimCluster *cluster)
{
  users_single_task_jobs (cluster, 5, 185, 4, 0.25);
}

/* Four one-task jobs are submitted per second for minutes and a quarter of them is cancelled; the
 * leader changes meanwhile and answers to writes are lost. */
static void
single_jobs_and_new_leaders (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 30, .kind = FAULT_CANCEL_AT_END, .for_s = 150, .share = 0.2},
      {.at_s = 40, .kind = FAULT_CLOSE_POLLS, .for_s = 30},
      {.at_s = 60, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 100, .kind = FAULT_LATE_WRITES, .for_s = 30, .share = 0.2, .at_once = TRUE},
      {.at_s = 140, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.4}};
  PLAY_SET (2110, 2112, day, .users = four_jobs_per_second, .until = 500);
}

/* A zone with workers and a controller is cut off for longer than lease_s; the controller is the
 * leader the first time and another one the second time. */
static void
cut_zones_and_cancels (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 70, .kind = FAULT_ZONE_CUT, .zone = ZONE (0), .who = WHO_LEADER, .for_s = 30},
      {.at_s = 74, .kind = FAULT_CANCEL_NOW, .count = 8},
      {.at_s = 160,
       .kind = FAULT_ZONE_CUT,
       .zone = ZONE (1),
       .who = WHO_OTHER,
       .for_s = 40,
       .hold = TRUE},
      {.at_s = 165, .kind = FAULT_CANCEL_NOW, .count = 8, .hang_s = 11}};
  PLAY (2130, 2134, day);
}

/* Every team is at its quota while jobs are cancelled whose machines are cut off or hang, and the
 * leader changes. */
static void
full_teams_and_cut_machines (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 80, .kind = FAULT_MACHINE_CUT, .share = 0.4, .for_s = 22, .hold = TRUE},
      {.at_s = 82, .kind = FAULT_CANCEL_NOW, .count = 6, .hang_s = 12},
      {.at_s = 83, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 150, .kind = FAULT_LATE_WRITES, .for_s = 20, .share = 0.4},
      {.at_s = 155, .kind = FAULT_CANCEL_NOW, .count = 6, .hang_s = 20},
      {.at_s = 156, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.3}};
  PLAY_SET (2140, 2144, day, .quota_gpus = 12, .until = 1100);
}

/* All controllers are down for longer than lease_s; a zone's machines are still cut off as the
 * controllers come back. */
static void
no_controllers_and_cut_machines (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 80, .kind = FAULT_NODE_CRASH, .who = WHO_ALL, .back_s = 18},
      {.at_s = 90, .kind = FAULT_MACHINE_CUT, .zone = ZONE (1), .for_s = 20, .hold = TRUE},
      {.at_s = 109, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 170, .kind = FAULT_NODE_CRASH, .who = WHO_ALL, .back_s = 25, .first_back_s = 0.5},
      {.at_s = 171, .kind = FAULT_CLOSE_POLLS, .for_s = 30}};
  PLAY (2150, 2154, day);
}

static void
zone_bound_jobs (SimCluster *cluster)
{
  users_zone_bound_jobs (cluster, 32, 200);
}

/* Jobs that are bound to one zone, arrays among them, lose machines. */
static void
bound_jobs_and_lost_machines (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 70, .kind = FAULT_MACHINE_CRASH, .zone = ZONE (0), .share = 0.6},
      {.at_s = 72, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 120, .kind = FAULT_MACHINE_HANG, .zone = ZONE (1), .share = 0.5, .for_s = 18},
      {.at_s = 125, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 170, .kind = FAULT_MACHINE_CUT, .zone = ZONE (0), .for_s = 25}};
  PLAY_SET (2160, 2164, day, .users = zone_bound_jobs);
}

static void
overload (SimCluster *cluster)
{
  users_overload (cluster, 5);
}

static void
jobs_near_limit (SimCluster *cluster)
{
  users_at_limit (cluster, 5);
}

/* A team is near its quota, a gang needs more than is left of it, and the leader changes: arrays
 * that fit into what is left run while the gang waits. */
static void
a_gang_beyond_the_limit_and_new_leaders (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 60, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 70, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.4}};
  PLAY_SET (2190, 2192, day, .users = jobs_near_limit, .quota_gpus = 12);
}

/* There is more urgent and normal work than capacity, and links are slow. */
static void
overload_and_slow_links (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 20, .kind = FAULT_SLOW_LINKS, .for_s = 150, .delay_s = 0.25},
      {.at_s = 90, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 100, .kind = FAULT_CANCEL_NOW, .count = 5, .hang_s = 12, .times = 3, .every_s = 9}};
  PLAY_SET (2170, 2174, day, .users = overload, .capacity = 8, .until = 900);
}

/* Tasks of a job end far apart, across changes of the leader; machines crash before the tasks' ends
 * are recorded, and answers to writes are lost although the writes are carried out. */
static void
ends_far_apart_and_new_leaders (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 40, .kind = FAULT_CLOSE_POLLS, .for_s = 200},
      {.at_s = 50, .kind = FAULT_CANCEL_AT_END, .for_s = 150, .share = 0.5},
      {.at_s = 60, .kind = FAULT_LATE_WRITES, .for_s = 120, .share = 0.3, .at_once = TRUE},
      {.at_s = 70, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .times = 5, .every_s = 25},
      {.at_s = 71, .kind = FAULT_MACHINE_CRASH, .count = 2, .times = 5, .every_s = 25}};
  PLAY (2320, 2324, day);
}

/* The cloud is down while machines crash, and the leader crashes: after the outage machines
 * are deleted and new ones rented at once. */
static void
cloud_outages_and_lost_machines (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {{.at_s = 60, .kind = FAULT_CLOUD_OUTAGE, .for_s = 25},
                                {.at_s = 62, .kind = FAULT_MACHINE_CRASH, .share = 0.4},
                                {.at_s = 150, .kind = FAULT_MACHINE_CRASH, .share = 0.6},
                                {.at_s = 150, .kind = FAULT_CLOUD_OUTAGE, .for_s = 20},
                                {.at_s = 160, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2180, 2184, day);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (fast_boots_and_late_writes),
      cmocka_unit_test (single_jobs_and_new_leaders),
      cmocka_unit_test (cut_zones_and_cancels),
      cmocka_unit_test (full_teams_and_cut_machines),
      cmocka_unit_test (no_controllers_and_cut_machines),
      cmocka_unit_test (bound_jobs_and_lost_machines),
      cmocka_unit_test (overload_and_slow_links),
      cmocka_unit_test (a_gang_beyond_the_limit_and_new_leaders),
      cmocka_unit_test (ends_far_apart_and_new_leaders),
      cmocka_unit_test (cloud_outages_and_lost_machines),
  };
  return fault_scenarios_main (argc, argv, tests, G_N_ELEMENTS (tests));
}
