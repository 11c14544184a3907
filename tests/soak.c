/* hoprock-soak: real controllers under faults drawn from a seed (docs/search.md). Usage:
 * hoprock-soak --daemon target/hoprockd --policy deploy/policy.hop
 * [--seed N] [--runs N] [--seconds S] [--controllers N] [--old-daemon FILE [--old-format N]]
 * [--unknown-members].
 * With --old-daemon all controllers start with that program and are replaced in turn while users
 * submit pipelines and faults continue; then the limits of the state store are lowered.
 * --old-format 0 means that the old program supports neither record formats nor pipelines.
 *
 * Exit status 0: no rule was broken, and every seed was played to the end. */
#include "coordination/core.h"
#include "emulator/emulator.h"
#include "protocol/random_range.h"
#include "sim/log.h"
#include "sim/pipeline.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/user.h"
#include <stdio.h>
#include <glib/gstdio.h>

/* Short leases, so that many leases expire in a short run. */
#define REPORT_S 1.0
#define LEASE_S 8.0
#define CANCEL_S 18.0
#define CAPACITY 14
#define FAULTS_FROM_S 6.0
#define FAULT_EVERY_S 2.2
/* The simulated leases and the clock of the checks depend on this program's steps. A run in which
 * it paused for longer than this is void whatever its result: it is printed and repeated, up to
 * MAX_TRIES times in all. */
#define MAX_PAUSE_S 1.5
#define MAX_TRIES 3
/* Time without faults at the end: cancel_s, and some seconds for all processes to reconnect. */
#define RECOVERY_S (CANCEL_S + 8)
/* The share of draw_cancels_across_terms() among the faults. */
#define ACROSS_TERMS_SHARE 0.2
#define ANSWERED_WITHIN_S 20.0
#define LAST_LINES 25
#define MAX_FAULTS 400
/* In an upgrade the first and the last controller are replaced at these shares of the time before
 * recovery; each is down for REPLACEMENT_DOWN_S. The limits of the state store are lowered at most
 * LOWER_LIMITS_WITHIN_S after the last one is back. */
#define FIRST_REPLACEMENT_SHARE 0.2
#define LAST_REPLACEMENT_SHARE 0.8
#define REPLACEMENT_DOWN_S 2.0
#define LOWER_LIMITS_WITHIN_S 5.0
/* Share of the runs in which all controllers crash at once between two replacements. */
#define CRASH_ALL_SHARE 0.3
#define CRASH_ALL_DOWN_S 1.0
#define PIPELINE_EVERY_S 2.0
#define PIPELINES_CANCELLED 0.4

/* ---- faults ---- */

typedef struct {
  HrFaultKind kind;
  guint weight;
} WeightedKind;

static const WeightedKind kinds[] = {
    {FAULT_NODE_CRASH, 8},           {FAULT_NODE_FREEZE, 4},       {FAULT_NODE_CUT, 6},
    {FAULT_STATE_REFUSES, 3},        {FAULT_STATE_OUTAGE, 2},      {FAULT_STATE_SLOW, 2},
    {FAULT_MACHINE_CUT, 6},          {FAULT_MACHINE_HANG, 4},      {FAULT_MACHINE_INBOUND_CUT, 3},
    {FAULT_MACHINE_OUTBOUND_CUT, 3}, {FAULT_MACHINE_CRASH, 2},     {FAULT_CANCEL_NOW, 10},
    {FAULT_LATE_WRITES, 3},          {FAULT_LATE_REPORTS, 4},      {FAULT_LATE_COMMANDS, 4},
    {FAULT_CANCEL_AT_END, 2},        {FAULT_CLOSE_POLLS, 2},       {FAULT_SLOW_LINKS, 1},
    {FAULT_CLOUD_OUTAGE, 2},         {FAULT_MALFORMED_REQUESTS, 1}};

static HrFaultKind
draw_kind (GRand *rand)
{
  guint all = 0, at;
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    all += kinds[i].weight;
  at = g_rand_int_range (rand, 0, all);
  for (guint i = 0;; i++) {
    if (at < kinds[i].weight)
      return kinds[i].kind;
    at -= kinds[i].weight;
  }
}

/* Users cancel jobs while many machines are cut off and leaders crash one after the other, so that
 * leaders renew leases of earlier terms right after their election. Returns the number of faults
 * added. */
static guint
draw_cancels_across_terms (GRand *rand, double at, HrFault *day)
{
  day[0] = (HrFault){.at_s = at,
                     .kind = FAULT_MACHINE_CUT,
                     .share = hr_random_range (rand, 0.3, 1),
                     .for_s = hr_random_range (rand, 1, LEASE_S),
                     .hold = g_rand_boolean (rand)};
  day[1] = (HrFault){
      .at_s = at + 0.2, .kind = FAULT_CANCEL_NOW, .count = g_rand_int_range (rand, 3, 12)};
  day[2] = (HrFault){.at_s = at + hr_random_range (rand, 0.5, 3),
                     .kind = FAULT_NODE_CRASH,
                     .who = WHO_LEADER,
                     .back_s = hr_random_range (rand, 0.1, 1),
                     .times = g_rand_int_range (rand, 2, 7),
                     .every_s = hr_random_range (rand, 1.2, 4)};
  return 3;
}

static void
print_fault (const HrFault *fault)
{
  g_autofree char *text = fault_to_text (fault);
  fprintf (stderr, "  %s\n", text);
}

/* ---- one run ---- */

static void
check_end (SimCluster *cluster)
{
  if (!cluster->task_starts)
    sim_report_violation (cluster, "nothing_ran", "no task was started");
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    if (job->accepted &&
        cluster->now - MAX (job->answered_at, cluster->faults_ended_at) > ANSWERED_WITHIN_S)
      sim_report_violation (cluster, "forgotten", "polls of %s are not answered", job->id);
    if (job->cancel_requested && job->accepted && !job->cancelled_reply_at && !job->done_reply_at &&
        cluster->now - MAX (job->cancel_requested_at, cluster->faults_ended_at) > ANSWERED_WITHIN_S)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
  }
}

static void
print_log_tail (const EmulatorNode *n, int node)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents (n->log, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  guint all = g_strv_length (lines);
  fprintf (stderr, "  last lines of c%d (%s):\n", node, n->log);
  for (guint i = all > LAST_LINES ? all - LAST_LINES : 0; i < all; i++)
    if (*lines[i])
      fprintf (stderr, "    %s\n", lines[i]);
}

static gboolean
is_void (const Emulator *emulator)
{
  return emulator->longest_gap > MAX_PAUSE_S;
}

static void
print_result (Emulator *emulator, guint32 seed, const HrFault *day, guint n)
{
  SimCluster *cluster = emulator->cluster;
  guint cancelled = 0;
  for (guint i = 0; i < cluster->jobs->len; i++)
    cancelled += ((SimJob *)cluster->jobs->pdata[i])->cancelled_reply_at > 0;
  printf ("seed %u: %d controllers, %.0f s, %u jobs, %u withdrawn, %u starts, %u after a "
          "confirmed cancellation, %u terms, %u kills, %u pauses, %u requests: %s\n",
          seed, cluster->n, cluster->now, cluster->jobs->len, cancelled, cluster->task_starts,
          cluster->started_cancelled, cluster->faults.leaders, emulator->kills, emulator->freezes,
          emulator->requests,
          is_void (emulator)         ? "VOID"
          : cluster->violations->len ? "BROKEN"
                                     : "ok");
  if (is_void (emulator))
    printf ("seed %u: no verdict, since this program paused for %.1f s\n", seed,
            emulator->longest_gap);
  fflush (stdout);
  if (!cluster->violations->len)
    return;
  for (guint i = 0; i < MIN (cluster->violations->len, 12); i++)
    fprintf (stderr, "  broken: %s\n", (char *)cluster->violations->pdata[i]);
  fprintf (stderr, "  faults of seed %u:\n", seed);
  for (guint i = 0; i < n; i++)
    print_fault (&day[i]);
  for (int i = 0; i < cluster->n; i++)
    print_log_tail (&emulator->nodes[i], i);
}

typedef struct {
  char *daemon, *policy, *old_daemon;
  gboolean unknown_members;
  int seed, runs, seconds, controllers, old_format;
} Options;

/* Runs the pending callbacks of requests that were cancelled at the end of a run. In the next run
 * they would complete other requests, which have the same numbers. */
static void
run_pending_callbacks (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* ---- an upgrade ---- */

/* Crashes all controllers. Each restarts in the version that it is due to run by then. */
static void
crash_all (SimCluster *cluster, gpointer unused G_GNUC_UNUSED)
{
  for (int i = 0; i < cluster->n; i++) {
    node_kill (cluster, i);
    node_start_at (cluster, i, cluster->now + CRASH_ALL_DOWN_S);
  }
}

/* Schedules the replacement of the controllers, and adds users of pipelines until `end`. */
static void
plan_upgrade (SimCluster *cluster, GRand *rand, double end)
{
  double first = FIRST_REPLACEMENT_SHARE * end, last = LAST_REPLACEMENT_SHARE * end;
  double gap = cluster->n > 1 ? (last - first) / (cluster->n - 1) : 0;
  upgrade_roll (cluster, first, gap, REPLACEMENT_DOWN_S);
  upgrade_lower_limits (cluster, last + REPLACEMENT_DOWN_S +
                                     hr_random_range (rand, 0, LOWER_LIMITS_WITHIN_S));
  if (g_rand_double (rand) < CRASH_ALL_SHARE)
    sim_schedule (cluster, first + (g_rand_int_range (rand, 0, cluster->n) + 0.5) * gap, crash_all,
                  NULL);
  /* Features of the new version may not be used before all controllers run it. For a version that
   * supports no record format, pipelines are such a feature. */
  double from = cluster->production ? last + REPLACEMENT_DOWN_S + 1 : 1;
  const PipelineDay day = {(end - from) / PIPELINE_EVERY_S, from, end, PIPELINES_CANCELLED, FALSE};
  users_add_pipelines (cluster, &day);
}

/* Makes all controllers start with the old program. */
static void
start_with_old_version (SimCluster *cluster, guint format)
{
  for (int i = 0; i < cluster->n; i++) {
    cluster->nodes[i].upgraded = FALSE;
    cluster->nodes[i].record_format = format;
  }
  if (format)
    return;
  cluster->production = TRUE;
  store_set_format (cluster, FALSE);
}

/* Checks that every controller was upgraded to the new version. */
static void
check_upgrade (SimCluster *cluster)
{
  for (int i = 0; i < cluster->n; i++)
    if (!cluster->nodes[i].upgraded)
      sim_report_violation (cluster, "upgrade", "c%d was not upgraded", i);
}

typedef enum { RUN_OK, RUN_BROKEN, RUN_VOID } Verdict;

static Verdict
run (const Options *options, guint32 seed)
{
  Emulator storage = {0}, *emulator = &storage;
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  int nodes = options->controllers ? options->controllers : seed % 2 ? 3 : 5;
  emulator->daemon = options->daemon;
  emulator->policy = options->policy;
  emulator->old_daemon = options->old_daemon;
  emulator_prepare (emulator, seed, nodes);
  g_autoptr (GRand) unknown_members = options->unknown_members ? g_rand_new_with_seed (seed) : NULL;
  emulator->unknown_members = unknown_members;
  SimCluster *cluster = emulator->cluster;
  cluster->report_s = REPORT_S;
  cluster->lease_s = LEASE_S;
  cluster->cancel_s = CANCEL_S;
  cluster->capacity = CAPACITY;
  cluster->cancels_most_jobs = g_rand_boolean (rand);
  if (options->old_daemon)
    start_with_old_version (cluster, options->old_format);
  emulator_begin (emulator);
  users_init (cluster, options->seconds * 3 / 4, options->seconds - RECOVERY_S);
  users_probe (cluster);
  if (options->old_daemon)
    plan_upgrade (cluster, rand, options->seconds - RECOVERY_S);
  HrFault day[MAX_FAULTS] = {{.kind = FAULT_FAST_BOOT, .for_s = options->seconds}};
  guint n = 1;
  double last = options->seconds - RECOVERY_S - 1.3 * LEASE_S;
  for (double at = FAULTS_FROM_S; at < last && n + 3 < MAX_FAULTS;
       at += hr_random_range (rand, 0, 2 * FAULT_EVERY_S))
    if (g_rand_double (rand) < ACROSS_TERMS_SHARE)
      n += draw_cancels_across_terms (rand, at, day + n);
    else
      day[n++] = fault_draw (rand, draw_kind (rand), at, LEASE_S);
  faults_plan (cluster, day, n);
  emulator_run (emulator, options->seconds);
  check_end (cluster);
  if (options->old_daemon)
    check_upgrade (cluster);
  print_result (emulator, seed, day, n);
  Verdict verdict = is_void (emulator) ? RUN_VOID : cluster->violations->len ? RUN_BROKEN : RUN_OK;
  emulator->remove_files = verdict != RUN_BROKEN;
  emulator_end (emulator);
  run_pending_callbacks ();
  return verdict;
}

int
main (int argc, char **argv)
{
  Options options = {.seed = 1, .runs = 1, .seconds = 60, .old_format = HR_NEWEST_RECORD_FORMAT};
  const GOptionEntry entries[] = {
      {"daemon", 0, 0, G_OPTION_ARG_FILENAME, &options.daemon, "the program of the controllers",
       "FILE"},
      {"old-daemon", 0, 0, G_OPTION_ARG_FILENAME, &options.old_daemon,
       "the program that all controllers start with; they are upgraded in turn", "FILE"},
      {"old-format", 0, 0, G_OPTION_ARG_INT, &options.old_format,
       "the record format that the old program supports (docs/upgrades.md); 0: none", "N"},
      {"policy", 0, 0, G_OPTION_ARG_FILENAME, &options.policy, "the policy of the controllers",
       "FILE"},
      {"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "the seed of the first run", "N"},
      {"runs", 0, 0, G_OPTION_ARG_INT, &options.runs, "the number of runs, with increasing seeds",
       "N"},
      {"seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "the duration of each run (45 to 3600)",
       "S"},
      {"unknown-members", 0, 0, G_OPTION_ARG_NONE, &options.unknown_members,
       "add members that no controller knows to every message to a controller", NULL},
      {"controllers", 0, 0, G_OPTION_ARG_INT, &options.controllers,
       "the number of controllers, 1 to 5; default: 3 or 5 by seed", "N"},
      {NULL}};
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context =
      g_option_context_new ("- real controllers under random faults");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !options.daemon ||
      !options.policy || options.seconds < 45 || options.seconds > 3600 ||
      options.controllers < 0 || options.old_format < 0 || options.controllers > MAX_NODES) {
    fprintf (stderr, "hoprock-soak: %s\n",
             error ? error->message : "--daemon and --policy are needed; see --help");
    return 2;
  }
  sim_log_init ();
  guint broken = 0, voids = 0;
  for (int i = 0; i < options.runs; i++) {
    Verdict verdict = RUN_VOID;
    for (int k = 0; k < MAX_TRIES && verdict == RUN_VOID; k++)
      verdict = run (&options, options.seed + i);
    broken += verdict == RUN_BROKEN;
    voids += verdict == RUN_VOID;
  }
  printf ("%d runs, %u with a broken rule, %u not played to the end\n", options.runs, broken,
          voids);
  return broken || voids;
}
