/* Shared by the fault scenario tests: playing a simulated day with a range of seeds, and the
 * selection of one test from the command line. */
#pragma once
#include "sim/fault_scenario.h"
#include "sim/test_runner.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

/* Replaces the tests' range of seeds if given on the command line: PROGRAM TEST FROM TO plays the
 * seeds FROM to TO - 1. */
static guint override_from, override_to;

static void
play_seeds (guint from, guint to, const FaultScenario *settings, const HrFault *day, guint n)
{
  guint violations = 0;
  if (override_to > override_from) {
    from = override_from;
    to = override_to;
  }
  for (guint seed = from; seed < to; seed++)
    violations += fault_scenario_play (seed, settings, day, n);
  assert_int_equal (violations, 0);
}

#define PLAY(from, to, day) play_seeds (from, to, &(FaultScenario){0}, day, G_N_ELEMENTS (day))
#define PLAY_SET(from, to, day, ...)                                                               \
  play_seeds (from, to, &(FaultScenario){__VA_ARGS__}, day, G_N_ELEMENTS (day))

/* Runs all tests, or the one that the command line names. */
static int
fault_scenarios_main (int argc, char **argv, const struct CMUnitTest *tests, guint n)
{
  if (argc == 4) {
    override_from = atoi (argv[2]);
    override_to = atoi (argv[3]);
  }
  return sim_run_tests (argc, argv, NULL, tests, n);
}
