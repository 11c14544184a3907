/* hoprock-soak: real controllers under troubles drawn from a seed (docs/search.md). Usage:
 * hoprock-soak --daemon target/hoprockd --policy deploy/policy.hop
 * [--seed N] [--runs N] [--seconds S] [--controllers N] [--old-daemon FILE [--old-format N]].
 * With --old-daemon all controllers begin with that program, and are ended and replaced in turn
 * while users submit pipelines and the troubles go on; then the state service's limits fall.
 * --old-format 0 says that this program knows neither formats of records nor pipelines.
 * Exit 0: no rule was broken, and each seed was played. */
#include "emulator/live.h"
#include "sim/pipeline.h"
#include <stdio.h>
#include <glib/gstdio.h>

/* Short leases, so that a short run sees many of them end. */
#define REPORT_S 1.0
#define LEASE_S 8.0
#define CANCEL_S 18.0
#define CAPACITY 14
#define TROUBLES_FROM_S 6.0
#define TROUBLE_EVERY_S 2.2
/* The stand-ins' leases and the judge's clock go by this program's steps. Where it stood still for
 * longer than this the run is void, whatever it shows: it is said so, and played again. */
#define MOST_GAP_S 1.5
#define TRIES 3
/* After the last trouble: a cancellation's time, and some seconds for all to find one another. */
#define CALM_S (CANCEL_S + 8)
/* Of the troubles, those that are three at once: see draw_cancels_across_terms. */
#define ACROSS_TERMS_SHARE 0.2
#define ANSWERED_WITHIN_S 20.0
#define LAST_LINES 25
#define MOST_TROUBLES 400
/* An upgrade: the first turn comes when this share of the time before the calm is over, the last
 * one by that share; a controller is away for so long; then the limits fall within some seconds. */
#define FIRST_TURN_SHARE 0.2
#define LAST_TURN_SHARE 0.8
#define TURN_DOWN_S 2.0
#define LIMITS_FALL_S 5.0
/* All controllers end at once between two turns, on so many of the days. */
#define END_ALL_SHARE 0.3
#define END_ALL_BACK_S 1.0
#define PIPELINE_EVERY_S 2.0
#define PIPELINES_CANCELLED 0.4

/* ---- troubles ---- */

typedef struct {
  HrTroubleKind kind;
  guint weight;
} Weighted;

static const Weighted kinds[] = {
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

/* Users cancel while many machines are out of reach, and one leader after the other ends: leases
 * are renewed across terms, by leaders that have just begun. Returns how many troubles it added. */
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
print_trouble (const HrTrouble *t)
{
  g_autofree char *text = trouble_text (t);
  fprintf (stderr, "  %s\n", text);
}

/* ---- one run ---- */

static void
check_end (World *w)
{
  if (!w->starts)
    w_broken (w, "nothing_ran", "no task was started");
  for (guint i = 0; i < w->jobs->len; i++) {
    const SJob *j = w->jobs->pdata[i];
    if (j->accepted && w->now - MAX (j->ok_at, w->calm_at) > ANSWERED_WITHIN_S)
      w_broken (w, "forgotten", "no question about %s is answered", j->id);
    if (j->asked_cancel && j->accepted && !j->told_withdrawn && !j->told_done &&
        w->now - MAX (j->asked_cancel_at, w->calm_at) > ANSWERED_WITHIN_S)
      w_broken (w, "liveness", "%s was not withdrawn", j->id);
  }
}

static void
print_tail (const LiveNode *n, int node)
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
is_void (const Live *s)
{
  return s->longest_gap > MOST_GAP_S;
}

static void
report (Live *s, guint32 seed, const HrTrouble *day, guint n)
{
  World *w = s->w;
  guint cancelled = 0;
  for (guint i = 0; i < w->jobs->len; i++)
    cancelled += ((SJob *)w->jobs->pdata[i])->told_withdrawn > 0;
  printf ("seed %u: %d controllers, %.0f s, %u jobs, %u withdrawn, %u starts, %u after a "
          "confirmed cancellation, %u terms, %u kills, %u pauses, %u requests: %s\n",
          seed, w->n, w->now, w->jobs->len, cancelled, w->starts, w->started_withdrawn,
          w->troubles.leaders, s->kills, s->freezes, s->requests,
          is_void (s)      ? "VOID"
          : w->broken->len ? "BROKEN"
                           : "ok");
  if (is_void (s))
    printf ("seed %u: no verdict, since this program stood still for %.1f s\n", seed,
            s->longest_gap);
  fflush (stdout);
  if (!w->broken->len)
    return;
  for (guint i = 0; i < MIN (w->broken->len, 12); i++)
    fprintf (stderr, "  broken: %s\n", (char *)w->broken->pdata[i]);
  fprintf (stderr, "  troubles of seed %u:\n", seed);
  for (guint i = 0; i < n; i++)
    print_trouble (&day[i]);
  for (int i = 0; i < w->n; i++)
    print_tail (&s->nodes[i], i);
}

typedef struct {
  char *daemon, *policy, *old_daemon;
  int seed, runs, seconds, controllers, old_format;
} Options;

/* Requests that the end of a run gave up are told so by the main loop. Left there, they would be
 * told in the next run, where other requests have their numbers. */
static void
end_callbacks (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

/* ---- an upgrade ---- */

/* Each one comes back in the version that it has by then. */
static void
end_all (World *w, gpointer unused)
{
  for (int i = 0; i < w->n; i++) {
    node_kill (w, i);
    node_start_at (w, i, w->now + END_ALL_BACK_S);
  }
}

/* The controllers' turns, and users of pipelines beside the usual ones, until `end`. */
static void
plan_upgrade (World *w, GRand *rand, double end)
{
  double first = FIRST_TURN_SHARE * end, last = LAST_TURN_SHARE * end;
  double gap = w->n > 1 ? (last - first) / (w->n - 1) : 0;
  upgrade_roll (w, first, gap, TURN_DOWN_S);
  upgrade_limits_fall (w, last + TURN_DOWN_S + g_rand_double_range (rand, 0, LIMITS_FALL_S));
  if (g_rand_double (rand) < END_ALL_SHARE)
    w_at (w, first + (g_rand_int_range (rand, 0, w->n) + 0.5) * gap, end_all, NULL);
  /* Nothing new is asked for before all have the new version; pipelines are new to those that know
   * no format of records. */
  double from = w->production ? last + TURN_DOWN_S + 1 : 1;
  const PipelineDay day = {(end - from) / PIPELINE_EVERY_S, from, end, PIPELINES_CANCELLED, FALSE};
  users_pipelines_beside (w, &day);
}

/* All controllers begin old. */
static void
begin_old (World *w, guint format)
{
  for (int i = 0; i < w->n; i++) {
    w->nodes[i].upgraded = FALSE;
    w->nodes[i].speaks = format;
  }
  if (format)
    return;
  w->production = TRUE;
  store_format (w, FALSE);
}

/* Did every controller come to run the new version? */
static void
check_upgrade (World *w)
{
  for (int i = 0; i < w->n; i++)
    if (!w->nodes[i].upgraded)
      w_broken (w, "upgrade", "c%d was not upgraded", i);
}

typedef enum { RUN_OK, RUN_BROKEN, RUN_VOID } Verdict;

static Verdict
run (const Options *o, guint32 seed)
{
  Live live = {0}, *s = &live;
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  int nodes = o->controllers ? o->controllers : seed % 2 ? 3 : 5;
  s->daemon = o->daemon;
  s->policy = o->policy;
  s->old_daemon = o->old_daemon;
  live_prepare (s, seed, nodes);
  World *w = s->w;
  w->report_s = REPORT_S;
  w->lease_s = LEASE_S;
  w->cancel_s = CANCEL_S;
  w->capacity = CAPACITY;
  w->fickle = g_rand_boolean (rand);
  if (o->old_daemon)
    begin_old (w, o->old_format);
  live_begin (s);
  users_init (w, o->seconds * 3 / 4, o->seconds - CALM_S);
  users_probe (w);
  if (o->old_daemon)
    plan_upgrade (w, rand, o->seconds - CALM_S);
  HrTrouble day[MOST_TROUBLES] = {{.kind = TROUBLE_FAST_BOOT, .for_s = o->seconds}};
  guint n = 1;
  double last = o->seconds - CALM_S - 1.3 * LEASE_S;
  for (double at = TROUBLES_FROM_S; at < last && n + 3 < MOST_TROUBLES;
       at += g_rand_double_range (rand, 0, 2 * TROUBLE_EVERY_S))
    if (g_rand_double (rand) < ACROSS_TERMS_SHARE)
      n += draw_cancels_across_terms (rand, at, day + n);
    else
      day[n++] = trouble_draw (rand, draw_kind (rand), at, LEASE_S);
  troubles_plan (w, day, n);
  live_run (s, o->seconds);
  check_end (w);
  if (o->old_daemon)
    check_upgrade (w);
  report (s, seed, day, n);
  Verdict verdict = is_void (s) ? RUN_VOID : w->broken->len ? RUN_BROKEN : RUN_OK;
  s->remove_files = verdict != RUN_BROKEN;
  live_end (s);
  end_callbacks ();
  return verdict;
}

int
main (int argc, char **argv)
{
  Options o = {.seed = 1, .runs = 1, .seconds = 60, .old_format = HR_FORMAT};
  const GOptionEntry entries[] = {
      {"daemon", 0, 0, G_OPTION_ARG_FILENAME, &o.daemon, "the controller's program", "FILE"},
      {"old-daemon", 0, 0, G_OPTION_ARG_FILENAME, &o.old_daemon,
       "the program that all controllers begin with; they are upgraded in turn", "FILE"},
      {"old-format", 0, 0, G_OPTION_ARG_INT, &o.old_format,
       "the format of records that it understands (docs/upgrades.md); 0: none", "N"},
      {"policy", 0, 0, G_OPTION_ARG_FILENAME, &o.policy, "its policy", "FILE"},
      {"seed", 0, 0, G_OPTION_ARG_INT, &o.seed, "of the first run", "N"},
      {"runs", 0, 0, G_OPTION_ARG_INT, &o.runs, "one after the other, seed after seed", "N"},
      {"seconds", 0, 0, G_OPTION_ARG_INT, &o.seconds, "of each run (45 to 3600)", "S"},
      {"controllers", 0, 0, G_OPTION_ARG_INT, &o.controllers, "1 to 5; default: 3 or 5 by seed",
       "N"},
      {NULL}};
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context =
      g_option_context_new ("- real controllers under random troubles");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !o.daemon || !o.policy ||
      o.seconds < 45 || o.seconds > 3600 || o.controllers < 0 || o.old_format < 0 ||
      o.controllers > MAX_NODES) {
    fprintf (stderr, "hoprock-soak: %s\n",
             error ? error->message : "--daemon and --policy are needed; see --help");
    return 2;
  }
  sim_log_init ();
  guint broken = 0, voids = 0;
  for (int i = 0; i < o.runs; i++) {
    Verdict verdict = RUN_VOID;
    for (int k = 0; k < TRIES && verdict == RUN_VOID; k++)
      verdict = run (&o, o.seed + i);
    broken += verdict == RUN_BROKEN;
    voids += verdict == RUN_VOID;
  }
  printf ("%d runs, %u with a broken rule, %u not played to the end\n", o.runs, broken, voids);
  return broken || voids;
}
