/* Days (runs) of a simulated cluster on which users send requests during two overlapping faults of
 * the state store. Every rule is checked at every event, and all work must be done once the faults
 * are over. The same cases are tested message by message in test_store_reads.c, test_writes.c and
 * test_allowance.c. */
#include "sim/log.h"
#include "sim/user.h"
#include "sim/workloads.h"
#include "sim/cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define DAY_S 700.0 /* long enough after the last fault for all work to end */

static void
check_end (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (job->cancel_requested && !job->cancelled_reply_at && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
    else if (!job->cancel_requested && job->shape != HR_SERVICE && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
  }
}

#define PLAY(from, to, day) play_seeds (from, to, day, G_N_ELEMENTS (day))

static void
play_seeds (guint from, guint to, const HrFault *day, guint n)
{
  guint violations = 0;
  for (guint seed = from; seed < to; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 3 == 2 ? 5 : 3);
    users_services (cluster, 6, 2, 2); /* services, so that there is always a job to cancel */
    users_init (cluster, 40, 300);
    users_probe (cluster);
    faults_plan (cluster, day, n);
    sim_cluster_run (cluster, DAY_S);
    check_end (cluster);
    for (guint i = 0; i < n; i++)
      if (!cluster->faults.effects[day[i].kind])
        sim_report_violation (cluster, "played", "fault %u had no effect", i);
    for (guint i = 0; i < MIN (cluster->violations->len, 12); i++)
      fprintf (stderr, "seed %u: %s\n", seed, (char *)cluster->violations->pdata[i]);
    violations += cluster->violations->len;
    sim_cluster_free (cluster);
  }
  assert_int_equal (violations, 0);
}

/* Answers to writes are lost while users poll all nodes and the leader changes repeatedly; jobs are
 * cancelled as the leader changes. */
static void
lost_answers_over_hand_overs (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 30, .kind = FAULT_CLOSE_POLLS, .for_s = 250, .share = 0.3},
      {.at_s = 50, .kind = FAULT_LATE_WRITES, .for_s = 200, .share = 0.4, .at_once = TRUE},
      {.at_s = 80, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.5},
      {.at_s = 81, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 84, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 140, .kind = FAULT_NODE_FREEZE, .who = WHO_LEADER, .for_s = 8},
      {.at_s = 143, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 200, .kind = FAULT_NODE_CRASH, .who = WHO_ALL, .back_s = 1}};
  PLAY (2200, 2204, day);
}

/* Transactions are carried out after newer ones while jobs are cancelled as they end. */
static void
late_writes_at_the_end (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 30, .kind = FAULT_CANCEL_AT_END, .for_s = 250, .share = 0.6},
      {.at_s = 40, .kind = FAULT_LATE_WRITES, .for_s = 80, .share = 0.4},
      {.at_s = 90, .kind = FAULT_NODE_CRASH, .who = WHO_LEADER, .back_s = 0.5},
      {.at_s = 150, .kind = FAULT_LATE_WRITES, .for_s = 80, .share = 0.6},
      {.at_s = 160, .kind = FAULT_CLOSE_POLLS, .for_s = 100},
      {.at_s = 180, .kind = FAULT_STATE_REFUSES, .who = WHO_LEADER, .for_s = 9}};
  PLAY (2210, 2214, day);
}

/* The state store is slow, refuses the leader alone, and is then down for longer than cancel_s;
 * users cancel and poll jobs throughout. */
static void
slow_refused_and_away (void **state G_GNUC_UNUSED)
{
  static const HrFault day[] = {
      {.at_s = 30, .kind = FAULT_CLOSE_POLLS, .for_s = 250, .share = 0.3},
      {.at_s = 50, .kind = FAULT_STATE_SLOW, .for_s = 40, .delay_s = 0.5},
      {.at_s = 60, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 99.8, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 100, .kind = FAULT_STATE_REFUSES, .who = WHO_LEADER, .for_s = 60},
      {.at_s = 100.3, .kind = FAULT_CANCEL_NOW, .count = 6},
      {.at_s = 101, .kind = FAULT_STATE_OUTAGE, .for_s = 50}};
  PLAY (2220, 2224, day);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (lost_answers_over_hand_overs),
      cmocka_unit_test (late_writes_at_the_end),
      cmocka_unit_test (slow_refused_and_away),
  };
  sim_log_init ();
  if (argc == 2) /* a single test, by the name of its function */
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
