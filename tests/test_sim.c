/* Days (runs) of a simulated cluster with faults drawn from seeds. Each day checks every rule of
 * the protocol, and that all work is done once the faults are over. */
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/test_runner.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/workloads.h"
#include "sim/cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

/* Prints the day's violations, frees the simulation and returns the number of violations. */
/* Checks that every job reached its final state, or ran if it is a service. */
static guint
check_end_of_day (SimCluster *cluster, guint32 seed)
{
  if (store_count_obsolete_pages (cluster))
    sim_report_violation (cluster, "garbage", "%u pages of final jobs are kept",
                          store_count_obsolete_pages (cluster));
  if (cluster->task_starts == 0)
    sim_report_violation (cluster, "nothing_ran", "no task was started");
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (job->cancel_requested && !job->cancelled_reply_at && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
    else if (!job->cancel_requested && job->shape != HR_SERVICE && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
    else if (!job->cancel_requested && job->shape == HR_SERVICE && !job->started)
      sim_report_violation (cluster, "liveness", "%s never ran", job->id);
  }
  return sim_day_finish (cluster, seed);
}

static guint
play_on (SimCluster *cluster, guint32 seed, guint faults, double quota_gpus,
         double machines_per_part)
{
  cluster->quota_gpus = quota_gpus;
  cluster->machines_per_part = machines_per_part;
  if (quota_gpus > 0 || machines_per_part > 0)
    sim_cluster_restart_nodes (cluster);
  users_init (cluster, 40, 300);
  users_probe (cluster);
  faults_init (cluster, faults, 30, 320);
  sim_cluster_run (cluster, 1000);
  return check_end_of_day (cluster, seed);
}

static guint
play (guint32 seed, guint faults, double quota_gpus, double machines_per_part)
{
  return play_on (sim_cluster_new (seed, 3), seed, faults, quota_gpus, machines_per_part);
}

static void
play_seeds (guint from, guint to, guint faults, double quota_gpus, double machines_per_part)
{
  guint violations = 0;
  for (guint seed = from; seed < to; seed++)
    violations += play (seed, faults, quota_gpus, machines_per_part);
  assert_int_equal (violations, 0);
}

static void
days_without_faults (void **state G_GNUC_UNUSED)
{
  play_seeds (1, 4, 0, 0, 0);
}

static void
days_with_one_fault (void **state G_GNUC_UNUSED)
{
  play_seeds (100, 112, 1, 0, 0);
}

static void
days_with_many_faults (void **state G_GNUC_UNUSED)
{
  play_seeds (200, 224, 8, 0, 0);
}

static void
days_with_a_team_limit (void **state G_GNUC_UNUSED)
{
  play_seeds (300, 308, 5, 12, 0);
}

/* Planning passes divide the machines into several shards (machines_per_part). */
static void
days_with_several_shards (void **state G_GNUC_UNUSED)
{
  play_seeds (400, 408, 4, 0, 4);
}

static void
days_with_one_or_five_controllers (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 600; seed < 612; seed++)
    violations += play_on (sim_cluster_new (seed, seed % 2 ? 5 : 1), seed, 5, 0, 0);
  assert_int_equal (violations, 0);
}

/* Messages to machines are lost for long, without other faults. With a single controller such a
 * machine never falls silent: it sends heartbeats to the same node again and
 * again. */
static void
days_with_inbound_loss (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 800; seed < 806; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 1);
    faults_inbound_cut (cluster, 60);
    faults_inbound_cut (cluster, 150);
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

static void
days_with_a_cut_that_holds_packets (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 850; seed < 856; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    faults_cut_all_holding_packets (cluster, 150);
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* The state store refuses all controllers for longer than a leader may renew leases by itself. The
 * attestation by its peers keeps tasks running, but not those of a job that a peer cancelled
 * meanwhile. */
static void
days_with_peer_attestation (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 870; seed < 884; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 5);
    if (seed < 874)
      faults_cut_from_store (cluster, 150);
    else
      faults_missed_cancellation (cluster, 150, seed < 877);
    if (seed >= 880) /* the resumed leader first receives statuses that its peers sent before the
                        cancellation */
      faults_freeze (cluster, 147.5, FREEZE_LEADER, 12);
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* Peers send the leader the cancellations that it cannot read from the state store, so that no
 * lease has to expire. The cancelled jobs' tasks still end in time, even if orders arrive late. */
static void
days_with_unread_cancellations (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1100; seed < 1110; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 5);
    faults_cancellation_gap (cluster, 120);
    faults_cancellation_gap (cluster, 220);
    if (seed >= 1106) {
      cluster->cancels_most_jobs = TRUE;
      cluster->late_order_share = 0.1;
    }
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

static guint
play_services (SimCluster *cluster, guint32 seed)
{
  cluster->capacity = 100;
  cluster->loss_share = cluster->duplicate_share =
      0; /* single lost heartbeats would lose machines */
  users_services (cluster, 16, 3, 2);
  sim_cluster_run (cluster, 320);
  for (guint i = 0; i < cluster->jobs->len; i++)
    if (!((SimJob *)cluster->jobs->pdata[i])->started)
      sim_report_violation (cluster, "liveness", "%s never ran",
                            ((SimJob *)cluster->jobs->pdata[i])->id);
  return sim_day_finish (cluster, seed);
}

/* A new leader takes over and the state store then refuses every node. By its peers' attestation
 * the earlier leader would keep tasks running that the new leader regards as terminated. */
static void
days_of_two_leaders (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1080; seed < 1088; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 5);
    faults_two_leaders (cluster, 120);
    violations += play_services (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* A gang that is larger than any possible fleet stays known. It must neither keep other jobs from
 * their machines nor cause the whole cloud to be rented and returned again and again. */
static void
days_of_an_oversized_gang (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 985; seed < 988; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    users_gangs (cluster, 8, 40, 60);
    users_oversized_gang (cluster, 10);
    sim_cluster_run (cluster, 900);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (job->tasks < 500 && !job->done_reply_at)
        sim_report_violation (cluster, "liveness", "%s is not done", job->id);
      if (!job->accepted || cluster->now - job->answered_at > 30)
        sim_report_violation (cluster, "forgotten", "polls of %s are not answered", job->id);
    }
    if (cluster->machines->len > 7 * cluster->capacity)
      sim_report_violation (cluster, "rented", "%u machines", cluster->machines->len);
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* One task of a gang has its image; the others fetch it for longer than the first one waits. */
static void
days_of_long_fetches (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 990; seed < 1000; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    users_long_fetches (cluster, seed >= 994);
    if (seed >= 994) /* the next leader knows cached images from the records alone */
      faults_crash_leader (cluster, 116.5);
    sim_cluster_run (cluster, 600);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (!job->cancel_requested &&
          (!job->done_reply_at || job->first_run_at - job->accepted_at > 150))
        sim_report_violation (
            cluster, "liveness", "%s of %u tasks starts after %.0f s", job->id, job->tasks,
            (job->first_run_at ? job->first_run_at : cluster->now) - job->accepted_at);
    }
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* A gang that loses a machine before its start gets a replacement for it and keeps its other
 * machines. It starts a new attempt only if the replacement has to boot and is too late. */
static void
days_with_lost_gang_machines (void **state G_GNUC_UNUSED)
{
  guint violations = 0, lost = 0, restarted = 0;
  for (guint seed = 960; seed < 964; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->gang_image_gb = 8;
    faults_crash_gang_machines (cluster, 5, 250);
    users_gangs (cluster, 6, 5, 30);
    sim_cluster_run (cluster, 450);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      g_autofree char *second_attempt = g_strdup_printf ("%s/0/2", job->id);
      lost += job->lost_gang_machine;
      if (!job->done_reply_at)
        sim_report_violation (cluster, "liveness", "%s is not done", job->id);
      restarted += g_hash_table_contains (cluster->assignment_recorders, second_attempt);
    }
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
  assert_true (lost >= 16);
  assert_true (restarted * 2 < lost);
}

/* Machines crash and leaders change while duplicates of heartbeats are in flight. */
static void
days_with_duplicates_and_new_leaders (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 900; seed < 908; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->late_copy_share = 0.5;
    faults_change_leaders (cluster, 40, 320);
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* A stream of small urgent gangs that nearly fill the fleet must not starve a large job, nor the
 * large job the gangs: each starts within four minutes. */
static void
days_with_a_gang_stream (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 700; seed < 706; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->capacity = 10;
    users_gang_stream (cluster, seed % 2 ? HR_GANG : HR_BATCH, 5, 500);
    sim_cluster_run (cluster, 1100);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (!job->first_run_at || job->first_run_at - job->accepted_at > 240)
        sim_report_violation (cluster, "starved", "%s, %s of %u tasks, starts after %.0f s",
                              job->id, job->large ? "large" : "small", job->tasks,
                              (job->first_run_at ? job->first_run_at : cluster->now) -
                                  job->accepted_at);
    }
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* A gang that waits for booting machines must not cause more rentals in every scheduling pass. */
static void
days_of_few_gangs (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 950; seed < 954; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    const guint gangs = 8;
    cluster->capacity = 200;
    users_gangs (cluster, gangs, 5, 25);
    sim_cluster_run (cluster, 400);
    for (guint i = 0; i < cluster->jobs->len; i++)
      if (!((SimJob *)cluster->jobs->pdata[i])->done_reply_at)
        sim_report_violation (cluster, "liveness", "%s is not done",
                              ((SimJob *)cluster->jobs->pdata[i])->id);
    if (cluster->machines->len > 4 * gangs)
      sim_report_violation (cluster, "rented", "%u machines for %u gangs of two",
                            cluster->machines->len, gangs);
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* Messages are lost or duplicated far more often than on the other days. */
static void
days_with_late_duplicates (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 500; seed < 512; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->duplicate_share = 0.15;
    cluster->loss_share = 0.06;
    cluster->late_copy_share = 0.5;
    violations += play_on (cluster, seed, 3, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* Direct calls get no answer and are carried out half a minute or more later, for jobs that are
 * cancelled meanwhile. That a worker's heartbeat lacks a task does not prove that the task won't
 * start. */
static void
days_with_late_direct_calls (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 970; seed < 982; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->late_order_share = 0.3;
    cluster->cancels_most_jobs = TRUE;
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* The leader lags so far behind that it has to reread the whole state store while its direct calls
 * are in flight. It no longer knows of these calls, so it needs a higher fencing token than theirs.
 */
static void
days_with_compacted_changes (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1100; seed < 1108; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->late_order_share = 0.5;
    cluster->cancels_most_jobs = TRUE;
    faults_compact_changes (cluster, 20, 300);
    violations += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* Controllers are suspended while their clocks run on: briefly, for longer than their leadership,
 * than hold_s and than a lease; the leader, the others, or all; also repeatedly, and during other
 * faults. */
static void
days_with_frozen_controllers (void **state G_GNUC_UNUSED)
{
  static const double lengths[] = {2.5, 4.5, 9, 16, 25, 40};
  guint violations = 0;
  for (guint seed = 1000; seed < 1018; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 3 == 2 ? 5 : 3);
    double for_s = lengths[seed % G_N_ELEMENTS (lengths)];
    FreezeTarget target = seed / 6 % 3;
    faults_freeze (cluster, 60, target, for_s);
    faults_freeze (cluster, 60 + for_s + 0.6, target, for_s);
    faults_freeze (cluster, 190, FREEZE_LEADER, for_s);
    violations += play_on (cluster, seed, seed % 2 ? 3 : 0, 0, 0);
  }
  assert_int_equal (violations, 0);
}

/* The leader is cut off from the workers, which other controllers still reach. The workers' last
 * heartbeats are spread over report_s: the leader must not delete machines a few at a time as each
 * falls silent. */
static void
days_with_leaders_cut_from_workers (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1030; seed < 1036; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 5 : 3);
    faults_cut_leader_from_workers (cluster, 120, seed < 1033);
    violations += play_services (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* Half of the fleet crashes together with the leader. */
static void
days_with_half_of_the_fleet_lost (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1040; seed < 1046; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 5 : 3);
    faults_crash_half_of_machines (cluster, 120);
    violations += play_services (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* A team that needs no more than its guarantee does not wait for another team's long jobs, even if
 * those have earlier deadlines and fill the whole fleet. */
static void
days_of_a_guarantee (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1070; seed < 1074; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->guarantee_gpus = 8;
    sim_cluster_restart_nodes (cluster);
    users_two_teams (cluster, 120);
    sim_cluster_run (cluster, 330);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (job->team && (!job->done_reply_at || job->done_reply_at - job->accepted_at > 75))
        sim_report_violation (
            cluster, "guarantee", "%s of %u tasks is done after %.0f s", job->id, job->tasks,
            (job->done_reply_at ? job->done_reply_at : cluster->now) - job->accepted_at);
    }
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* Pages of a job's record cannot be read, so the leader does not know the machines of their tasks:
 * no task may be placed twice, and all must be done in the end. */
static void
days_of_unreadable_pages (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1060; seed < 1064; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    users_paged_array (cluster, 5);
    faults_unreadable_pages (cluster, 60);
    sim_cluster_run (cluster, 600);
    if (!((SimJob *)cluster->jobs->pdata[0])->done_reply_at)
      sim_report_violation (cluster, "liveness", "the job is not done");
    violations += sim_day_finish (cluster, seed);
  }
  assert_int_equal (violations, 0);
}

/* Hundreds of machines, long leases, and faults that hit a large part of them at once. */
static void
play_large (guint32 seed, int nodes)
{
  SimCluster *cluster = sim_cluster_new (seed, nodes);
  guint machines_up = 0;
  cluster->capacity = 1500;
  cluster->report_s = 5;
  cluster->lease_s = 26.5;
  cluster->cancel_s = 56.5;
  cluster->loss_share = 0.001;
  cluster->duplicate_share =
      0.01; /* duplicates of carried-out messages arrive up to a minute later */
  cluster->late_copy_share = 0.05;
  sim_cluster_restart_nodes (cluster);
  users_mixed_workload (cluster, 620, 250);
  users_probe (cluster);
  faults_mass_failure (cluster, 100);
  faults_init (cluster, 0, 0, 330);
  sim_cluster_run (cluster, 90);
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    machines_up += machine->up && !machine->gone;
  }
  sim_cluster_run (cluster, 640);
  if (machines_up < 1300)
    sim_report_violation (cluster, "small", "only %u machines are up", machines_up);
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted || (!job->cancel_requested &&
                           (job->shape == HR_SERVICE ? !job->started : !job->done_reply_at)))
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
  }
  assert_int_equal (sim_day_finish (cluster, seed), 0);
}

static void
a_large_day_of_three (void **state G_GNUC_UNUSED)
{
  play_large (1050, 3);
}

static void
a_large_day_of_five (void **state G_GNUC_UNUSED)
{
  play_large (1051, 5);
}

/* The version in production is upgraded node by node during faults. Then the limits of the state
 * store are lowered, on some days while the last node is still down (last_node_slow). */
static guint
play_upgrade (guint32 seed, int nodes, guint faults, gboolean last_node_slow)
{
  SimCluster *cluster = sim_cluster_new (seed, nodes);
  cluster->capacity = 101; /* so that one page of the cloud's list holds all machines */
  cluster->long_names = TRUE;
  upgrade_init (cluster);
  users_init (cluster, 15, 250);
  users_large_jobs (cluster, 10, 150);
  users_probe (cluster);
  double last = upgrade_roll (cluster, 75, seed % 2 ? 9 : 15, last_node_slow ? 45 : 5);
  upgrade_lower_limits (cluster,
                        last + (last_node_slow ? 3 : 5) + sim_rand_range (cluster, 0.2, 3));
  faults_init (cluster, faults, 30, 320);
  sim_cluster_run (cluster, 900);
  if (!store_has_key (cluster, "h/format"))
    sim_report_violation (cluster, "format", "the new format was never recorded");
  if (store_count_oversized_records (cluster))
    sim_report_violation (cluster, "large", "%u records are too large",
                          store_count_oversized_records (cluster));
  return check_end_of_day (cluster, seed);
}

static void
days_of_an_upgrade (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = 1100; seed < 1106; seed++)
    violations += play_upgrade (seed, seed % 4 == 3 ? 5 : 3, seed < 1102 ? 0 : 6, seed % 3 == 2);
  assert_int_equal (violations, 0);
}

int
main (int argc, char **argv)
{
  /* Manual runs: test_sim FROM TO FAULTS LIMIT */
  if (argc == 5) {
    guint violations = 0;
    sim_log_init ();
    for (int seed = atoi (argv[1]); seed < atoi (argv[2]); seed++)
      violations += play (seed, atoi (argv[3]), atof (argv[4]), seed % 5 == 0 ? 4 : 0);
    return violations != 0;
  }
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (days_without_faults),
      cmocka_unit_test (days_with_one_fault),
      cmocka_unit_test (days_with_many_faults),
      cmocka_unit_test (days_with_a_team_limit),
      cmocka_unit_test (days_with_several_shards),
      cmocka_unit_test (days_with_late_duplicates),
      cmocka_unit_test (days_with_one_or_five_controllers),
      cmocka_unit_test (days_with_a_gang_stream),
      cmocka_unit_test (days_with_inbound_loss),
      cmocka_unit_test (days_with_duplicates_and_new_leaders),
      cmocka_unit_test (days_with_a_cut_that_holds_packets),
      cmocka_unit_test (days_of_few_gangs),
      cmocka_unit_test (days_with_peer_attestation),
      cmocka_unit_test (days_with_lost_gang_machines),
      cmocka_unit_test (days_with_late_direct_calls),
      cmocka_unit_test (days_of_an_oversized_gang),
      cmocka_unit_test (days_of_long_fetches),
      cmocka_unit_test (days_with_frozen_controllers),
      cmocka_unit_test (days_with_leaders_cut_from_workers),
      cmocka_unit_test (days_with_half_of_the_fleet_lost),
      cmocka_unit_test (a_large_day_of_three),
      cmocka_unit_test (a_large_day_of_five),
      cmocka_unit_test (days_of_unreadable_pages),
      cmocka_unit_test (days_of_a_guarantee),
      cmocka_unit_test (days_of_two_leaders),
      cmocka_unit_test (days_with_compacted_changes),
      cmocka_unit_test (days_with_unread_cancellations),
      cmocka_unit_test (days_of_an_upgrade),
  };
  static const char *const parts[] = {
      "quiet",       "one",        "many",      "limit",  "parts",        "copies",      "nodes",
      "stream",      "deaf",       "owners",    "cut",    "gangs",        "attestation", "places",
      "late_orders", "oversized",  "fetch",     "freeze", "unreached",    "half",        "large3",
      "large5",      "unreadable", "guarantee", "two",    "changes_gone", "gap",         "upgrade"};
  G_STATIC_ASSERT (G_N_ELEMENTS (parts) == G_N_ELEMENTS (tests));
  return sim_run_tests (argc, argv, parts, tests, G_N_ELEMENTS (tests));
}
