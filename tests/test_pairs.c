/* Search: all pairs of kinds of troubles, the second one in the first one's critical window.
 *
 *   test_pairs FROM TO        plays the days numbered so (DAYS in all), prints which pairs met
 *   test_pairs replay FILE    plays a day again that a search has printed
 *
 * A day has PAIRS_A_DAY pairs, one after the other. The second trouble of a pair begins at a moment
 * after the first one has begun: as a write leaves its controller, is carried out or answered, as a
 * worker is answered, or as the leader record names a new leader. A day that breaks a rule is
 * compacted: troubles are taken out, and shortened, while it still breaks one; what is left is
 * printed. */
#include "sim/fault_scenario.h"
#include "sim/log.h"
#include "sim/user.h"
#include "sim/cluster.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAIRS_A_DAY 4
#define PAIRS (FAULT_KINDS * (FAULT_KINDS + 1) / 2)
#define MOMENTS (FAULT_TRIGGERS - 1)
#define DAYS ((PAIRS * MOMENTS + PAIRS_A_DAY - 1) / PAIRS_A_DAY)
#define FIRST_AT_S 50.0
#define PAIR_EVERY_S 45.0
/* The second one waits for its moment from so long after the first one's beginning. */
#define WITHIN_S 3.0
#define SEED 71000
#define DAY_S 800.0
#define MOST 32
#define SHRINK_PLAYS 120

typedef struct {
  guint32 seed;
  HrFault troubles[MOST];
  guint n;
} Day;

typedef struct {
  HrFaultKind first, second;
  HrFaultTrigger moment;
} Pair;

/* The pair with this number: pairs of kinds go through all moments in turn. */
static Pair
pair_of (guint number)
{
  guint kinds = number % PAIRS;
  Pair pair = {.moment = ON_TIME + 1 + (number / PAIRS + kinds) % MOMENTS};
  for (guint a = 0, at = 0; a < FAULT_KINDS; a++)
    for (guint b = a; b < FAULT_KINDS; b++, at++)
      if (at == kinds) {
        gboolean swap = number / PAIRS % 2;
        pair.first = swap ? b : a;
        pair.second = swap ? a : b;
      }
  return pair;
}

static Day
draw_day (guint number)
{
  Day day = {.seed = SEED + number};
  g_autoptr (GRand) rand = g_rand_new_with_seed (day.seed);
  for (guint i = 0; i < PAIRS_A_DAY; i++) {
    Pair pair = pair_of (number * PAIRS_A_DAY + i);
    double at = FIRST_AT_S + i * PAIR_EVERY_S;
    HrFault *first = &day.troubles[day.n++], *second = &day.troubles[day.n++];
    *first = fault_draw (rand, pair.first, at, 14);
    *second = fault_draw (rand, pair.second, at + g_rand_double_range (rand, 0, WITHIN_S), 14);
    second->on = pair.moment;
  }
  return day;
}

/* Returns the cluster at the day's end, to be freed. */
static SimCluster *
play (const Day *day)
{
  SimCluster *cluster = sim_cluster_new (day->seed, day->seed % 3 == 2 ? 5 : 3);
  users_init (cluster, 40, 260);
  users_probe (cluster);
  faults_plan (cluster, day->troubles, day->n);
  sim_cluster_run (cluster, DAY_S);
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (job->cancel_requested && !job->cancelled_reply_at && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s was not withdrawn", job->id);
    else if (!job->cancel_requested && job->shape != HR_SERVICE && !job->done_reply_at)
      sim_report_violation (cluster, "liveness", "%s is not done", job->id);
  }
  return cluster;
}

static gboolean
breaks (const Day *day)
{
  SimCluster *cluster = play (day);
  gboolean broken = cluster->violations->len > 0;
  sim_cluster_free (cluster);
  return broken;
}

/* ---- shrinking ---- */

static Day
without (const Day *day, guint at)
{
  Day less = *day;
  memmove (less.troubles + at, less.troubles + at + 1, (less.n - at - 1) * sizeof less.troubles[0]);
  less.n--;
  return less;
}

/* The fewest troubles, each as short as may be, that still break a rule, within a bounded number of
 * plays. */
static Day
shrink (Day day)
{
  guint plays = 0;
  gboolean changed = TRUE;
  while (changed && plays < SHRINK_PLAYS) {
    changed = FALSE;
    for (guint i = 0; i < day.n && plays < SHRINK_PLAYS; i++, plays++) {
      Day less = without (&day, i);
      if (!breaks (&less))
        continue;
      day = less;
      changed = TRUE;
      i--;
    }
  }
  for (guint i = 0; i < day.n && plays < SHRINK_PLAYS; i++)
    while (day.troubles[i].for_s > 1 && plays++ < SHRINK_PLAYS) {
      Day less = day;
      less.troubles[i].for_s /= 2;
      if (!breaks (&less))
        break;
      day = less;
    }
  return day;
}

static void
print_day (const Day *day)
{
  fprintf (stderr, "seed=%u\n", day->seed);
  for (guint i = 0; i < day->n; i++) {
    g_autofree char *text = fault_to_text (&day->troubles[i]);
    fprintf (stderr, "%s\n", text);
  }
}

static void
print_broken (const SimCluster *cluster)
{
  for (guint i = 0; i < MIN (cluster->violations->len, 8); i++)
    fprintf (stderr, "broken: %s\n", (char *)cluster->violations->pdata[i]);
}

/* ---- the search ---- */

static guint met[FAULT_KINDS][FAULT_KINDS];

/* Both took effect on something that day. */
static void
note_met (const SimCluster *cluster, const Day *day)
{
  for (guint i = 0; i + 1 < day->n; i += 2) {
    HrFaultKind first = day->troubles[i].kind, second = day->troubles[i + 1].kind;
    if (cluster->faults.effects[first] && cluster->faults.effects[second]) {
      met[first][second]++;
      if (first != second)
        met[second][first]++;
    }
  }
}

static void
print_coverage (void)
{
  guint pairs = 0;
  printf ("%-14s how often each pair of troubles took effect on one day\n", "");
  for (int attempt = 0; attempt < FAULT_KINDS; attempt++) {
    printf ("%-14s", fault_kind_name (attempt));
    for (int b = 0; b <= attempt; b++) {
      printf (" %2u", met[attempt][b]);
      pairs += met[attempt][b] > 0;
    }
    printf ("\n");
  }
  printf ("%u of %d pairs met\n", pairs, PAIRS);
}

static gboolean
search_day (guint number)
{
  Day day = draw_day (number);
  SimCluster *cluster = play (&day);
  gboolean broken = cluster->violations->len > 0;
  note_met (cluster, &day);
  if (broken) {
    fprintf (stderr, "day %u breaks a rule:\n", number);
    print_broken (cluster);
  }
  sim_cluster_free (cluster);
  if (broken) {
    Day least = shrink (day);
    fprintf (stderr, "with these troubles alone (test_pairs replay FILE):\n");
    print_day (&least);
  }
  return broken;
}

static gboolean
read_day (const char *file, Day *day)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (file, &text, NULL, &error)) {
    fprintf (stderr, "test_pairs: %s\n", error->message);
    return FALSE;
  }
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  memset (day, 0, sizeof *day);
  for (guint i = 0; lines[i]; i++) {
    if (g_str_has_prefix (lines[i], "seed="))
      day->seed = g_ascii_strtoull (lines[i] + strlen ("seed="), NULL, 10);
    else if (*lines[i] && (day->n == MOST || !fault_parse (lines[i], &day->troubles[day->n++]))) {
      fprintf (stderr, "test_pairs: %s:%u is no trouble\n", file, i + 1);
      return FALSE;
    }
  }
  return TRUE;
}

/* Every drawn trouble reads back as it was written. */
static gboolean
texts_are_whole (void)
{
  for (guint number = 0; number < DAYS; number++) {
    Day day = draw_day (number);
    for (guint i = 0; i < day.n; i++) {
      HrFault again;
      g_autofree char *text = fault_to_text (&day.troubles[i]);
      gboolean read = fault_parse (text, &again);
      g_autofree char *second = read ? fault_to_text (&again) : NULL;
      if (g_strcmp0 (text, second) != 0) {
        fprintf (stderr, "read back otherwise: %s\n", text);
        return FALSE;
      }
    }
  }
  return TRUE;
}

int
main (int argc, char **argv)
{
  Day day;
  sim_log_init ();
  if (argc == 3 && g_str_equal (argv[1], "replay")) {
    if (!read_day (argv[2], &day))
      return 2;
    SimCluster *cluster = play (&day);
    guint broken = cluster->violations->len;
    print_broken (cluster);
    sim_cluster_free (cluster);
    printf ("%u rules broken\n", broken);
    return broken > 0;
  }
  guint from = argc == 3 ? atoi (argv[1]) : 0, to = argc == 3 ? atoi (argv[2]) : DAYS, bad = 0;
  if (!texts_are_whole ())
    return 1;
  for (guint number = from; number < MIN (to, DAYS); number++)
    bad += search_day (number);
  print_coverage ();
  printf ("days %u to %u of %d: %u with a broken rule\n", from, MIN (to, DAYS), DAYS, bad);
  return bad > 0;
}
