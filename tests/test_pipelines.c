/* Days of a simulated cluster whose users submit pipelines of jobs that await one another, some
 * late, some cancelled, some after that. The stand-ins check `too_early` and `orphaned` at every
 * start, answer and half second, beside all other rules. */
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/pipeline.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/user.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define CALM_AT 320
#define DAY_ENDS 800

static guint
verdict (SimCluster *cluster, guint32 seed)
{
  for (guint i = 0; i < MIN (cluster->violations->len, 12); i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)cluster->violations->pdata[i]);
  if (g_getenv ("HR_SIM_VERBOSE"))
    fprintf (stderr, "seed %u: %u jobs, %u starts, %u machines\n", seed, cluster->jobs->len,
             cluster->task_starts, cluster->machines->len);
  guint broken = cluster->violations->len;
  sim_cluster_free (cluster);
  return broken;
}

static guint
play (SimCluster *cluster, guint32 seed, guint faults, gboolean shock)
{
  const PipelineDay day = {25, 3, 250, 0.6, shock};
  users_pipelines (cluster, &day);
  users_probe (cluster);
  faults_init (cluster, faults, 20, CALM_AT);
  sim_cluster_run (cluster, DAY_ENDS);
  guint cancelled = 0, done = 0;
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    cancelled += job->cancelled_reply_at && !job->cancel_requested;
    done += job->done_reply_at && job->awaits->len;
  }
  /* A day on which nothing was taken along, or nothing came after another, shows nothing. */
  if (cancelled < 4 || done < 20)
    sim_report_violation (cluster, "day", "%u jobs were taken along, %u are done after others",
                          cancelled, done);
  pipelines_check_end (cluster);
  if (cluster->limits_drop_at > 0 && store_count_oversized_records (cluster))
    sim_report_violation (cluster, "large", "%u records are too large",
                          store_count_oversized_records (cluster));
  if (store_count_obsolete_pages (cluster))
    sim_report_violation (cluster, "garbage", "%u pages of final jobs are kept",
                          store_count_obsolete_pages (cluster));
  return verdict (cluster, seed);
}

static void
quiet_days (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2000; seed < 2003; seed++)
    broken += play (sim_cluster_new (seed, 3), seed, 0, FALSE);
  assert_int_equal (broken, 0);
}

static void
days_with_troubles (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2010; seed < 2026; seed++)
    broken += play (sim_cluster_new (seed, 3), seed, 6, FALSE);
  assert_int_equal (broken, 0);
}

/* Again and again another node leads, which knows what it read alone. */
static void
days_of_new_leaders (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2030; seed < 2036; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    faults_change_leaders (cluster, 25, CALM_AT);
    broken += play (cluster, seed, 0, FALSE);
  }
  assert_int_equal (broken, 0);
}

/* All controllers end right after a cancellation was told, and the state service goes away. */
static void
days_of_shocks (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2040; seed < 2050; seed++)
    broken += play (sim_cluster_new (seed, 3), seed, seed % 2 ? 3 : 0, TRUE);
  assert_int_equal (broken, 0);
}

static void
days_with_a_team_limit (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2050; seed < 2054; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->quota_gpus = 3;
    sim_cluster_restart_nodes (cluster);
    broken += play (cluster, seed, 3, FALSE);
  }
  assert_int_equal (broken, 0);
}

static void
days_with_one_or_five_controllers (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2060; seed < 2066; seed++)
    broken += play (sim_cluster_new (seed, seed % 2 ? 5 : 1), seed, 4, seed % 3 == 0);
  assert_int_equal (broken, 0);
}

/* Controllers that know formats and pipelines (764e988 and later) come back one after the other
 * while pipelines are under way, mostly before the format stands in the state store, and the limits
 * of the state service fall: before the last turn, right after it, or as a leader ends. Wherever
 * the fall comes nothing is sent again and again, and in the end no record is too large. */
static guint
play_upgrade (guint32 seed, int nodes)
{
  static const double fall_after_turn[] = {-4, 0.1, 2, 8};
  SimCluster *cluster = sim_cluster_new (seed, nodes);
  cluster->capacity = 101;
  cluster->long_names = TRUE;
  if (seed % 4) {
    store_set_format (cluster, FALSE);
    sim_cluster_restart_nodes (cluster);
  }
  double last = upgrade_roll (cluster, 60, seed % 2 ? 12 : 25, 4);
  upgrade_lower_limits (cluster, last + fall_after_turn[seed % G_N_ELEMENTS (fall_after_turn)]);
  if (seed % 3 == 0)
    faults_change_leaders (cluster, 20, CALM_AT);
  return play (cluster, seed, seed % 3, FALSE);
}

static void
days_of_an_upgrade (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 2070; seed < 2078; seed++)
    broken += play_upgrade (seed, seed % 4 == 3 ? 5 : 3);
  assert_int_equal (broken, 0);
}

int
main (int argc, char **argv)
{
  sim_log_init ();
  if (argc == 4) { /* a sweep by hand: test_pipelines FROM TO FAULTS */
    guint broken = 0;
    for (int incarnation = atoi (argv[1]); incarnation < atoi (argv[2]); incarnation++)
      broken += play (sim_cluster_new (incarnation, 3), incarnation, atoi (argv[3]),
                      incarnation % 3 == 0);
    return broken != 0;
  }
  static const char *const parts[] = {"quiet", "troubles", "owners", "shock",
                                      "limit", "nodes",    "upgrade"};
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (quiet_days),
      cmocka_unit_test (days_with_troubles),
      cmocka_unit_test (days_of_new_leaders),
      cmocka_unit_test (days_of_shocks),
      cmocka_unit_test (days_with_a_team_limit),
      cmocka_unit_test (days_with_one_or_five_controllers),
      cmocka_unit_test (days_of_an_upgrade),
  };
  for (guint i = 0; argc == 2 && i < G_N_ELEMENTS (parts); i++)
    if (g_str_equal (parts[i], argv[1])) {
      const struct CMUnitTest part[] = {tests[i]};
      return cmocka_run_group_tests_name (argv[1], part, NULL, NULL);
    }
  if (argc == 2) {
    fprintf (stderr, "no part %s\n", argv[1]);
    return 2;
  }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
