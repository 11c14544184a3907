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
    "state_outage", "state_slow",   "fast_boot",     "zone_cut"};

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

static guint
play (guint32 seed, int nodes, const HrTrouble *day, guint n)
{
  World *w = world_new (seed, nodes);
  users_init (w, 40, 300);
  users_probe (w);
  troubles_plan (w, day, n);
  world_run (w, DAY_S);
  check_end (w, day, n);
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

#define PLAY(from, to, day) play_seeds (from, to, day, G_N_ELEMENTS (day))

static void
play_seeds (guint from, guint to, const HrTrouble *day, guint n)
{
  guint broken = 0;
  for (guint s = from; s < to; s++)
    broken += play (s, s % 3 == 2 ? 5 : 3, day, n);
  assert_int_equal (broken, 0);
}

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
