/* Planning passes leave most of the processor time to heartbeats and to reads of the store. */
#include "scripted_cluster.h"
#include "coordination/state.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define RUN_S 30.0
#define STEP_S 0.1

/* Returns how many planning passes of pass_s seconds each the leader makes in RUN_S seconds. */
static guint
count_passes (double pass_s)
{
  Cluster *cluster = cluster_new_with_leader (2);
  HrCore *leader = cluster->nodes[cluster_leader (cluster)].core;
  guint n = 0;
  double run_for = 0;
  while (run_for < RUN_S) {
    double before = leader->scheduling.planned_at;
    cluster_run (cluster, STEP_S);
    leader->scheduling.plan_is_stale = TRUE;
    cluster_tick (cluster, 0.001);
    n += leader->scheduling.planned_at > before;
    hr_core_set_step_duration (leader, pass_s);
    run_for += STEP_S;
  }
  cluster_free (cluster);
  return n;
}

/* Passes of one second take at most about a fifth of the time, passes of a millisecond are not
 * delayed, and a process continues to plan after a pause of a minute within a pass. */
static void
long_passes_are_spaced (void **state G_GNUC_UNUSED)
{
  guint usual = count_passes (0);
  assert_in_range (count_passes (1), 2, (guint)(RUN_S / 4) + 1);
  assert_int_equal (count_passes (0.001), usual);
  assert_true (count_passes (60) >= 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (long_passes_are_spaced)};
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
