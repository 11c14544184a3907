/* Days of the simulated cluster on which two troubles meet. One function for each meeting, with
 * a table of its troubles; it is played with several seeds. Every rule of the protocol is
 * asserted at every event, and all work is done once the troubles are over. */
#include "sim/meeting.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

/* Other seeds than those of the table: test_meetings PART FROM TO. */
static guint other_from, other_to;

static void
play_seeds (guint from, guint to, const MeetingSetting *set, const HrTrouble *day, guint n)
{
  guint broken = 0;
  if (other_to > other_from) {
    from = other_from;
    to = other_to;
  }
  for (guint s = from; s < to; s++)
    broken += meeting_play (s, set, day, n);
  assert_int_equal (broken, 0);
}

#define PLAY(from, to, day) play_seeds (from, to, &(MeetingSetting){0}, day, G_N_ELEMENTS (day))
#define PLAY_SET(from, to, day, ...)                                                               \
  play_seeds (from, to, &(MeetingSetting){__VA_ARGS__}, day, G_N_ELEMENTS (day))

/* A transaction is carried out late, after newer ones of the same controller, while users look
 * closely. */
static void
late_writes_and_looks (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 40, .kind = TROUBLE_LATE_WRITES, .for_s = 60, .share = 0.3},
      {.at_s = 40, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 200},
      {.at_s = 150, .kind = TROUBLE_LATE_WRITES, .for_s = 40, .share = 0.6},
      {.at_s = 160, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.4}};
  PLAY (2000, 2004, day);
}

/* A transaction is carried out at once and only its answer is lost, while other controllers
 * read what it wrote, and users cancel. */
static void
lost_answers_and_cancels (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 40, .kind = TROUBLE_LATE_WRITES, .for_s = 60, .share = 0.5, .at_once = TRUE},
      {.at_s = 30, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 220},
      {.at_s = 60, .kind = TROUBLE_CANCEL_NOW, .count = 10},
      {.at_s = 150, .kind = TROUBLE_LATE_WRITES, .for_s = 60, .share = 0.5, .at_once = TRUE},
      {.at_s = 150, .kind = TROUBLE_CANCEL_AT_END, .for_s = 60, .share = 0.6}};
  PLAY (2010, 2014, day);
}

/* A report is held back until a new leader has acted, and then arrives there. */
static void
reports_for_the_next_leader (void **state)
{
  static const HrTrouble day[] = {
      /* Some are of machines that go, and are gone for long when the copies come. */
      {.at_s = 35, .kind = TROUBLE_LATE_REPORTS, .for_s = 24, .share = 0.7, .for_next = TRUE},
      {.at_s = 59.5, .kind = TROUBLE_MACHINE_CRASH, .share = 0.5},
      {.at_s = 106, .kind = TROUBLE_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 110, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2020, 2024, day);
}

/* An old report reaches every controller just as a new leader begins. */
static void
reports_as_a_leader_begins (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 35, .kind = TROUBLE_LATE_REPORTS, .for_s = 24, .share = 0.7, .to_all = TRUE},
      {.at_s = 59.5, .kind = TROUBLE_MACHINE_CRASH, .share = 0.5},
      {.at_s = 108, .kind = TROUBLE_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 110, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 160, .kind = TROUBLE_LATE_REPORTS, .for_s = 60, .share = 0.3},
      {.at_s = 180, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.3}};
  PLAY (2030, 2034, day);
}

/* A direct order is held up for seconds, unanswered, while its job is called off and machines do
 * not hear their controllers. */
static void
late_commands_and_deaf_machines (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 40, .kind = TROUBLE_LATE_COMMANDS, .for_s = 150, .share = 0.4},
      {.at_s = 60, .kind = TROUBLE_MACHINE_DEAF, .for_s = 18, .share = 0.3},
      {.at_s = 70, .kind = TROUBLE_CANCEL_NOW, .count = 10, .hang_s = 9},
      {.at_s = 120, .kind = TROUBLE_CANCEL_NOW, .count = 10, .hang_s = 20}};
  PLAY (2040, 2044, day);
}

/* Workers reach no controller while direct orders reach them; jobs are called off meanwhile, and
 * the leader ends. */
static void
mute_machines_and_cancels (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 80, .kind = TROUBLE_MACHINE_MUTE, .for_s = 25, .share = 0.4},
      {.at_s = 84, .kind = TROUBLE_CANCEL_NOW, .count = 10},
      {.at_s = 88, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 170, .kind = TROUBLE_MACHINE_MUTE, .for_s = 12, .share = 1},
      {.at_s = 172, .kind = TROUBLE_CANCEL_NOW, .count = 10, .hang_s = 13}};
  PLAY (2050, 2054, day);
}

/* A leader is cut from the state service and the other controllers, not from workers and users,
 * and jobs are called off through the new one. */
static void
cut_leaders_and_cancels (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 60, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 160},
      {.at_s = 80,
       .kind = TROUBLE_NODE_CUT,
       .who = WHO_LEADER,
       .for_s = 30,
       .from_state = TRUE,
       .from_peers = TRUE},
      {.at_s = 86, .kind = TROUBLE_CANCEL_NOW, .count = 6},
      {.at_s = 92, .kind = TROUBLE_CANCEL_NOW, .count = 6, .hang_s = 10},
      {.at_s = 160,
       .kind = TROUBLE_NODE_CUT,
       .who = WHO_LEADER,
       .for_s = 20,
       .from_state = TRUE,
       .from_peers = TRUE,
       .hold = TRUE},
      {.at_s = 163, .kind = TROUBLE_CANCEL_NOW, .count = 10}};
  PLAY (2060, 2064, day);
}

/* Jobs are called off at the very moment at which the state service refuses the leader alone; a
 * second later it is out for longer than cancel_s. */
static void
refused_leaders_and_outages (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 80, .kind = TROUBLE_STATE_REFUSES, .who = WHO_LEADER, .for_s = 14},
      {.at_s = 80, .kind = TROUBLE_CANCEL_NOW, .count = 12},
      {.at_s = 81, .kind = TROUBLE_STATE_OUTAGE, .for_s = 45},
      {.at_s = 170, .kind = TROUBLE_STATE_REFUSES, .who = WHO_LEADER, .for_s = 14},
      {.at_s = 171.5, .kind = TROUBLE_CANCEL_NOW, .count = 12, .hang_s = 12},
      {.at_s = 172.5, .kind = TROUBLE_STATE_OUTAGE, .for_s = 50}};
  PLAY (2070, 2076, day);
}

/* The state service answers slowly while users cancel and look closely. */
static void
slow_state_and_looks (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 40, .kind = TROUBLE_STATE_SLOW, .for_s = 120, .delay_s = 0.8},
      {.at_s = 40, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 200},
      {.at_s = 80, .kind = TROUBLE_CANCEL_NOW, .count = 8},
      {.at_s = 60, .kind = TROUBLE_CANCEL_AT_END, .for_s = 140, .share = 0.8},
      {.at_s = 130, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2080, 2084, day);
}

/* Requests that must be turned away or change nothing, while writes lose their answers and the
 * leader changes. */
static void
odd_requests_and_new_leaders (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 10, .kind = TROUBLE_ODD_REQUESTS, .for_s = 250},
      {.at_s = 60, .kind = TROUBLE_LATE_WRITES, .for_s = 40, .share = 0.3, .at_once = TRUE},
      {.at_s = 120, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 160, .kind = TROUBLE_STATE_SLOW, .for_s = 60, .delay_s = 0.5},
      {.at_s = 180, .kind = TROUBLE_STATE_REFUSES, .who = WHO_OTHER, .for_s = 20}};
  PLAY (2090, 2093, day);
}

/* New machines are up within two seconds and get work at once while writes lag, and the leader
 * ends. */
static void
fast_boots_and_late_writes (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 0.1, .kind = TROUBLE_FAST_BOOT, .for_s = 250},
      {.at_s = 2, .kind = TROUBLE_LATE_WRITES, .for_s = 80, .share = 0.3},
      {.at_s = 40, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 110, .kind = TROUBLE_MACHINE_CRASH, .share = 0.5},
      {.at_s = 110, .kind = TROUBLE_LATE_WRITES, .for_s = 40, .share = 0.6},
      {.at_s = 114, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.5}};
  PLAY (2100, 2104, day);
}

static void
four_a_second (World *w)
{
  users_singles (w, 5, 185, 4, 0.25);
}

/* One-task jobs come four a second for minutes, a quarter of them cancelled; leaders change
 * meanwhile and answers to writes are lost. */
static void
single_jobs_and_new_leaders (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 30, .kind = TROUBLE_CANCEL_AT_END, .for_s = 150, .share = 0.2},
      {.at_s = 40, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 30},
      {.at_s = 60, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 100, .kind = TROUBLE_LATE_WRITES, .for_s = 30, .share = 0.2, .at_once = TRUE},
      {.at_s = 140, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.4}};
  PLAY_SET (2110, 2112, day, .users = four_a_second, .until = 500);
}

/* Leaders change ten times in two minutes, also inside an outage. */
static void
ten_leaders_and_an_outage (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 60, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .times = 10, .every_s = 12},
      {.at_s = 100, .kind = TROUBLE_STATE_OUTAGE, .for_s = 20},
      {.at_s = 70, .kind = TROUBLE_CANCEL_NOW, .count = 4, .hang_s = 8, .times = 5, .every_s = 20}};
  PLAY (2120, 2124, day);
}

/* A zone with workers and a controller is cut off for longer than lease_s; leading or not. */
static void
cut_zones_and_cancels (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 70, .kind = TROUBLE_ZONE_CUT, .zone = ZONE (0), .who = WHO_LEADER, .for_s = 30},
      {.at_s = 74, .kind = TROUBLE_CANCEL_NOW, .count = 8},
      {.at_s = 160,
       .kind = TROUBLE_ZONE_CUT,
       .zone = ZONE (1),
       .who = WHO_OTHER,
       .for_s = 40,
       .hold = TRUE},
      {.at_s = 165, .kind = TROUBLE_CANCEL_NOW, .count = 8, .hang_s = 11}};
  PLAY (2130, 2134, day);
}

/* Every team is at its limit while jobs are called off whose machines are cut off or hang, and
 * the leader changes. */
static void
full_teams_and_cut_machines (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 80, .kind = TROUBLE_MACHINE_CUT, .share = 0.4, .for_s = 22, .hold = TRUE},
      {.at_s = 82, .kind = TROUBLE_CANCEL_NOW, .count = 6, .hang_s = 12},
      {.at_s = 83, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 150, .kind = TROUBLE_LATE_WRITES, .for_s = 20, .share = 0.4},
      {.at_s = 155, .kind = TROUBLE_CANCEL_NOW, .count = 6, .hang_s = 20},
      {.at_s = 156, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.3}};
  PLAY_SET (2140, 2144, day, .quota_gpus = 12, .until = 1100);
}

/* All controllers are away for longer than lease_s; a zone's machines are cut off as they come
 * back. */
static void
no_controllers_and_cut_machines (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 80, .kind = TROUBLE_NODE_CRASH, .who = WHO_ALL, .back_s = 18},
      {.at_s = 90, .kind = TROUBLE_MACHINE_CUT, .zone = ZONE (1), .for_s = 20, .hold = TRUE},
      {.at_s = 109, .kind = TROUBLE_CANCEL_NOW, .count = 6},
      {.at_s = 170, .kind = TROUBLE_NODE_CRASH, .who = WHO_ALL, .back_s = 25, .first_back_s = 0.5},
      {.at_s = 171, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 30}};
  PLAY (2150, 2154, day);
}

static void
bound_to_zones (World *w)
{
  users_bound (w, 32, 200);
}

/* Jobs bound to one zone, arrays too, lose machines. */
static void
bound_jobs_and_lost_machines (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 70, .kind = TROUBLE_MACHINE_CRASH, .zone = ZONE (0), .share = 0.6},
      {.at_s = 72, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 120, .kind = TROUBLE_MACHINE_HANG, .zone = ZONE (1), .share = 0.5, .for_s = 18},
      {.at_s = 125, .kind = TROUBLE_CANCEL_NOW, .count = 6},
      {.at_s = 170, .kind = TROUBLE_MACHINE_CUT, .zone = ZONE (0), .for_s = 25}};
  PLAY_SET (2160, 2164, day, .users = bound_to_zones);
}

static void
too_much (World *w)
{
  users_overload (w, 5);
}

static void
at_their_limit (World *w)
{
  users_at_limit (w, 5);
}

/* A team is near its limit, a gang waits for more of it than there is left, and the leader
 * changes: arrays for which there is room beside it run. */
static void
a_gang_beyond_the_limit_and_new_leaders (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 60, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 70, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.4}};
  PLAY_SET (2190, 2192, day, .users = at_their_limit, .quota_gpus = 12);
}

/* There is more work than room, urgent and not, over slow links. */
static void
overload_and_slow_links (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 20, .kind = TROUBLE_SLOW_LINKS, .for_s = 150, .delay_s = 0.25},
      {.at_s = 90, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 100, .kind = TROUBLE_CANCEL_NOW, .count = 5, .hang_s = 12}};
  PLAY_SET (2170, 2174, day, .users = too_much, .capacity = 8, .until = 900);
}

/* The leader ends while machines hear nothing, or cannot be reached, and copies of their reports
 * are kept for the next one. */
static void
deaf_machines_and_the_next_leader (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 60, .kind = TROUBLE_LATE_REPORTS, .for_s = 45, .share = 0.5, .for_next = TRUE},
      {.at_s = 95, .kind = TROUBLE_MACHINE_DEAF, .share = 0.4, .for_s = 25},
      {.at_s = 96, .kind = TROUBLE_MACHINE_CUT, .share = 0.3, .for_s = 25, .hold = TRUE},
      {.at_s = 97, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 99, .kind = TROUBLE_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 170, .kind = TROUBLE_LATE_REPORTS, .for_s = 30, .share = 0.5, .to_all = TRUE},
      {.at_s = 185, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.3}};
  PLAY (2300, 2304, day);
}

/* A leader stands still for seconds and goes on with what it believed, is refused by the state
 * service alone, and the service is out for all. */
static void
standing_leaders_and_refusals (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 70, .kind = TROUBLE_NODE_FREEZE, .who = WHO_LEADER, .for_s = 3.5},
      {.at_s = 71, .kind = TROUBLE_CANCEL_NOW, .count = 6, .hang_s = 9},
      {.at_s = 90, .kind = TROUBLE_NODE_FREEZE, .who = WHO_LEADER, .for_s = 9},
      {.at_s = 93, .kind = TROUBLE_CANCEL_NOW, .count = 8},
      {.at_s = 150, .kind = TROUBLE_STATE_REFUSES, .who = WHO_LEADER, .for_s = 12},
      {.at_s = 151, .kind = TROUBLE_CANCEL_NOW, .count = 10},
      {.at_s = 152, .kind = TROUBLE_STATE_OUTAGE, .for_s = 45},
      {.at_s = 158, .kind = TROUBLE_NODE_FREEZE, .who = WHO_LEADER, .for_s = 6}};
  PLAY (2310, 2314, day);
}

/* Tasks of a job end far apart, across changes of the leader; machines go before their ends are
 * recorded, and only the answers to writes are lost. */
static void
ends_far_apart_and_new_leaders (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 40, .kind = TROUBLE_CLOSE_LOOKS, .for_s = 200},
      {.at_s = 50, .kind = TROUBLE_CANCEL_AT_END, .for_s = 150, .share = 0.5},
      {.at_s = 60, .kind = TROUBLE_LATE_WRITES, .for_s = 120, .share = 0.3, .at_once = TRUE},
      {.at_s = 70, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER, .times = 5, .every_s = 25},
      {.at_s = 71, .kind = TROUBLE_MACHINE_CRASH, .count = 2, .times = 5, .every_s = 25}};
  PLAY (2320, 2324, day);
}

/* The cloud is in trouble while machines go, and the leader ends: when that is over machines are
 * returned and rented at once again. */
static void
cloud_outages_and_lost_machines (void **state)
{
  static const HrTrouble day[] = {{.at_s = 60, .kind = TROUBLE_CLOUD_OUTAGE, .for_s = 25},
                                  {.at_s = 62, .kind = TROUBLE_MACHINE_CRASH, .share = 0.4},
                                  {.at_s = 150, .kind = TROUBLE_MACHINE_CRASH, .share = 0.6},
                                  {.at_s = 150, .kind = TROUBLE_CLOUD_OUTAGE, .for_s = 20},
                                  {.at_s = 160, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2180, 2184, day);
}

/* With HR_SIM_VERBOSE=1: all that the controllers log, with simulated time and node. */
static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *f, gsize n, gpointer verbose)
{
  if (!verbose)
    return level & G_LOG_FLAG_FATAL ? g_log_writer_default (level, f, n, NULL)
                                    : G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n; i++)
    if (g_str_equal (f[i].key, "MESSAGE"))
      fprintf (stderr, "%8.3f c%d %s\n", sim_log_time, sim_log_node, (const char *)f[i].value);
  return G_LOG_WRITER_HANDLED;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (late_writes_and_looks),
      cmocka_unit_test (lost_answers_and_cancels),
      cmocka_unit_test (reports_for_the_next_leader),
      cmocka_unit_test (reports_as_a_leader_begins),
      cmocka_unit_test (late_commands_and_deaf_machines),
      cmocka_unit_test (mute_machines_and_cancels),
      cmocka_unit_test (cut_leaders_and_cancels),
      cmocka_unit_test (refused_leaders_and_outages),
      cmocka_unit_test (slow_state_and_looks),
      cmocka_unit_test (odd_requests_and_new_leaders),
      cmocka_unit_test (fast_boots_and_late_writes),
      cmocka_unit_test (single_jobs_and_new_leaders),
      cmocka_unit_test (ten_leaders_and_an_outage),
      cmocka_unit_test (cut_zones_and_cancels),
      cmocka_unit_test (full_teams_and_cut_machines),
      cmocka_unit_test (no_controllers_and_cut_machines),
      cmocka_unit_test (bound_jobs_and_lost_machines),
      cmocka_unit_test (overload_and_slow_links),
      cmocka_unit_test (a_gang_beyond_the_limit_and_new_leaders),
      cmocka_unit_test (deaf_machines_and_the_next_leader),
      cmocka_unit_test (standing_leaders_and_refusals),
      cmocka_unit_test (ends_far_apart_and_new_leaders),
      cmocka_unit_test (cloud_outages_and_lost_machines),
  };
  g_log_set_writer_func (log_writer, GINT_TO_POINTER (g_getenv ("HR_SIM_VERBOSE") != NULL), NULL);
  if (argc == 4) {
    other_from = atoi (argv[2]);
    other_to = atoi (argv[3]);
  }
  if (argc == 2 || argc == 4) { /* one part: the name of a meeting's function */
    for (guint i = 0; i < G_N_ELEMENTS (tests); i++)
      if (g_str_equal (tests[i].name, argv[1])) {
        const struct CMUnitTest part[] = {tests[i]};
        return cmocka_run_group_tests_name (argv[1], part, NULL, NULL);
      }
    fprintf (stderr, "no part %s\n", argv[1]);
    return 2;
  }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
