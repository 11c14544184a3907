/* What the tests that play simulated days have in common: the end of a day, and the choice of one
 * test from the command line, so that CTest runs them in parallel. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* Prints the first violations of the day, and with HR_SIM_VERBOSE its totals; frees the cluster.
 * Returns the number of violations. */
guint sim_day_finish (SimCluster *cluster, guint32 seed);

/* Returns the time from the job's acceptance to its first start, or to now if it has not started,
 * s. */
double sim_job_start_wait_s (const SimCluster *cluster, const SimJob *job);

/* Runs the test that argv[1] names, or all of them if there is no argument. names: as in the
 * command line, one for each test; NULL: the names of their functions. Returns the exit code; 2: no
 * test has that name. */
int sim_run_tests (int argc, char **argv, const char *const *names, const struct CMUnitTest *tests,
                   guint n_tests);
