/* Days (runs) of a simulated cluster whose users submit pipelines: jobs that await one another.
 * Some jobs are submitted late, some are cancelled, some submitted after that. The simulation
 * checks the rules `too_early` and `orphaned` at every start, at every answer and twice per second,
 * besides all other rules. */
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/test_runner.h"
#include "sim/pipeline.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/user.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define FAULTS_END_S 320
#define DAY_S 800

static guint
play (SimCluster *cluster, guint32 seed, guint faults, gboolean crash_after_cancel)
{
  const PipelineDay day = {25, 3, 250, 0.6, crash_after_cancel};
  users_pipelines (cluster, &day);
  users_probe (cluster);
  faults_init (cluster, faults, 20, FAULTS_END_S);
  sim_cluster_run (cluster, DAY_S);
  guint cancelled = 0, done = 0;
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    cancelled += job->cancelled_reply_at && !job->cancel_requested;
    done += job->done_reply_at && job->awaits->len;
  }
  /* A day without cancelled and completed dependent jobs would test nothing. */
  if (cancelled < 4 || done < 20)
    sim_report_violation (cluster, "day", "%u dependent jobs were cancelled, %u are done",
                          cancelled, done);
  pipelines_check_end (cluster);
  if (cluster->limits_drop_at > 0 && store_count_oversized_records (cluster))
    sim_report_violation (cluster, "large", "%u records are too large",
                          store_count_oversized_records (cluster));
  if (store_count_obsolete_pages (cluster))
    sim_report_violation (cluster, "garbage", "%u pages of final jobs are kept",
                          store_count_obsolete_pages (cluster));
  return sim_day_finish (cluster, seed);
}

static void
days_without_faults (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2000; seed < 2003; seed++)
    violations += play (sim_cluster_new (seed, 3), seed, 0, FALSE);
  assert_int_equal (violations, 0);
}

static void
days_with_faults (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2010; seed < 2026; seed++)
    violations += play (sim_cluster_new (seed, 3), seed, 6, FALSE);
  assert_int_equal (violations, 0);
}

/* The leader changes repeatedly; a new leader knows only what it has read from the state store. */
static void
days_of_new_leaders (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2030; seed < 2036; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    faults_change_leaders (cluster, 25, FAULTS_END_S);
    violations += play (cluster, seed, 0, FALSE);
  }
  assert_int_equal (violations, 0);
}

/* All controllers crash right after a reply has confirmed a cancellation, half of the time together
 * with an outage of the state store. */
static void
days_with_crashes_after_cancellations (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2040; seed < 2050; seed++)
    violations += play (sim_cluster_new (seed, 3), seed, seed % 2 ? 3 : 0, TRUE);
  assert_int_equal (violations, 0);
}

static void
days_with_a_team_limit (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2050; seed < 2054; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->quota_gpus = 3;
    sim_cluster_restart_nodes (cluster);
    violations += play (cluster, seed, 3, FALSE);
  }
  assert_int_equal (violations, 0);
}

static void
days_with_one_or_five_controllers (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2060; seed < 2066; seed++)
    violations += play (sim_cluster_new (seed, seed % 2 ? 5 : 1), seed, 4, seed % 3 == 0);
  assert_int_equal (violations, 0);
}

/* Controllers that know record formats and pipelines (764e988 and later) are restarted in turn
 * while pipelines run, mostly before the format is recorded in the state store. The limits of the
 * state store are lowered before the last restart, right after it, or as a leader crashes.
 * Whenever that happens, no write is repeated endlessly, and in the end no record is too large. */
static guint
play_upgrade (guint32 seed, int nodes)
{
  static const double limits_drop_after_restart_s[] = {-4, 0.1, 2, 8};
  SimCluster *cluster = sim_cluster_new (seed, nodes);
  cluster->capacity = 101;
  cluster->long_names = TRUE;
  if (seed % 4) {
    store_set_format (cluster, FALSE);
    sim_cluster_restart_nodes (cluster);
  }
  double last = upgrade_roll (cluster, 60, seed % 2 ? 12 : 25, 4);
  upgrade_lower_limits (
      cluster,
      last + limits_drop_after_restart_s[seed % G_N_ELEMENTS (limits_drop_after_restart_s)]);
  if (seed % 3 == 0)
    faults_change_leaders (cluster, 20, FAULTS_END_S);
  return play (cluster, seed, seed % 3, FALSE);
}

static void
days_of_an_upgrade (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 2070; seed < 2078; seed++)
    violations += play_upgrade (seed, seed % 4 == 3 ? 5 : 3);
  assert_int_equal (violations, 0);
}

int
main (int argc, char **argv)
{
  if (argc == 4) { /* manual runs: test_pipelines FROM TO FAULTS */
    guint violations = 0;
    sim_log_init ();
    for (int seed = atoi (argv[1]); seed < atoi (argv[2]); seed++)
      violations += play (sim_cluster_new (seed, 3), seed, atoi (argv[3]), seed % 3 == 0);
    return violations != 0;
  }
  static const char *const parts[] = {"quiet", "troubles", "owners", "shock",
                                      "limit", "nodes",    "upgrade"};
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (days_without_faults),
      cmocka_unit_test (days_with_faults),
      cmocka_unit_test (days_of_new_leaders),
      cmocka_unit_test (days_with_crashes_after_cancellations),
      cmocka_unit_test (days_with_a_team_limit),
      cmocka_unit_test (days_with_one_or_five_controllers),
      cmocka_unit_test (days_of_an_upgrade),
  };
  G_STATIC_ASSERT (G_N_ELEMENTS (parts) == G_N_ELEMENTS (tests));
  return sim_run_tests (argc, argv, parts, tests, G_N_ELEMENTS (tests));
}
