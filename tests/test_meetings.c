/* Days of the simulated cluster on which two troubles meet. One function for each meeting, with
 * a table of its troubles; it is played with several seeds. Every rule of the protocol is
 * asserted at every event, and all work is done once the troubles are over. */
#include "sim/world.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define DAY_S 700.0 /* long enough after the last trouble for all work to end */

static const char *const kind_names[TROUBLE_KINDS] = {
    "late_writes",  "late_reports", "late_commands", "machine_deaf", "machine_mute",
    "machine_hang", "machine_cut",  "machine_crash", "cancel_now",   "cancel_at_end",
    "close_looks",  "node_cut",     "node_crash",    "node_freeze",  "state_refuses",
    "state_outage", "state_slow",   "fast_boot",     "zone_cut",     "slow_links",
    "cloud_outage", "odd_requests"};

/* All work is done, and each planned trouble took effect on something. */
static void
check_end (World *w, const HrTrouble *day, guint n)
{
  for (guint i = 0; i < w->jobs->len; i++) {
    SJob *j = w->jobs->pdata[i];
    if (!j->accepted)
      w_broken (w, "liveness", "%s was never accepted", j->id);
    else if (j->asked_cancel && !j->told_withdrawn && !j->told_done)
      w_broken (w, "liveness", "%s was not withdrawn", j->id);
    else if (!j->asked_cancel && j->shape != HR_SERVICE && !j->told_done)
      w_broken (w, "liveness", "%s (%d, %u tasks) is not done", j->id, j->shape, j->tasks);
    else if (!j->asked_cancel && j->shape == HR_SERVICE && !j->started)
      w_broken (w, "liveness", "%s never ran", j->id);
  }
  for (guint i = 0; i < n; i++)
    if (!w->troubles.played[day[i].kind])
      w_broken (w, "played", "%s took no effect", kind_names[day[i].kind]);
}

/* What a day has beside its troubles; whatever is 0 or NULL is as always. */
typedef struct {
  void (*users) (World *w); /* their jobs; NULL: forty of all shapes within five minutes */
  double quota_gpus;        /* the limit of the only team */
  guint capacity;           /* machines that the cloud has; a third as many spot machines */
  guint started_withdrawn;  /* starts after a confirmed cancellation: more are a fault; 0: any */
  double until;             /* the day's end; 0: DAY_S */
} Setting;

static guint
play (guint32 seed, const Setting *set, const HrTrouble *day, guint n)
{
  World *w = world_new (seed, seed % 3 == 2 ? 5 : 3);
  w->quota_gpus = set->quota_gpus;
  if (set->capacity)
    w->capacity = set->capacity;
  if (set->quota_gpus > 0)
    world_restart (w);
  users_init (w, set->users ? 0 : 40, 300);
  if (set->users)
    set->users (w);
  users_probe (w);
  troubles_plan (w, day, n);
  world_run (w, set->until > 0 ? set->until : DAY_S);
  check_end (w, day, n);
  if (set->started_withdrawn && w->started_withdrawn > set->started_withdrawn)
    w_broken (w, "started_withdrawn", "%u tasks start after a confirmed cancellation",
              w->started_withdrawn);
  guint broken = w->broken->len;
  for (guint i = 0; i < MIN (broken, 12); i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)w->broken->pdata[i]);
  if (g_getenv ("HR_SIM_VERBOSE"))
    fprintf (stderr,
             "seed %u: %u jobs, %u starts, %u of cancelled jobs, epoch %" G_GUINT64_FORMAT "\n",
             seed, w->jobs->len, w->starts, w->started_withdrawn, w->epoch);
  world_free (w);
  return broken;
}

static void
play_seeds (guint from, guint to, const Setting *set, const HrTrouble *day, guint n)
{
  guint broken = 0;
  for (guint s = from; s < to; s++)
    broken += play (s, set, day, n);
  assert_int_equal (broken, 0);
}

#define PLAY(from, to, day) play_seeds (from, to, &(Setting){0}, day, G_N_ELEMENTS (day))
#define PLAY_SET(from, to, day, ...)                                                               \
  play_seeds (from, to, &(Setting){__VA_ARGS__}, day, G_N_ELEMENTS (day))

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
      {.at_s = 60, .kind = TROUBLE_LATE_REPORTS, .for_s = 40, .share = 0.5, .for_next = TRUE},
      {.at_s = 95, .kind = TROUBLE_MACHINE_CRASH, .count = 3},
      {.at_s = 96, .kind = TROUBLE_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 100, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER}};
  PLAY (2020, 2024, day);
}

/* An old report reaches every controller just as a new leader begins. */
static void
reports_as_a_leader_begins (void **state)
{
  static const HrTrouble day[] = {
      {.at_s = 60, .kind = TROUBLE_LATE_REPORTS, .for_s = 40, .share = 0.5, .to_all = TRUE},
      {.at_s = 98, .kind = TROUBLE_CANCEL_NOW, .count = 8, .hang_s = 11},
      {.at_s = 100, .kind = TROUBLE_NODE_CRASH, .who = WHO_LEADER},
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
      {.at_s = 60, .kind = TROUBLE_CANCEL_AT_END, .for_s = 140, .share = 0.5},
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
      cmocka_unit_test (cloud_outages_and_lost_machines),
  };
  g_log_set_writer_func (log_writer, GINT_TO_POINTER (g_getenv ("HR_SIM_VERBOSE") != NULL), NULL);
  if (argc == 2) { /* one part: the name of a meeting's function */
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
