/* Simulated days (runs from one seed each) on which a team is at its limit, its quota: which
 * machines are rented, which tasks start next, and that the limit holds under failures too. */
#include "sim/limits.h"
#include "sim/test_runner.h"
#include "sim/troubles.h"
#include "sim/user.h"
#include "sim/worker.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define LIMIT_GPUS 24.0
#define MACHINE_GPUS 2.0
#define DAY_S 900.0

static SimCluster *
cluster_with_limit (guint32 seed, double gpus)
{
  SimCluster *cluster = sim_cluster_new (seed, 3);
  cluster->quota_gpus = gpus;
  cluster->capacity = 200;
  sim_cluster_restart_nodes (cluster);
  users_init (cluster, 0, 0);
  return cluster;
}

static void
check_jobs_done (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (job->cancel_requested ? !job->cancelled_reply_at && !job->done_reply_at
                              : job->shape != HR_SERVICE && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
  }
}

/* Guards against machines rented for tasks that the limit keeps from starting, and against machines
 * returned and rented again in cycles, when the team has far more work than its limit allows. */
static void
renting (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob work[] = {
      {5, HR_BATCH, 60, 40, NULL, 0, FALSE, NULL},  {6, HR_BATCH, 60, 40, NULL, 0, FALSE, NULL},
      {7, HR_GANG, 4, 40, NULL, 0, FALSE, NULL},    {8, HR_GANG, 2, 40, NULL, 0, FALSE, NULL},
      {20, HR_BATCH, 80, 30, NULL, 0, FALSE, NULL}, {60, HR_GANG, 6, 40, NULL, 0, FALSE, NULL},
      {90, HR_BATCH, 60, 40, NULL, 0, FALSE, NULL}, {120, HR_SERVICE, 4, 0, NULL, 0, FALSE, NULL},
  };
  const guint needed = LIMIT_GPUS / MACHINE_GPUS;
  guint broken = 0;
  for (guint32 seed = 1200; seed < 1204; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS);
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    sim_cluster_run (cluster, DAY_S);
    check_jobs_done (cluster);
    if (cluster->machines->len > 2 * needed)
      sim_report_violation (cluster, "rented", "%u machines rented where %u hold all that may run",
                            cluster->machines->len, needed);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against spare machines for future services of a team that has used up its limit, so that
 * those services could not start. */
static void
spare_room (void **state G_GNUC_UNUSED)
{
  static HrLimitJob work[24];
  const guint needed = LIMIT_GPUS / MACHINE_GPUS;
  guint broken = 0;
  for (guint i = 0; i < G_N_ELEMENTS (work); i++)
    work[i] = (HrLimitJob){5 + 4 * i, HR_SERVICE, 4, 0, NULL, 0, FALSE, NULL};
  for (guint32 seed = 1260; seed < 1264; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS);
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    sim_cluster_run (cluster, 200);
    guint up = 0;
    for (guint i = 0; i < cluster->machines->len; i++)
      up += !((SimMachine *)cluster->machines->pdata[i])->gone;
    if (up > needed + needed / 4)
      sim_report_violation (cluster, "rented",
                            "%u machines are kept where %u hold all that may run", up, needed);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against starvation of a gang that needs the team's whole limit, while a stream of small
 * jobs alone nearly fills it. */
static void
gang_in_a_stream (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob gang[] = {{60, HR_GANG, 6, 25, NULL, 0, TRUE, NULL}};
  guint broken = 0;
  for (guint32 seed = 1210; seed < 1214; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS / 2);
    limits_stream (cluster, 5, 500, 4.5, 20);
    limits_submit (cluster, gang, G_N_ELEMENTS (gang));
    sim_cluster_run (cluster, DAY_S);
    check_jobs_done (cluster);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (sim_job_start_wait_s (cluster, job) > (job->large ? 180 : 240))
        sim_report_violation (cluster, "starved", "%s of %u tasks starts after %.0f s", job->id,
                              job->tasks, sim_job_start_wait_s (cluster, job));
    }
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Long tasks of the lowest priority fill the limit. Jobs of a higher priority start at once by
 * preempting them; within one priority the earlier deadline goes first. */
static void
order (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob work[] = {
      {5, HR_BATCH, 24, 250, "low", 900, FALSE, NULL},
      {120, HR_GANG, 2, 30, NULL, 0, FALSE, NULL},
      {200, HR_SERVICE, 3, 0, NULL, 0, FALSE, NULL},
      {260, HR_BATCH, 60, 40, "normal", 800, FALSE, NULL},
      {263, HR_BATCH, 20, 40, "normal", 60, FALSE, NULL},
  };
  guint broken = 0;
  for (guint32 seed = 1220; seed < 1224; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS);
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    sim_cluster_run (cluster, 1500);
    check_jobs_done (cluster);
    for (guint i = 1; i < 5; i++)
      if (sim_job_start_wait_s (cluster, limits_job (cluster, i)) > 45)
        sim_report_violation (
            cluster, "order", "%s starts after %.0f s, although its priority is higher",
            limits_job (cluster, i)->id, sim_job_start_wait_s (cluster, limits_job (cluster, i)));
    if (limits_job (cluster, 4)->done_at > limits_job (cluster, 3)->done_at)
      sim_report_violation (cluster, "order", "the job with the later deadline is done first");
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Returns how many starts of the job's tasks were recorded. */
static guint
recorded_starts (const SimCluster *cluster, const SimJob *job)
{
  g_autofree char *prefix = g_strdup_printf ("%s/", job->id);
  GHashTableIter iter;
  gpointer key;
  guint n = 0;
  g_hash_table_iter_init (&iter, cluster->assignment_recorders);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    n += g_str_has_prefix (key, prefix);
  return n;
}

/* All but one machine's worth of the limit is in use, and a gang waits for the whole limit. Guards
 * against churn: a long job behind that gang must not preempt the short tasks that fill the gap in
 * the meantime. */
static void
short_work_fills_a_gap (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob work[] = {
      {5, HR_GANG, 5, 200, NULL, 0, FALSE, NULL},
      {60, HR_GANG, 6, 30, NULL, 0, FALSE, NULL},
      {65, HR_GANG, 1, 300, NULL, 0, FALSE, NULL},
      {70, HR_BATCH, 60, 10, NULL, 0, FALSE, NULL},
  };
  const guint short_tasks = 60;
  guint broken = 0;
  for (guint32 seed = 1270; seed < 1276; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS / 2);
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    sim_cluster_run (cluster, 1500);
    check_jobs_done (cluster);
    /* Counts the short tasks only: a gang that loses a machine restarts all its tasks. */
    guint starts = recorded_starts (cluster, limits_job (cluster, 3));
    if (starts > short_tasks + short_tasks / 4)
      sim_report_violation (cluster, "churn", "%u starts of %u short tasks", starts, short_tasks);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against jobs that wait for a gang which is within the limit but for which the cloud has no
 * machines left. */
static void
gang_without_machines (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob work[] = {
      {5, HR_GANG, 12, 30, NULL, 0, TRUE, NULL},     {20, HR_BATCH, 8, 30, NULL, 0, FALSE, NULL},
      {150, HR_BATCH, 8, 30, NULL, 0, FALSE, NULL},  {300, HR_GANG, 2, 30, NULL, 0, FALSE, NULL},
      {450, HR_BATCH, 12, 30, NULL, 0, FALSE, NULL},
  };
  guint broken = 0;
  for (guint32 seed = 1230; seed < 1234; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS);
    cluster->capacity = 6;
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    sim_cluster_run (cluster, DAY_S);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (!job->large && sim_job_start_wait_s (cluster, job) > 90)
        sim_report_violation (cluster, "idle",
                              "%s waits %.0f s under the limit, although a machine has room",
                              job->id, sim_job_start_wait_s (cluster, job));
    }
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against jobs that wait, although machines have room, for a job within its team's guarantee
 * for which the cloud has no machines left. */
static void
guarantee_without_machines (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob work[] = {
      {5, HR_GANG, 3, 30, NULL, 0, TRUE, "guests"},
      {20, HR_BATCH, 6, 30, NULL, 0, FALSE, NULL},
      {150, HR_GANG, 1, 30, NULL, 0, FALSE, NULL},
      {300, HR_BATCH, 6, 30, NULL, 0, FALSE, NULL},
  };
  guint broken = 0;
  for (guint32 seed = 1250; seed < 1254; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->guarantee_gpus = 8;
    cluster->capacity = 2;
    sim_cluster_restart_nodes (cluster);
    users_init (cluster, 0, 0);
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    sim_cluster_run (cluster, DAY_S);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (!job->large && sim_job_start_wait_s (cluster, job) > 90)
        sim_report_violation (cluster, "idle", "%s waits %.0f s although a machine has room",
                              job->id, sim_job_start_wait_s (cluster, job));
    }
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Guards against a team that exceeds its limit after a leader change: jobs are cancelled while
 * machines are unreachable or hang, and their tasks count against the limit until they have
 * provably terminated. */
static void
leader_changes (void **state G_GNUC_UNUSED)
{
  static const HrLimitJob work[] = {
      {5, HR_BATCH, 40, 60, NULL, 0, FALSE, NULL},  {6, HR_BATCH, 30, 60, NULL, 0, FALSE, NULL},
      {7, HR_GANG, 3, 80, NULL, 0, FALSE, NULL},    {8, HR_GANG, 2, 80, NULL, 0, FALSE, NULL},
      {60, HR_BATCH, 40, 60, NULL, 0, FALSE, NULL}, {62, HR_GANG, 4, 60, NULL, 0, FALSE, NULL},
      {64, HR_BATCH, 30, 50, NULL, 0, FALSE, NULL}, {150, HR_GANG, 2, 60, NULL, 0, FALSE, NULL},
  };
  /* New machines boot at once: if a share of the limit is wrongly taken for free, other tasks start
   * before the old ones have terminated. */
  static const HrFault day[] = {
      {.at_s = 90, .kind = FAULT_FAST_BOOT, .for_s = 60},
      {.at_s = 100, .kind = FAULT_MACHINE_CUT, .count = 5, .for_s = 30, .hold = TRUE},
      {.at_s = 102, .kind = FAULT_CANCEL_NOW, .count = 3, .hang_s = 24},
      {.at_s = 102.5, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
      {.at_s = 190, .kind = FAULT_FAST_BOOT, .for_s = 60},
      {.at_s = 200, .kind = FAULT_LATE_WRITES, .share = 0.4, .for_s = 30},
      {.at_s = 205, .kind = FAULT_CANCEL_NOW, .count = 2, .hang_s = 24},
      {.at_s = 206, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER},
  };
  guint broken = 0;
  for (guint32 seed = 1240; seed < 1248; seed++) {
    SimCluster *cluster = cluster_with_limit (seed, LIMIT_GPUS);
    users_probe (cluster);
    limits_submit (cluster, work, G_N_ELEMENTS (work));
    faults_plan (cluster, day, G_N_ELEMENTS (day));
    sim_cluster_run (cluster, DAY_S);
    check_jobs_done (cluster);
    broken += sim_day_finish (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (renting),
      cmocka_unit_test (spare_room),
      cmocka_unit_test (gang_in_a_stream),
      cmocka_unit_test (order),
      cmocka_unit_test (short_work_fills_a_gap),
      cmocka_unit_test (gang_without_machines),
      cmocka_unit_test (guarantee_without_machines),
      cmocka_unit_test (leader_changes),
  };
  return sim_run_tests (argc, argv, NULL, tests, G_N_ELEMENTS (tests));
}
