/* Simulated days (runs from one seed each) on which the cloud has few machines, and capacity is
 * kept for jobs that may never come or that cannot use it yet: no other job may wait beside it for
 * 90 s (rule `waits`, sim/invariant_checks.c), and a service still gets its replicas in time. */
#include "coordination/state.h"
#include "sim/faults.h"
#include "sim/test_runner.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define DAY_S 420.0
#define NO_FAULTS_FROM_S 1.0
/* A job may wait this long beside free capacity, and the largest ones have to start within the
 * second time (shared rules). */
#define MAX_WAIT_S 90.0
#define MAX_START_S 240.0
/* The time in which a replica of the users' services has to start. */
#define MAX_REPLICA_START_S 12.0
/* Machines that may be returned and requested again for one waiting job. */
#define MAX_RETURNS 2
#define DRAWN_DAYS 40
#define LIMIT_DAYS 20
#define DRAWN_JOBS 14
#define NODE_DOWN_S 5.0
#define CONTROLLERS 3

/* One job of a day: its tasks' needs, and when it is submitted. */
typedef struct {
  double at_s;
  HrShape shape;
  guint tasks;
  double cpus, gpus, memory_gb;
  double run_s;
  const char *priority; /* NULL: the default of its shape */
  gboolean one_zone, spot;
  double cancel_after_s; /* 0: it is not cancelled */
  const char *job_class; /* NULL: that of its shape */
} WaitingJob;

/* A service of one replica of the users' size: two of them use all accelerators of a machine. */
#define SERVICE(at)                                                                                \
  {                                                                                                \
    .at_s = (at), .shape = HR_SERVICE, .tasks = 1, .cpus = 4, .gpus = 1, .memory_gb = 29           \
  }
/* A gang whose tasks take a whole machine each. */
#define GANG(at, n, run)                                                                           \
  {                                                                                                \
    .at_s = (at), .shape = HR_GANG, .tasks = (n), .cpus = 10, .gpus = 2, .memory_gb = 77,          \
    .run_s = (run)                                                                                 \
  }
/* A single task of low priority that does not fit beside a replica and the headroom for another. */
#define LARGE_TASK(at)                                                                             \
  {                                                                                                \
    .at_s = (at), .shape = HR_BATCH, .tasks = 1, .cpus = 9, .memory_gb = 30, .run_s = 60,          \
    .priority = "low"                                                                              \
  }

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
  job->one_zone = plan->one_zone;
  job->spot = plan->spot;
  job->job_class = plan->job_class;
  job->cancel = plan->cancel_after_s > 0;
  job->cancel_at = cluster->now + plan->cancel_after_s;
  job_submit (cluster, job);
}

/* Returns a cluster with this many controllers whose cloud has this many machines, without faults.
 */
static SimCluster *
cluster_new (guint32 seed, guint controllers, guint machines)
{
  SimCluster *cluster = sim_cluster_new (seed, controllers);
  cluster->capacity = machines;
  users_init (cluster, 0, 0);
  faults_init (cluster, 0, 0, NO_FAULTS_FROM_S);
  return cluster;
}

static void
run_jobs (SimCluster *cluster, const WaitingJob *jobs, guint n_jobs)
{
  for (guint i = 0; i < n_jobs; i++)
    sim_schedule (cluster, jobs[i].at_s, submit_job, (gpointer)&jobs[i]);
  sim_cluster_run (cluster, DAY_S);
}

static SimCluster *
play (guint32 seed, guint machines, const WaitingJob *jobs, guint n_jobs)
{
  SimCluster *cluster = cluster_new (seed, CONTROLLERS, machines);
  run_jobs (cluster, jobs, n_jobs);
  return cluster;
}

/* Plays the jobs on several seeds. Returns the number of violations. */
static guint
play_seeds (guint32 from, guint32 to, guint machines, const WaitingJob *jobs, guint n_jobs)
{
  guint broken = 0;
  for (guint32 seed = from; seed < to; seed++)
    broken += sim_day_finish (play (seed, machines, jobs, n_jobs), seed);
  return broken;
}

/* Guards against a gang that waits for ever beside an empty machine, because capacity for the next
 * replica of a service is reserved there and the cloud has no other machine. */
static void
gang_beside_headroom (void **state G_GNUC_UNUSED)
{
  static const WaitingJob jobs[] = {
      SERVICE (5),
      SERVICE (5),
      GANG (80, 1, 60),
  };
  assert_int_equal (play_seeds (1300, 1306, 2, jobs, G_N_ELEMENTS (jobs)), 0);
}

/* Reports the job with this number if it waited longer than this after its submission. */
static void
check_start (SimCluster *cluster, guint number, double within_s)
{
  const SimJob *job = cluster->jobs->pdata[number];
  double waited_s = sim_job_start_wait_s (cluster, job);
  if (waited_s > within_s)
    sim_report_violation (cluster, "starved", "%s, job %u, starts after %.0f s", job->id, number,
                          waited_s);
}

/* Guards against a gang that no list takes beside the headroom of a service, while one small job
 * after the other starts on the machine that it needs. */
static void
gang_beside_small_jobs (void **state G_GNUC_UNUSED)
{
  static WaitingJob jobs[20] = {
      SERVICE (5),
      SERVICE (5),
      GANG (80, 1, 60),
  };
  guint broken = 0;
  for (guint i = 3; i < G_N_ELEMENTS (jobs); i++)
    jobs[i] = (WaitingJob){.at_s = 82 + 15 * (i - 3),
                           .shape = HR_BATCH,
                           .tasks = 1,
                           .cpus = 4,
                           .gpus = 1,
                           .memory_gb = 30,
                           .run_s = 20,
                           .priority = "low"};
  for (guint32 seed = 1310; seed < 1316; seed++) {
    SimCluster *cluster = play (seed, 2, jobs, G_N_ELEMENTS (jobs));
    check_start (cluster, 2, MAX_START_S);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against capacity that is given to the job that comes first in the order of listing: of two
 * jobs that starve, the one of higher priority has to start first. */
static void
priority_before_listing (void **state G_GNUC_UNUSED)
{
  static const WaitingJob jobs[] = {
      SERVICE (5), SERVICE (5), LARGE_TASK (80), LARGE_TASK (81), GANG (82, 1, 60),
  };
  guint broken = 0;
  for (guint32 seed = 1320; seed < 1326; seed++) {
    SimCluster *cluster = play (seed, 2, jobs, G_N_ELEMENTS (jobs));
    const SimJob *gang = cluster->jobs->pdata[4];
    for (guint i = 2; i < 4; i++) {
      const SimJob *array = cluster->jobs->pdata[i];
      if (gang->first_run_at <= 0 ||
          (array->first_run_at > 0 && array->first_run_at < gang->first_run_at))
        sim_report_violation (cluster, "order", "%s starts before %s, whose priority is higher",
                              array->id, gang->id);
    }
    check_start (cluster, 4, MAX_START_S);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against machines that are requested for a gang and returned as idle before it can start on
 * them, again and again. */
static void
renting_for_a_gang (void **state G_GNUC_UNUSED)
{
  static const WaitingJob jobs[] = {
      SERVICE (5),
      SERVICE (5),
      GANG (100, 2, 60),
  };
  guint broken = 0;
  for (guint32 seed = 1330; seed < 1336; seed++) {
    SimCluster *cluster = play (seed, 3, jobs, G_N_ELEMENTS (jobs));
    check_start (cluster, 2, MAX_START_S);
    if (cluster->machines->len > 3 + MAX_RETURNS)
      sim_report_violation (cluster, "rented", "%u machines are rented where there are 3",
                            cluster->machines->len);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* A gang has started on the capacity that was reserved for the next replica of a service. Guards
 * against a replica that then waits: it has to preempt the gang. */
static void
replica_after_the_gang (void **state G_GNUC_UNUSED)
{
  static const WaitingJob jobs[] = {
      SERVICE (5),
      SERVICE (5),
      GANG (80, 1, 300),
      SERVICE (200),
  };
  guint broken = 0;
  for (guint32 seed = 1340; seed < 1346; seed++) {
    SimCluster *cluster = play (seed, 2, jobs, G_N_ELEMENTS (jobs));
    check_start (cluster, 2, MAX_WAIT_S);
    check_start (cluster, 3, MAX_REPLICA_START_S);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* The state store no longer has the changes that the leader would read next: it lists the store
 * again and leads again, in a new term of the same process. */
static void
begin_new_term (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  cluster->nodes[0].compacted_epoch = cluster->epoch;
}

/* Capacity is reserved for a task that has to wait for a long one to end, when the leader begins a
 * new term with the same process. Guards against reservations of the earlier term that keep the
 * task from getting one in the next. */
static void
reservation_across_terms (void **state G_GNUC_UNUSED)
{
  static const WaitingJob jobs[] = {
      SERVICE (5),
      SERVICE (5),
      {.at_s = 60,
       .shape = HR_BATCH,
       .tasks = 1,
       .cpus = 4,
       .gpus = 1,
       .memory_gb = 30,
       .run_s = 150},
      {.at_s = 80,
       .shape = HR_BATCH,
       .tasks = 1,
       .cpus = 10,
       .gpus = 2,
       .memory_gb = 77,
       .run_s = 20},
  };
  guint broken = 0;
  for (guint32 seed = 1350; seed < 1356; seed++) {
    SimCluster *cluster = cluster_new (seed, 1, 2);
    sim_schedule (cluster, 160, begin_new_term, NULL);
    run_jobs (cluster, jobs, G_N_ELEMENTS (jobs));
    check_start (cluster, 3, MAX_START_S);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Draws a job of any shape. The tasks of a gang take more than half of a machine, since a gang gets
 * a machine for each of its tasks. */
static WaitingJob
draw_job (GRand *rand)
{
  static const char *const priorities[] = {"urgent", "normal", "low"};
  double dice = g_rand_double (rand);
  WaitingJob job = {.at_s = g_rand_double_range (rand, 3, 260),
                    .cpus = g_rand_int_range (rand, 1, 13),
                    .gpus = g_rand_int_range (rand, 0, 3),
                    .memory_gb = g_rand_int_range (rand, 4, 90),
                    .run_s = g_rand_double_range (rand, 8, 90),
                    .priority = priorities[g_rand_int_range (rand, 0, 3)]};
  job.shape = dice < 0.25 ? HR_SERVICE : dice < 0.6 ? HR_GANG : HR_BATCH;
  job.tasks = g_rand_int_range (rand, 1, job.shape == HR_BATCH ? 7 : 4);
  if (job.shape == HR_GANG) {
    job.cpus = g_rand_int_range (rand, 7, 13);
    job.one_zone = g_rand_boolean (rand);
  }
  job.spot = job.shape == HR_BATCH && g_rand_boolean (rand);
  if (g_rand_double (rand) < 0.3)
    job.cancel_after_s = g_rand_double_range (rand, 10, 150);
  if (job.shape == HR_SERVICE) {
    job.cpus = g_rand_int_range (rand, 1, 6);
    job.gpus = g_rand_int_range (rand, 0, 2);
    job.memory_gb = g_rand_int_range (rand, 4, 40);
    job.priority = NULL;
    job.job_class = g_rand_boolean (rand) ? "live" : "search";
  }
  return job;
}

static void
replace_leader (SimCluster *cluster, gpointer data G_GNUC_UNUSED)
{
  for (int i = 0; i < cluster->n; i++)
    if (cluster->nodes[i].up && cluster->nodes[i].core->leadership.is_leader) {
      node_kill (cluster, i);
      node_start_at (cluster, i, cluster->now + NODE_DOWN_S);
    }
}

/* Draws a cluster of one to eight machines. Some have a plan in several shards, and some lose their
 * leader. has_limit: the team has a limit, at which the largest job still fits. */
static SimCluster *
draw_cluster (guint32 seed, GRand *rand, gboolean has_limit)
{
  SimCluster *cluster = cluster_new (seed, CONTROLLERS, g_rand_int_range (rand, 1, 9));
  if (has_limit)
    cluster->quota_gpus = g_rand_int_range (rand, 6, 13);
  if (g_rand_double (rand) < 0.25)
    cluster->machines_per_part = 2;
  sim_cluster_restart_nodes (cluster);
  if (g_rand_double (rand) < 0.25)
    sim_schedule (cluster, g_rand_double_range (rand, 60, 250), replace_leader, NULL);
  return cluster;
}

/* Plays one day of drawn jobs on a drawn cluster. Returns the number of violations. */
static guint
play_drawn_day (guint32 seed, gboolean has_limit)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  WaitingJob jobs[DRAWN_JOBS];
  for (guint i = 0; i < DRAWN_JOBS; i++)
    jobs[i] = draw_job (rand);
  SimCluster *cluster = draw_cluster (seed, rand, has_limit);
  run_jobs (cluster, jobs, DRAWN_JOBS);
  return sim_day_finish (cluster, seed);
}

/* Drawn jobs of all shapes on drawn clusters. Guards against any job that waits for 90 s although
 * it fits on the free machines, whatever their capacity is kept for. */
static void
drawn_jobs (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint32 seed = 1400; seed < 1400 + DRAWN_DAYS; seed++)
    broken += play_drawn_day (seed, FALSE);
  assert_int_equal (broken, 0);
}

/* The same while the team has a limit. Guards against quota that is granted to jobs which cannot
 * use it, one after the other, while another job of the team waits beside free machines. */
static void
drawn_jobs_at_a_limit (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint32 seed = 1440; seed < 1440 + LIMIT_DAYS; seed++)
    broken += play_drawn_day (seed, TRUE);
  assert_int_equal (broken, 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (gang_beside_headroom),
      cmocka_unit_test (gang_beside_small_jobs),
      cmocka_unit_test (priority_before_listing),
      cmocka_unit_test (renting_for_a_gang),
      cmocka_unit_test (replica_after_the_gang),
      cmocka_unit_test (reservation_across_terms),
      cmocka_unit_test (drawn_jobs),
      cmocka_unit_test (drawn_jobs_at_a_limit),
  };
  return sim_run_tests (argc, argv, NULL, tests, G_N_ELEMENTS (tests));
}
