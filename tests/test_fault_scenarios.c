/* Fault scenarios: days (runs) of the simulated cluster on which several kinds of faults overlap.
 * Each test has a table of its faults and is played with several seeds. Every rule of the protocol
 * is checked at every event, and all work must be done once the faults are over. Scenarios of
 * machines and load are in test_fault_scenarios_fleet.c. */
#include "fault_scenarios.h"

/* A transaction is carried out late, after newer ones of the same controller, while users poll all
 * nodes within milliseconds. */
static void
late_writes_and_looks (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 40, .kind = FAULT_LATE_WRITES, .for_s = 60, .share = 0.3},
      {.at_s = 40, .kind = FAULT_CLOSE_POLLS, .for_s = 200},
      {.at_s = 150, .kind = FAULT_LATE_WRITES, .for_s = 40, .share = 0.6},
      {.at_s = 160, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.4}};
  PLAY (2000, 2004, day);
}

/* Users cancel jobs within milliseconds after they were accepted, and poll all nodes. Launches that
 * are in flight at that time may still start a few tasks. */
static void
cancels_at_once_and_looks (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 2, .kind = FAULT_CLOSE_POLLS, .for_s = 300, .share = 0.6},
      {.at_s = 100, .kind = FAULT_STATE_SLOW, .for_s = 60, .delay_s = 0.3}};
  PLAY_SET (2200, 2204, day, .started_cancelled = 2);
}

/* A transaction is carried out at once and only its answer is lost, while other controllers
 * read what it wrote, and users cancel jobs. */
static void
lost_answers_and_cancels (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 40, .kind = FAULT_LATE_WRITES, .for_s = 60, .share = 0.5, .at_once = TRUE},
      {.at_s = 30, .kind = FAULT_CLOSE_POLLS, .for_s = 220},
      {.at_s = 60, .kind = FAULT_CANCEL_NOW, .count = 10},
      {.at_s = 150, .kind = FAULT_LATE_WRITES, .for_s = 60, .share = 0.5, .at_once = TRUE},
      {.at_s = 150, .kind = FAULT_CANCEL_AT_END, .for_s = 60, .share = 0.6}};
  PLAY (2010, 2014, day);
}

/* A heartbeat is delayed until a new leader has acted, and then reaches that leader. */
static void
reports_for_the_next_leader (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      /* Some of these heartbeats are from machines that crash long before they arrive. */
      {.at_s = 35, .kind = FAULT_LATE_REPORTS, .for_s = 24, .share = 0.7, .for_next = TRUE},
      {.at_s = 59.5, .kind = FAULT_MACHINE_CRASH, .share = 0.5},
      {.at_s = 106, .kind = FAULT_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 110, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2020, 2024, day);
}

/* An old heartbeat reaches every controller just as a new leader takes over. */
static void
reports_as_a_leader_begins (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 35, .kind = FAULT_LATE_REPORTS, .for_s = 24, .share = 0.7, .to_all = TRUE},
      {.at_s = 59.5, .kind = FAULT_MACHINE_CRASH, .share = 0.5},
      {.at_s = 108, .kind = FAULT_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 110, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 160, .kind = FAULT_LATE_REPORTS, .for_s = 60, .share = 0.3},
      {.at_s = 180, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.3}};
  PLAY (2030, 2034, day);
}

/* A direct call is delayed for seconds without an answer, while its job is cancelled and machines
 * receive nothing from the controllers. */
static void
late_commands_and_deaf_machines (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 40, .kind = FAULT_LATE_COMMANDS, .for_s = 150, .share = 0.4},
      {.at_s = 60, .kind = FAULT_MACHINE_INBOUND_CUT, .for_s = 18, .share = 0.3},
      {.at_s = 70, .kind = FAULT_CANCEL_NOW, .count = 10, .hang_s = 9},
      {.at_s = 120, .kind = FAULT_CANCEL_NOW, .count = 10, .hang_s = 20}};
  PLAY (2040, 2044, day);
}

/* Workers reach no controller while direct calls reach them; jobs are cancelled meanwhile, and the
 * leader crashes. */
static void
mute_machines_and_cancels (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 80, .kind = FAULT_MACHINE_OUTBOUND_CUT, .for_s = 25, .share = 0.4},
      {.at_s = 84, .kind = FAULT_CANCEL_NOW, .count = 10},
      {.at_s = 88, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 170, .kind = FAULT_MACHINE_OUTBOUND_CUT, .for_s = 12, .share = 1},
      {.at_s = 172, .kind = FAULT_CANCEL_NOW, .count = 10, .hang_s = 13}};
  PLAY (2050, 2054, day);
}

/* A leader is cut off from the state store and the other controllers, but not from workers and
 * users, and jobs are cancelled through the new leader. */
static void
cut_leaders_and_cancels (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {{.at_s = 60, .kind = FAULT_CLOSE_POLLS, .for_s = 160},
                                {.at_s = 80,
                                 .kind = FAULT_NODE_CUT,
                                 .who = WHO_LEADER,
                                 .for_s = 30,
                                 .from_state = TRUE,
                                 .from_peers = TRUE},
                                {.at_s = 86, .kind = FAULT_CANCEL_NOW, .count = 6},
                                {.at_s = 92, .kind = FAULT_CANCEL_NOW, .count = 6, .hang_s = 10},
                                {.at_s = 160,
                                 .kind = FAULT_NODE_CUT,
                                 .who = WHO_LEADER,
                                 .for_s = 20,
                                 .from_state = TRUE,
                                 .from_peers = TRUE,
                                 .hold = TRUE},
                                {.at_s = 163, .kind = FAULT_CANCEL_NOW, .count = 10}};
  PLAY (2060, 2064, day);
}

/* Jobs are cancelled as or soon after the state store begins to refuse the leader alone; a second
 * after the cancellations the store is down for longer than cancel_s. */
static void
refused_leaders_and_outages (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 80, .kind = FAULT_STATE_REFUSES, .who = WHO_LEADER, .for_s = 14},
      {.at_s = 80, .kind = FAULT_CANCEL_NOW, .count = 12},
      {.at_s = 81, .kind = FAULT_STATE_OUTAGE, .for_s = 45},
      {.at_s = 170, .kind = FAULT_STATE_REFUSES, .who = WHO_LEADER, .for_s = 14},
      {.at_s = 171.5, .kind = FAULT_CANCEL_NOW, .count = 12, .hang_s = 12},
      {.at_s = 172.5, .kind = FAULT_STATE_OUTAGE, .for_s = 50}};
  PLAY (2070, 2076, day);
}

/* The state store answers slowly while users cancel jobs and poll all nodes. */
static void
slow_state_and_looks (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 40, .kind = FAULT_STATE_SLOW, .for_s = 120, .delay_s = 0.8},
      {.at_s = 40, .kind = FAULT_CLOSE_POLLS, .for_s = 200},
      {.at_s = 80, .kind = FAULT_CANCEL_NOW, .count = 8},
      {.at_s = 60, .kind = FAULT_CANCEL_AT_END, .for_s = 140, .share = 0.8},
      {.at_s = 130, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2080, 2084, day);
}

/* Users send malformed requests, which must be rejected or change nothing, while answers to writes
 * are lost and the leader changes. */
static void
odd_requests_and_new_leaders (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 10, .kind = FAULT_MALFORMED_REQUESTS, .for_s = 250},
      {.at_s = 60, .kind = FAULT_LATE_WRITES, .for_s = 40, .share = 0.3, .at_once = TRUE},
      {.at_s = 120, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 160, .kind = FAULT_STATE_SLOW, .for_s = 60, .delay_s = 0.5},
      {.at_s = 180, .kind = FAULT_STATE_REFUSES, .who = WHO_OTHER, .for_s = 20}};
  PLAY (2090, 2093, day);
}

/* The leader crashes ten times in two minutes, also during an outage of the state store. */
static void
ten_leaders_and_an_outage (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 60, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .times = 10, .every_s = 12},
      {.at_s = 100, .kind = FAULT_STATE_OUTAGE, .for_s = 20},
      {.at_s = 70, .kind = FAULT_CANCEL_NOW, .count = 4, .hang_s = 8, .times = 5, .every_s = 20}};
  PLAY (2120, 2124, day);
}

/* The leader crashes while machines receive nothing or are cut off, and copies of their heartbeats
 * are delayed until the next leader has taken over. */
static void
deaf_machines_and_the_next_leader (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 60, .kind = FAULT_LATE_REPORTS, .for_s = 45, .share = 0.5, .for_next = TRUE},
      {.at_s = 95, .kind = FAULT_MACHINE_INBOUND_CUT, .share = 0.4, .for_s = 25},
      {.at_s = 96, .kind = FAULT_MACHINE_CUT, .share = 0.3, .for_s = 25, .hold = TRUE},
      {.at_s = 97, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 99, .kind = FAULT_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 170, .kind = FAULT_LATE_REPORTS, .for_s = 30, .share = 0.5, .to_all = TRUE},
      {.at_s = 185, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.3}};
  PLAY (2300, 2304, day);
}

/* A leader is suspended for seconds and continues with outdated state; the state store refuses
 * the leader alone, and is then down for all controllers. */
static void
standing_leaders_and_refusals (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 70, .kind = FAULT_NODE_FREEZE, .who = WHO_LEADER, .for_s = 3.5},
      {.at_s = 71, .kind = FAULT_CANCEL_NOW, .count = 6, .hang_s = 9},
      {.at_s = 90, .kind = FAULT_NODE_FREEZE, .who = WHO_LEADER, .for_s = 9},
      {.at_s = 93, .kind = FAULT_CANCEL_NOW, .count = 8},
      {.at_s = 150, .kind = FAULT_STATE_REFUSES, .who = WHO_LEADER, .for_s = 12},
      {.at_s = 151, .kind = FAULT_CANCEL_NOW, .count = 10},
      {.at_s = 152, .kind = FAULT_STATE_OUTAGE, .for_s = 45},
      {.at_s = 158, .kind = FAULT_NODE_FREEZE, .who = WHO_LEADER, .for_s = 6}};
  PLAY (2310, 2314, day);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (late_writes_and_looks),
      cmocka_unit_test (cancels_at_once_and_looks),
      cmocka_unit_test (lost_answers_and_cancels),
      cmocka_unit_test (reports_for_the_next_leader),
      cmocka_unit_test (reports_as_a_leader_begins),
      cmocka_unit_test (late_commands_and_deaf_machines),
      cmocka_unit_test (mute_machines_and_cancels),
      cmocka_unit_test (cut_leaders_and_cancels),
      cmocka_unit_test (refused_leaders_and_outages),
      cmocka_unit_test (slow_state_and_looks),
      cmocka_unit_test (odd_requests_and_new_leaders),
      cmocka_unit_test (ten_leaders_and_an_outage),
      cmocka_unit_test (deaf_machines_and_the_next_leader),
      cmocka_unit_test (standing_leaders_and_refusals),
  };
  return fault_scenarios_main (argc, argv, tests, G_N_ELEMENTS (tests));
}
