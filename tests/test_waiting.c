/* Simulated days (runs from one seed each) on which the cloud has few machines, and capacity is
 * kept for jobs that may never come or that cannot use it yet: no other job may wait beside it for
 * 90 s (rule `waits`, sim/invariant_checks.c), and a service still gets its replicas in time. */
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define DAY_S 420.0
#define NO_FAULTS_FROM_S 1.0

/* One job of a day: its tasks' needs, and when it is submitted. */
typedef struct {
  double at_s;
  HrShape shape;
  guint tasks;
  double cpus, gpus, memory_gb;
  double run_s;
  const char *priority; /* NULL: the default of its shape */
} WaitingJob;

static void
submit_job (SimCluster *cluster, gpointer data)
{
  const WaitingJob *plan = data;
  SimJob *job = job_new (cluster);
  job->shape = plan->shape;
  job->tasks = plan->tasks;
  job->cpus = plan->cpus;
  job->gpus = plan->gpus;
  job->mem = plan->memory_gb;
  job->image = plan->shape;
  job->image_gb = 1;
  job->run = plan->run_s;
  job->rank = plan->priority;
  job_submit (cluster, job);
}

static SimCluster *
play (guint32 seed, guint machines, const WaitingJob *jobs, guint n_jobs)
{
  SimCluster *cluster = sim_cluster_new (seed, 3);
  cluster->capacity = machines;
  users_init (cluster, 0, 0);
  faults_init (cluster, 0, 0, NO_FAULTS_FROM_S);
  for (guint i = 0; i < n_jobs; i++)
    sim_schedule (cluster, jobs[i].at_s, submit_job, (gpointer)&jobs[i]);
  sim_cluster_run (cluster, DAY_S);
  return cluster;
}

/* Prints the violations and frees the cluster. Returns the number of violations. */
static guint
report_violations (SimCluster *cluster, guint32 seed)
{
  guint broken = cluster->violations->len;
  for (guint i = 0; i < broken; i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)cluster->violations->pdata[i]);
  sim_cluster_free (cluster);
  return broken;
}

/* Plays the jobs on several seeds. Returns the number of violations. */
static guint
play_seeds (guint32 from, guint32 to, guint machines, const WaitingJob *jobs, guint n_jobs)
{
  guint broken = 0;
  for (guint32 seed = from; seed < to; seed++)
    broken += report_violations (play (seed, machines, jobs, n_jobs), seed);
  return broken;
}

/* Guards against a gang that waits for ever beside an empty machine, because capacity for the next
 * replica of a service is reserved there and the cloud has no other machine. */
static void
gang_beside_headroom (void **state G_GNUC_UNUSED)
{
  static const WaitingJob jobs[] = {
      {5, HR_SERVICE, 1, 4, 1, 29, 0, NULL},
      {5, HR_SERVICE, 1, 4, 1, 29, 0, NULL},
      {80, HR_GANG, 1, 10, 2, 77, 60, NULL},
  };
  assert_int_equal (play_seeds (1300, 1306, 2, jobs, G_N_ELEMENTS (jobs)), 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (gang_beside_headroom),
  };
  sim_log_init ();
  for (guint i = 0; argc == 2 && i < G_N_ELEMENTS (tests); i++)
    if (g_str_equal (tests[i].name, argv[1])) {
      const struct CMUnitTest part[] = {tests[i]};
      return cmocka_run_group_tests_name (argv[1], part, NULL, NULL);
    }
  return argc == 2 ? 2 : cmocka_run_group_tests (tests, NULL, NULL);
}
