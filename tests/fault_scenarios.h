/* What the programs of meetings share: the seeds that a day is played with, and the parts. */
#pragma once
#include "sim/fault_scenario.h"
#include "sim/log.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

/* Other seeds than those of the table: PROGRAM PART FROM TO. */
static guint other_from, other_to;

static void
play_seeds (guint from, guint to, const FaultScenario *settings, const HrFault *day, guint n)
{
  guint broken = 0;
  if (other_to > other_from) {
    from = other_from;
    to = other_to;
  }
  for (guint seed = from; seed < to; seed++)
    broken += fault_scenario_play (seed, settings, day, n);
  assert_int_equal (broken, 0);
}

#define PLAY(from, to, day) play_seeds (from, to, &(FaultScenario){0}, day, G_N_ELEMENTS (day))
#define PLAY_SET(from, to, day, ...)                                                               \
  play_seeds (from, to, &(FaultScenario){__VA_ARGS__}, day, G_N_ELEMENTS (day))

/* Plays all parts, or the one that is named. */
static int
fault_scenarios_main (int argc, char **argv, const struct CMUnitTest *tests, guint n)
{
  if (argc == 4) {
    other_from = atoi (argv[2]);
    other_to = atoi (argv[3]);
  }
  sim_log_init ();
  if (argc == 1)
    return _cmocka_run_group_tests ("meetings", tests, n, NULL, NULL);
  for (guint i = 0; i < n; i++)
    if (g_str_equal (tests[i].name, argv[1]))
      return _cmocka_run_group_tests (argv[1], &tests[i], 1, NULL, NULL);
  fprintf (stderr, "no part %s\n", argv[1]);
  return 2;
}
