/* Planning passes leave most of the processor to reports and readings. */
#include "scripted_cluster.h"
#include "coordination/state.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define RUN_S 30.0
#define STEP_S 0.1

/* Passes of the leader in RUN_S seconds, each of which is said to take so long. */
static guint
passes (double took)
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
    hr_core_step_took (leader, took);
    run_for += STEP_S;
  }
  cluster_free (cluster);
  return n;
}

/* Of a pass that takes a second, at most every fifth second is planned; one that takes a
 * millisecond changes nothing; and a process that stood still for a minute plans on. */
static void
long_passes_are_spaced (void **state G_GNUC_UNUSED)
{
  guint usual = passes (0);
  assert_in_range (passes (1), 2, (guint)(RUN_S / 4) + 1);
  assert_int_equal (passes (0.001), usual);
  assert_true (passes (60) >= 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (long_passes_are_spaced)};
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
