/* The end of a simulated day, and the choice of a test from the command line. */
#include "sim/test_runner.h"
#include "sim/log.h"
#include <stdio.h>

#define MAX_PRINTED_VIOLATIONS 12

guint
sim_day_finish (SimCluster *cluster, guint32 seed)
{
  guint n_violations = cluster->violations->len;
  for (guint i = 0; i < MIN (n_violations, MAX_PRINTED_VIOLATIONS); i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)cluster->violations->pdata[i]);
  if (g_getenv ("HR_SIM_VERBOSE"))
    fprintf (stderr,
             "seed %u: %u jobs, %u starts, %u of cancelled jobs, %u machines, revision "
             "%" G_GUINT64_FORMAT "\n",
             seed, cluster->jobs->len, cluster->task_starts, cluster->started_cancelled,
             cluster->machines->len, cluster->epoch);
  sim_cluster_free (cluster);
  return n_violations;
}

double
sim_job_start_wait_s (const SimCluster *cluster, const SimJob *job)
{
  return (job->first_run_at > 0 ? job->first_run_at : cluster->now) - job->accepted_at;
}

int
sim_run_tests (int argc, char **argv, const char *const *names, const struct CMUnitTest *tests,
               guint n_tests)
{
  sim_log_init ();
  if (argc == 1)
    return _cmocka_run_group_tests (argv[0], tests, n_tests, NULL, NULL);
  for (guint i = 0; i < n_tests; i++)
    if (g_str_equal (names ? names[i] : tests[i].name, argv[1]))
      return _cmocka_run_group_tests (argv[1], &tests[i], 1, NULL, NULL);
  fprintf (stderr, "no test is named %s\n", argv[1]);
  return 2;
}
