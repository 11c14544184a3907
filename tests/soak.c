/* hoprock-soak: real controllers under faults drawn from a seed (docs/search.md). Usage:
 * hoprock-soak --daemon target/hoprockd --policy deploy/policy.hop
 * [--seed N] [--runs N] [--seconds S] [--controllers N] [--old-daemon FILE [--old-format N]].
 * With --old-daemon all controllers start with that program and are replaced in turn while users
 * submit pipelines and faults continue; then the state service's limits are lowered. --old-format 0
 * means that the old program supports neither record formats nor pipelines.
 * Exit status 0: no rule was broken, and every seed was played to the end. */
#include "coordination/core.h"
#include "emulator/live.h"
#include "sim/log.h"
#include "sim/pipeline.h"
#include "sim/store.h"
#include "sim/upgrade.h"
#include "sim/user.h"
#include <stdio.h>
#include <glib/gstdio.h>

/* Short leases, so that many of them expire in a short run. */
#define REPORT_S 1.0
#define LEASE_S 8.0
#define CANCEL_S 18.0
#define CAPACITY 14
#define FAULTS_FROM_S 6.0
#define FAULT_EVERY_S 2.2
/* The simulated leases and the clock of the checks depend on this program's steps. A run in which
 * it paused for longer than this is void whatever its result: it is reported and repeated. */
#define MAX_PAUSE_S 1.5
#define TRIES 3
/* Time after the last fault: that of a cancellation, and some seconds for all to reconnect. */
#define RECOVERY_S (CANCEL_S + 8)
/* The share of draw_cancels_across_terms() among the faults. */
#define ACROSS_TERMS_SHARE 0.2
#define ANSWERED_WITHIN_S 20.0
#define LAST_LINES 25
#define MAX_FAULTS 400
/* An upgrade: the first and the last controller are replaced at these shares of the time before
 * recovery; each is down for REPLACEMENT_DOWN_S. Then the limits are lowered soon. */
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
  HrTroubleKind kind;
  guint weight;
} WeightedKind;

static const WeightedKind kinds[] = {
    {TROUBLE_NODE_CRASH, 8},    {TROUBLE_NODE_FREEZE, 4},   {TROUBLE_NODE_CUT, 6},
    {TROUBLE_STATE_REFUSES, 3}, {TROUBLE_STATE_OUTAGE, 2},  {TROUBLE_STATE_SLOW, 2},
    {TROUBLE_MACHINE_CUT, 6},   {TROUBLE_MACHINE_HANG, 4},  {TROUBLE_MACHINE_DEAF, 3},
    {TROUBLE_MACHINE_MUTE, 3},  {TROUBLE_MACHINE_CRASH, 2}, {TROUBLE_CANCEL_NOW, 10},
    {TROUBLE_LATE_WRITES, 3},   {TROUBLE_LATE_REPORTS, 4},  {TROUBLE_LATE_COMMANDS, 4},
    {TROUBLE_CANCEL_AT_END, 2}, {TROUBLE_CLOSE_LOOKS, 2},   {TROUBLE_SLOW_LINKS, 1},
    {TROUBLE_CLOUD_OUTAGE, 2},  {TROUBLE_ODD_REQUESTS, 1}};

static HrTroubleKind
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

/* Users cancel while many machines are cut off and leaders crash one after the other, so that
 * leaders renew leases of earlier terms right after their election. Returns the number of faults
 * added. */
static guint
draw_cancels_across_terms (GRand *rand, double at, HrTrouble *day)
{
  day[0] = (HrTrouble){.at_s = at,
                       .kind = TROUBLE_MACHINE_CUT,
                       .share = g_rand_double_range (rand, 0.3, 1),
                       .for_s = g_rand_double_range (rand, 1, LEASE_S),
                       .hold = g_rand_boolean (rand)};
  day[1] = (HrTrouble){
      .at_s = at + 0.2, .kind = TROUBLE_CANCEL_NOW, .count = g_rand_int_range (rand, 3, 12)};
  day[2] = (HrTrouble){.at_s = at + g_rand_double_range (rand, 0.5, 3),
                       .kind = TROUBLE_NODE_CRASH,
                       .who = WHO_LEADER,
                       .back_s = g_rand_double_range (rand, 0.1, 1),
                       .times = g_rand_int_range (rand, 2, 7),
                       .every_s = g_rand_double_range (rand, 1.2, 4)};
  return 3;
}

static void
print_fault (const HrTrouble *fault)
{
  g_autofree char *text = trouble_text (fault);
  fprintf (stderr, "  %s\n", text);
}

/* ---- one run ---- */

static void
check_end (World *world)
{
  if (!world->starts)
    w_broken (world, "nothing_ran", "no task was started");
  for (guint i = 0; i < world->jobs->len; i++) {
    const SimJob *job = world->jobs->pdata[i];
    if (job->accepted && world->now - MAX (job->ok_at, world->calm_at) > ANSWERED_WITHIN_S)
      w_broken (world, "forgotten", "polls of %s are not answered", job->id);
    if (job->asked_cancel && job->accepted && !job->told_cancelled && !job->told_done &&
        world->now - MAX (job->asked_cancel_at, world->calm_at) > ANSWERED_WITHIN_S)
      w_broken (world, "liveness", "%s was not withdrawn", job->id);
  }
}

static void
print_log_tail (const LiveNode *n, int node)
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
is_void (const Live *emulator)
{
  return emulator->longest_gap > MAX_PAUSE_S;
}

static void
report (Live *emulator, guint32 seed, const HrTrouble *day, guint n)
{
  World *world = emulator->world;
  guint cancelled = 0;
  for (guint i = 0; i < world->jobs->len; i++)
    cancelled += ((SimJob *)world->jobs->pdata[i])->told_cancelled > 0;
  printf ("seed %u: %d controllers, %.0f s, %u jobs, %u withdrawn, %u starts, %u after a "
          "confirmed cancellation, %u terms, %u kills, %u pauses, %u requests: %s\n",
          seed, world->n, world->now, world->jobs->len, cancelled, world->starts,
          world->started_cancelled, world->troubles.leaders, emulator->kills, emulator->freezes,
          emulator->requests,
          is_void (emulator)   ? "VOID"
          : world->broken->len ? "BROKEN"
                               : "ok");
  if (is_void (emulator))
    printf ("seed %u: no verdict, since this program paused for %.1f s\n", seed,
            emulator->longest_gap);
  fflush (stdout);
  if (!world->broken->len)
    return;
  for (guint i = 0; i < MIN (world->broken->len, 12); i++)
    fprintf (stderr, "  broken: %s\n", (char *)world->broken->pdata[i]);
  fprintf (stderr, "  faults of seed %u:\n", seed);
  for (guint i = 0; i < n; i++)
    print_fault (&day[i]);
  for (int i = 0; i < world->n; i++)
    print_log_tail (&emulator->nodes[i], i);
}

typedef struct {
  char *daemon, *policy, *old_daemon;
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
crash_all (World *world, gpointer unused G_GNUC_UNUSED)
{
  for (int i = 0; i < world->n; i++) {
    node_kill (world, i);
    node_start_at (world, i, world->now + CRASH_ALL_DOWN_S);
  }
}

/* Schedules the replacement of the controllers, and adds users of pipelines until `end`. */
static void
plan_upgrade (World *world, GRand *rand, double end)
{
  double first = FIRST_REPLACEMENT_SHARE * end, last = LAST_REPLACEMENT_SHARE * end;
  double gap = world->n > 1 ? (last - first) / (world->n - 1) : 0;
  upgrade_roll (world, first, gap, REPLACEMENT_DOWN_S);
  upgrade_limits_fall (world, last + REPLACEMENT_DOWN_S +
                                  g_rand_double_range (rand, 0, LOWER_LIMITS_WITHIN_S));
  if (g_rand_double (rand) < CRASH_ALL_SHARE)
    w_at (world, first + (g_rand_int_range (rand, 0, world->n) + 0.5) * gap, crash_all, NULL);
  /* Features of the new version may not be used before all controllers run it. For a version that
   * supports no record format, pipelines are such a feature. */
  double from = world->production ? last + REPLACEMENT_DOWN_S + 1 : 1;
  const PipelineDay day = {(end - from) / PIPELINE_EVERY_S, from, end, PIPELINES_CANCELLED, FALSE};
  users_pipelines_beside (world, &day);
}

/* Makes all controllers start with the old program. */
static void
start_with_old_version (World *world, guint format)
{
  for (int i = 0; i < world->n; i++) {
    world->nodes[i].upgraded = FALSE;
    world->nodes[i].speaks = format;
  }
  if (format)
    return;
  world->production = TRUE;
  store_format (world, FALSE);
}

/* Checks that every controller was upgraded to the new version. */
static void
check_upgrade (World *world)
{
  for (int i = 0; i < world->n; i++)
    if (!world->nodes[i].upgraded)
      w_broken (world, "upgrade", "c%d was not upgraded", i);
}

typedef enum { RUN_OK, RUN_BROKEN, RUN_VOID } Verdict;

static Verdict
run (const Options *options, guint32 seed)
{
  Live storage = {0}, *emulator = &storage;
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  int nodes = options->controllers ? options->controllers : seed % 2 ? 3 : 5;
  emulator->daemon = options->daemon;
  emulator->policy = options->policy;
  emulator->old_daemon = options->old_daemon;
  live_prepare (emulator, seed, nodes);
  World *world = emulator->world;
  world->report_s = REPORT_S;
  world->lease_s = LEASE_S;
  world->cancel_s = CANCEL_S;
  world->capacity = CAPACITY;
  world->fickle = g_rand_boolean (rand);
  if (options->old_daemon)
    start_with_old_version (world, options->old_format);
  live_begin (emulator);
  users_init (world, options->seconds * 3 / 4, options->seconds - RECOVERY_S);
  users_probe (world);
  if (options->old_daemon)
    plan_upgrade (world, rand, options->seconds - RECOVERY_S);
  HrTrouble day[MAX_FAULTS] = {{.kind = TROUBLE_FAST_BOOT, .for_s = options->seconds}};
  guint n = 1;
  double last = options->seconds - RECOVERY_S - 1.3 * LEASE_S;
  for (double at = FAULTS_FROM_S; at < last && n + 3 < MAX_FAULTS;
       at += g_rand_double_range (rand, 0, 2 * FAULT_EVERY_S))
    if (g_rand_double (rand) < ACROSS_TERMS_SHARE)
      n += draw_cancels_across_terms (rand, at, day + n);
    else
      day[n++] = trouble_draw (rand, draw_kind (rand), at, LEASE_S);
  troubles_plan (world, day, n);
  live_run (emulator, options->seconds);
  check_end (world);
  if (options->old_daemon)
    check_upgrade (world);
  report (emulator, seed, day, n);
  Verdict verdict = is_void (emulator) ? RUN_VOID : world->broken->len ? RUN_BROKEN : RUN_OK;
  emulator->remove_files = verdict != RUN_BROKEN;
  live_end (emulator);
  run_pending_callbacks ();
  return verdict;
}

int
main (int argc, char **argv)
{
  Options options = {.seed = 1, .runs = 1, .seconds = 60, .old_format = HR_FORMAT};
  const GOptionEntry entries[] = {
      {"daemon", 0, 0, G_OPTION_ARG_FILENAME, &options.daemon, "the program of the controllers",
       "FILE"},
      {"old-daemon", 0, 0, G_OPTION_ARG_FILENAME, &options.old_daemon,
       "the program that all controllers start with; they are upgraded in turn", "FILE"},
      {"old-format", 0, 0, G_OPTION_ARG_INT, &options.old_format,
       "the record format that it supports (docs/upgrades.md); 0: none", "N"},
      {"policy", 0, 0, G_OPTION_ARG_FILENAME, &options.policy, "the policy of the controllers",
       "FILE"},
      {"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "the seed of the first run", "N"},
      {"runs", 0, 0, G_OPTION_ARG_INT, &options.runs, "the number of runs, with increasing seeds",
       "N"},
      {"seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "the duration of each run (45 to 3600)",
       "S"},
      {"controllers", 0, 0, G_OPTION_ARG_INT, &options.controllers,
       "their number, 1 to 5; default: 3 or 5 by seed", "N"},
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
    for (int k = 0; k < TRIES && verdict == RUN_VOID; k++)
      verdict = run (&options, options.seed + i);
    broken += verdict == RUN_BROKEN;
    voids += verdict == RUN_VOID;
  }
  printf ("%d runs, %u with a broken rule, %u not played to the end\n", options.runs, broken,
          voids);
  return broken || voids;
}
