/* Days of a simulated cluster, with troubles drawn from seeds. Each asserts every
 * rule of the protocol, and that all work is done once the troubles are over. */
#include "sim/faults.h"
#include "sim/log.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/workloads.h"
#include "sim/cluster.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

/* What broke is shown, and counted. */
static guint
verdict (SimCluster *cluster, guint32 seed)
{
  for (guint i = 0; i < MIN (cluster->violations->len, 12); i++)
    fprintf (stderr, "seed %u: %s\n", seed, (char *)cluster->violations->pdata[i]);
  if (g_getenv ("HR_SIM_VERBOSE"))
    fprintf (stderr, "seed %u: %u jobs, %u starts, %u machines, epoch %" G_GUINT64_FORMAT "\n",
             seed, cluster->jobs->len, cluster->task_starts, cluster->machines->len,
             cluster->epoch);
  guint broken = cluster->violations->len;
  sim_cluster_free (cluster);
  return broken;
}

/* No job may have stayed behind. */
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
  return verdict (cluster, seed);
}

static guint
play_on (SimCluster *cluster, guint32 seed, guint faults, double quota, double per_part)
{
  cluster->quota_gpus = quota;
  cluster->machines_per_part = per_part;
  if (quota > 0 || per_part > 0)
    sim_cluster_restart_nodes (cluster);
  users_init (cluster, 40, 300);
  users_probe (cluster);
  faults_init (cluster, faults, 30, 320);
  sim_cluster_run (cluster, 1000);
  return check_end_of_day (cluster, seed);
}

static guint
play (guint32 seed, guint faults, double quota, double per_part)
{
  return play_on (sim_cluster_new (seed, 3), seed, faults, quota, per_part);
}

static void
play_seeds (guint from, guint to, guint faults, double quota, double per_part)
{
  guint broken = 0;
  for (guint seed = from; seed < to; seed++)
    broken += play (seed, faults, quota, per_part);
  assert_int_equal (broken, 0);
}

static void
quiet_days (void **state G_GNUC_UNUSED)
{
  play_seeds (1, 4, 0, 0, 0);
}

static void
days_with_one_trouble (void **state G_GNUC_UNUSED)
{
  play_seeds (100, 112, 1, 0, 0);
}

static void
days_with_many_troubles (void **state G_GNUC_UNUSED)
{
  play_seeds (200, 224, 8, 0, 0);
}

static void
days_with_a_team_limit (void **state G_GNUC_UNUSED)
{
  play_seeds (300, 308, 5, 12, 0);
}

static void
days_with_several_parts (void **state G_GNUC_UNUSED)
{
  play_seeds (400, 408, 4, 0, 4);
}

static void
days_with_one_or_five_controllers (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 600; seed < 612; seed++)
    broken += play_on (sim_cluster_new (seed, seed % 2 ? 5 : 1), seed, 5, 0, 0);
  assert_int_equal (broken, 0);
}

/* Of the troubles that the users added, each alone and long. With a single controller a
 * deaf machine never falls silent: it asks the same node again and again. */
static void
days_with_inbound_loss (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 800; seed < 806; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 1);
    faults_inbound_cut (cluster, 60);
    faults_inbound_cut (cluster, 150);
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

static void
days_with_a_held_cut (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 850; seed < 856; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    faults_cut_all_holding_packets (cluster, 150);
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* No controller is served for longer than a leader alone may go on: its members' attestation lets
 * tasks live, but not those of a job that one of them withdrew meanwhile. */
static void
days_of_members_word (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 870; seed < 884; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 5);
    if (seed < 874)
      faults_cut_from_store (cluster, 150);
    else
      faults_missed_cancellation (cluster, 150, seed < 877);
    if (seed >= 880) /* on waking it hears first what its members said before the cancellation */
      faults_freeze (cluster, 147.5, FREEZE_LEADER, 12);
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* Cancellations that the leader cannot read are named to it, so that no lease has to run out; the
 * cancelled jobs' tasks are gone in time all the same, whatever orders come late. */
static void
days_of_cancellation_gaps (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 1100; seed < 1110; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 5);
    faults_cancellation_gap (cluster, 120);
    faults_cancellation_gap (cluster, 220);
    if (seed >= 1106) {
      cluster->cancels_most_jobs = TRUE;
      cluster->late_order_share = 0.1;
    }
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

static guint
play_services (SimCluster *cluster, guint32 seed)
{
  cluster->capacity = 100;
  cluster->loss_share = cluster->duplicate_share =
      0; /* a report lost here and there would cost single machines */
  users_services (cluster, 16, 3, 2);
  sim_cluster_run (cluster, 320);
  for (guint i = 0; i < cluster->jobs->len; i++)
    if (!((SimJob *)cluster->jobs->pdata[i])->started)
      sim_report_violation (cluster, "liveness", "%s never ran",
                            ((SimJob *)cluster->jobs->pdata[i])->id);
  return verdict (cluster, seed);
}

/* Another owner is there, and nobody is served: by the members' attestation the earlier one would
 * keep tasks alive that the other takes for gone. */
static void
days_of_two_leaders (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 1080; seed < 1088; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 3 : 5);
    faults_two_leaders (cluster, 120);
    broken += play_services (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* A gang that no fleet can hold stays known, and neither keeps others from their machines nor
 * has the whole cloud rented and returned again and again. */
static void
days_of_an_oversized_gang (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
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
        sim_report_violation (cluster, "forgotten", "%s is not answered", job->id);
    }
    if (cluster->machines->len > 7 * cluster->capacity)
      sim_report_violation (cluster, "rented", "%u machines", cluster->machines->len);
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* One task of a gang has its image, the others fetch it for longer than the first would wait. */
static void
days_of_long_fetches (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 990; seed < 1000; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    users_long_fetches (cluster, seed >= 994);
    if (seed >= 994) /* the next owner knows images from the records alone */
      faults_crash_leader (cluster, 116.5);
    sim_cluster_run (cluster, 600);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (!job->cancel_requested &&
          (!job->done_reply_at || job->first_run_at - job->accepted_at > 150))
        sim_report_violation (
            cluster, "liveness", "%s of %u tasks begins after %.0f s", job->id, job->tasks,
            (job->first_run_at ? job->first_run_at : cluster->now) - job->accepted_at);
    }
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* A gang that loses a task before its start is completed, not begun anew; that may come too
 * late where a machine must boot for it first. */
static void
days_of_lost_places (void **state G_GNUC_UNUSED)
{
  guint broken = 0, lost = 0, anew = 0;
  for (guint seed = 960; seed < 964; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->gang_image_gb = 8;
    faults_crash_gang_machines (cluster, 5, 250);
    users_gangs (cluster, 6, 5, 30);
    sim_cluster_run (cluster, 450);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      g_autofree char *again = g_strdup_printf ("%s/0/2", job->id);
      lost += job->lost_gang_machine;
      if (!job->done_reply_at)
        sim_report_violation (cluster, "liveness", "%s is not done", job->id);
      anew += g_hash_table_contains (cluster->assignment_recorders, again);
    }
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
  assert_true (lost >= 16);
  assert_true (anew * 2 < lost);
}

/* Machines go and owners change while copies of reports are still on their way. */
static void
days_with_copies_and_new_leaders (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 900; seed < 908; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->late_copy_share = 0.5;
    faults_change_leaders (cluster, 40, 320);
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* Small urgent gangs that alone would nearly fill the fleet must not keep a large job from
 * beginning, nor a large job them: each begins within four minutes. */
static void
days_of_a_stream (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 700; seed < 706; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->capacity = 10;
    users_gang_stream (cluster, seed % 2 ? HR_GANG : HR_BATCH, 5, 500);
    sim_cluster_run (cluster, 1100);
    for (guint i = 0; i < cluster->jobs->len; i++) {
      SimJob *job = cluster->jobs->pdata[i];
      if (!job->first_run_at || job->first_run_at - job->accepted_at > 240)
        sim_report_violation (cluster, "starved", "%s, %s of %u tasks, begins after %.0f s",
                              job->id, job->large ? "large" : "small", job->tasks,
                              (job->first_run_at ? job->first_run_at : cluster->now) -
                                  job->accepted_at);
    }
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* A gang that waits for machines that boot is no reason to rent more in every pass. */
static void
days_of_few_gangs (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
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
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Messages lost and carried out again, far more often than anywhere. */
static void
days_with_late_copies (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 500; seed < 512; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->duplicate_share = 0.15;
    cluster->loss_share = 0.06;
    cluster->late_copy_share = 0.5;
    broken += play_on (cluster, seed, 3, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* Direct orders that get no answer and are carried out half a minute or more later, for jobs
 * that are cancelled meanwhile: that their worker does not show a task proves nothing. */
static void
days_with_late_orders (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 970; seed < 982; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->late_order_share = 0.3;
    cluster->cancels_most_jobs = TRUE;
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* The leader lags so far behind that it has to read the state store anew, while direct orders of
 * its are still on their way: it forgets them, so its token must not stay what they carry. */
static void
days_with_changes_gone (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 1100; seed < 1108; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    cluster->late_order_share = 0.5;
    cluster->cancels_most_jobs = TRUE;
    faults_compact_changes (cluster, 20, 300);
    broken += play_on (cluster, seed, 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* Controllers stand still while their clocks run on: for a moment, for longer than their
 * leadership, than hold_s and than a lease; the leader, the others, or all; also repeated,
 * and beside other troubles. */
static void
days_with_frozen_controllers (void **state G_GNUC_UNUSED)
{
  static const double lengths[] = {2.5, 4.5, 9, 16, 25, 40};
  guint broken = 0;
  for (guint seed = 1000; seed < 1018; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 3 == 2 ? 5 : 3);
    double for_s = lengths[seed % G_N_ELEMENTS (lengths)];
    FreezeTarget who = seed / 6 % 3;
    faults_freeze (cluster, 60, who, for_s);
    faults_freeze (cluster, 60 + for_s + 0.6, who, for_s);
    faults_freeze (cluster, 190, FREEZE_LEADER, for_s);
    broken += play_on (cluster, seed, seed % 2 ? 3 : 0, 0, 0);
  }
  assert_int_equal (broken, 0);
}

/* The leader loses its way to the workers, which others still have. Their reports come spread
 * over a period: it must not delete the machines a few at a time as each falls silent. */
static void
days_of_unreached_leaders (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 1030; seed < 1036; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 5 : 3);
    faults_cut_leader_from_workers (cluster, 120, seed < 1033);
    broken += play_services (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Half of the fleet ends together with the leader. */
static void
days_of_half_fleets (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 1040; seed < 1046; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, seed % 2 ? 5 : 3);
    faults_crash_half_of_machines (cluster, 120);
    broken += play_services (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* A team that wants no more than it is guaranteed does not wait for another one's long work,
 * also where that has the earlier deadlines and fills the whole fleet. */
static void
days_of_a_guarantee (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
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
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Pages that cannot be read name no machine, but their tasks are on some: none is placed twice,
 * and all are done in the end. */
static void
days_of_unreadable_pages (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = 1060; seed < 1064; seed++) {
    SimCluster *cluster = sim_cluster_new (seed, 3);
    users_paged_array (cluster, 5);
    faults_unreadable_pages (cluster, 60);
    sim_cluster_run (cluster, 600);
    if (!((SimJob *)cluster->jobs->pdata[0])->done_reply_at)
      sim_report_violation (cluster, "liveness", "the job is not done");
    broken += verdict (cluster, seed);
  }
  assert_int_equal (broken, 0);
}

/* Hundreds of machines, long leases, and troubles that hit a good part of them at once. */
static void
play_large (guint32 seed, int nodes)
{
  SimCluster *cluster = sim_cluster_new (seed, nodes);
  guint most = 0;
  cluster->capacity = 1500;
  cluster->report_s = 5;
  cluster->lease_s = 26.5;
  cluster->cancel_s = 56.5;
  cluster->loss_share = 0.001;
  cluster->duplicate_share = 0.01; /* what was carried out comes again, up to a minute later */
  cluster->late_copy_share = 0.05;
  sim_cluster_restart_nodes (cluster);
  users_mixed_workload (cluster, 620, 250);
  users_probe (cluster);
  faults_mass_failure (cluster, 100);
  faults_init (cluster, 0, 0, 330);
  sim_cluster_run (cluster, 90);
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    most += machine->up && !machine->gone;
  }
  sim_cluster_run (cluster, 640);
  if (most < 1300)
    sim_report_violation (cluster, "small", "only %u machines are up", most);
  for (guint i = 0; i < cluster->jobs->len; i++) {
    SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted || (!job->cancel_requested &&
                           (job->shape == HR_SERVICE ? !job->started : !job->done_reply_at)))
      sim_report_violation (cluster, "liveness", "%s (%d, %u tasks) is not done", job->id,
                            job->shape, job->tasks);
  }
  assert_int_equal (verdict (cluster, seed), 0);
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

/* Production's processes come back new one after the other, amid troubles; then the limits of
 * the state service fall, now and then while the last one is still away. */
static guint
play_upgrade (guint32 seed, int nodes, guint faults, gboolean late)
{
  SimCluster *cluster = sim_cluster_new (seed, nodes);
  cluster->capacity = 101; /* so that the cloud lists them all at once */
  cluster->long_names = TRUE;
  upgrade_init (cluster);
  users_init (cluster, 15, 250);
  users_large_jobs (cluster, 10, 150);
  users_probe (cluster);
  double last = upgrade_roll (cluster, 75, seed % 2 ? 9 : 15, late ? 45 : 5);
  upgrade_lower_limits (cluster, last + (late ? 3 : 5) + sim_rand_range (cluster, 0.2, 3));
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
  guint broken = 0;
  for (guint seed = 1100; seed < 1106; seed++)
    broken += play_upgrade (seed, seed % 4 == 3 ? 5 : 3, seed < 1102 ? 0 : 6, seed % 3 == 2);
  assert_int_equal (broken, 0);
}

int
main (int argc, char **argv)
{
  /* A sweep by hand: test_sim FROM TO FAULTS LIMIT */
  if (argc == 5) {
    guint broken = 0;
    sim_log_init ();
    for (int incarnation = atoi (argv[1]); incarnation < atoi (argv[2]); incarnation++)
      broken += play (incarnation, atoi (argv[3]), atof (argv[4]), incarnation % 5 == 0 ? 4 : 0);
    return broken != 0;
  }
  sim_log_init ();
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (quiet_days),
      cmocka_unit_test (days_with_one_trouble),
      cmocka_unit_test (days_with_many_troubles),
      cmocka_unit_test (days_with_a_team_limit),
      cmocka_unit_test (days_with_several_parts),
      cmocka_unit_test (days_with_late_copies),
      cmocka_unit_test (days_with_one_or_five_controllers),
      cmocka_unit_test (days_of_a_stream),
      cmocka_unit_test (days_with_inbound_loss),
      cmocka_unit_test (days_with_copies_and_new_leaders),
      cmocka_unit_test (days_with_a_held_cut),
      cmocka_unit_test (days_of_few_gangs),
      cmocka_unit_test (days_of_members_word),
      cmocka_unit_test (days_of_lost_places),
      cmocka_unit_test (days_with_late_orders),
      cmocka_unit_test (days_of_an_oversized_gang),
      cmocka_unit_test (days_of_long_fetches),
      cmocka_unit_test (days_with_frozen_controllers),
      cmocka_unit_test (days_of_unreached_leaders),
      cmocka_unit_test (days_of_half_fleets),
      cmocka_unit_test (a_large_day_of_three),
      cmocka_unit_test (a_large_day_of_five),
      cmocka_unit_test (days_of_unreadable_pages),
      cmocka_unit_test (days_of_a_guarantee),
      cmocka_unit_test (days_of_two_leaders),
      cmocka_unit_test (days_with_changes_gone),
      cmocka_unit_test (days_of_cancellation_gaps),
      cmocka_unit_test (days_of_an_upgrade),
  };
  if (argc == 2) { /* one part */
    static const char *const parts[] = {
        "quiet",       "one",          "many",        "limit",     "parts",      "copies",
        "nodes",       "stream",       "deaf",        "owners",    "cut",        "gangs",
        "attestation", "places",       "late_orders", "oversized", "fetch",      "freeze",
        "unreached",   "half",         "large3",      "large5",    "unreadable", "guarantee",
        "two",         "changes_gone", "gap",         "upgrade"};
    for (guint i = 0; i < G_N_ELEMENTS (parts); i++)
      if (g_str_equal (parts[i], argv[1])) {
        const struct CMUnitTest part[] = {tests[i]};
        return cmocka_run_group_tests_name (argv[1], part, NULL, NULL);
      }
    fprintf (stderr, "no part %s\n", argv[1]);
    return 2;
  }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
