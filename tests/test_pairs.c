/* Search over all pairs of fault kinds, the second one in the critical window of the first.
 *
 *   test_pairs FROM TO        plays days FROM to TO - 1, prints which pairs overlapped
 *   test_pairs replay FILE    replays a day that a search has printed
 *
 * A day is one run of the simulated cluster. It has PAIRS_PER_DAY pairs, one after the other. The
 * second fault of a pair is triggered by an event after the beginning of the first: a write leaves
 * its controller, is carried out or answered, a worker is answered, or the leader record names a
 * new leader. A day that breaks a rule is shrunk: faults are removed and shortened while it still
 * breaks a rule; the rest is printed. */
#include "protocol/random_range.h"
#include "sim/fault_scenario.h"
#include "sim/log.h"
#include "sim/user.h"
#include "sim/cluster.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAIRS_PER_DAY 4
#define PAIRS (FAULT_KINDS * (FAULT_KINDS + 1) / 2)
#define TRIGGERS (FAULT_TRIGGERS - 1)
#define DAYS ((PAIRS * TRIGGERS + PAIRS_PER_DAY - 1) / PAIRS_PER_DAY)
#define FIRST_AT_S 50.0
#define PAIR_EVERY_S 45.0
/* The second fault waits for its trigger from a random moment on, at most this long after the first
 * fault starts. */
#define WITHIN_S 3.0
#define SEED 71000
#define DAY_S 800.0
#define MAX_FAULTS 32
#define SHRINK_PLAYS 120

typedef struct {
  guint32 seed;
  HrFault faults[MAX_FAULTS];
  guint n;
} Day;

typedef struct {
  HrFaultKind first, second;
  HrFaultTrigger trigger;
} Pair;

/* Returns the pair with this number. Each pair of kinds is combined with every trigger in turn. */
static Pair
pair_of (guint number)
{
  guint kinds = number % PAIRS;
  Pair pair = {.trigger = ON_TIME + 1 + (number / PAIRS + kinds) % TRIGGERS};
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
  for (guint i = 0; i < PAIRS_PER_DAY; i++) {
    Pair pair = pair_of (number * PAIRS_PER_DAY + i);
    double at = FIRST_AT_S + i * PAIR_EVERY_S;
    HrFault *first = &day.faults[day.n++], *second = &day.faults[day.n++];
    *first = fault_draw (rand, pair.first, at, 14);
    *second = fault_draw (rand, pair.second, at + hr_random_range (rand, 0, WITHIN_S), 14);
    second->on = pair.trigger;
  }
  return day;
}

/* Plays the day. Returns: (transfer full): the simulation at its end */
static SimCluster *
play (const Day *day)
{
  SimCluster *cluster = sim_cluster_new (day->seed, day->seed % 3 == 2 ? 5 : 3);
  users_init (cluster, 40, 260);
  users_probe (cluster);
  faults_plan (cluster, day->faults, day->n);
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
breaks_rule (const Day *day)
{
  SimCluster *cluster = play (day);
  gboolean broken = cluster->violations->len > 0;
  sim_cluster_free (cluster);
  return broken;
}

/* ---- shrinking ---- */

static Day
without_fault (const Day *day, guint at)
{
  Day smaller = *day;
  memmove (smaller.faults + at, smaller.faults + at + 1,
           (smaller.n - at - 1) * sizeof smaller.faults[0]);
  smaller.n--;
  return smaller;
}

/* Returns the day with as few and as short faults as still break a rule, after at most SHRINK_PLAYS
 * plays. */
static Day
shrink (Day day)
{
  guint plays = 0;
  gboolean changed = TRUE;
  while (changed && plays < SHRINK_PLAYS) {
    changed = FALSE;
    for (guint i = 0; i < day.n && plays < SHRINK_PLAYS; i++, plays++) {
      Day smaller = without_fault (&day, i);
      if (!breaks_rule (&smaller))
        continue;
      day = smaller;
      changed = TRUE;
      i--;
    }
  }
  for (guint i = 0; i < day.n && plays < SHRINK_PLAYS; i++)
    while (day.faults[i].for_s > 1 && plays++ < SHRINK_PLAYS) {
      Day smaller = day;
      smaller.faults[i].for_s /= 2;
      if (!breaks_rule (&smaller))
        break;
      day = smaller;
    }
  return day;
}

static void
print_day (const Day *day)
{
  fprintf (stderr, "seed=%u\n", day->seed);
  for (guint i = 0; i < day->n; i++) {
    g_autofree char *text = fault_to_text (&day->faults[i]);
    fprintf (stderr, "%s\n", text);
  }
}

static void
print_violations (const SimCluster *cluster)
{
  for (guint i = 0; i < MIN (cluster->violations->len, 8); i++)
    fprintf (stderr, "broken: %s\n", (char *)cluster->violations->pdata[i]);
}

/* ---- the search ---- */

static guint overlaps[FAULT_KINDS][FAULT_KINDS];

/* Counts the pairs whose faults both had an effect that day. */
static void
count_overlaps (const SimCluster *cluster, const Day *day)
{
  for (guint i = 0; i + 1 < day->n; i += 2) {
    HrFaultKind first = day->faults[i].kind, second = day->faults[i + 1].kind;
    if (cluster->faults.effects[first] && cluster->faults.effects[second]) {
      overlaps[first][second]++;
      if (first != second)
        overlaps[second][first]++;
    }
  }
}

static void
print_coverage (void)
{
  guint pairs = 0;
  printf ("%-14s days on which both faults of a pair had an effect\n", "");
  for (int a = 0; a < FAULT_KINDS; a++) {
    printf ("%-14s", fault_kind_name (a));
    for (int b = 0; b <= a; b++) {
      printf (" %2u", overlaps[a][b]);
      pairs += overlaps[a][b] > 0;
    }
    printf ("\n");
  }
  printf ("%u of %d pairs overlapped\n", pairs, PAIRS);
}

static gboolean
search_day (guint number)
{
  Day day = draw_day (number);
  SimCluster *cluster = play (&day);
  gboolean broken = cluster->violations->len > 0;
  count_overlaps (cluster, &day);
  if (broken) {
    fprintf (stderr, "day %u breaks a rule:\n", number);
    print_violations (cluster);
  }
  sim_cluster_free (cluster);
  if (broken) {
    Day smallest = shrink (day);
    fprintf (stderr, "shrunk to these faults (test_pairs replay FILE):\n");
    print_day (&smallest);
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
    else if (*lines[i] &&
             (day->n == MAX_FAULTS || !fault_parse (lines[i], &day->faults[day->n++]))) {
      fprintf (stderr, "test_pairs: %s:%u is not a valid fault\n", file, i + 1);
      return FALSE;
    }
  }
  return TRUE;
}

/* Returns whether the text of every drawn fault parses to the same fault. */
static gboolean
fault_texts_round_trip (void)
{
  for (guint number = 0; number < DAYS; number++) {
    Day day = draw_day (number);
    for (guint i = 0; i < day.n; i++) {
      HrFault again;
      g_autofree char *text = fault_to_text (&day.faults[i]);
      gboolean read = fault_parse (text, &again);
      g_autofree char *second = read ? fault_to_text (&again) : NULL;
      if (g_strcmp0 (text, second) != 0) {
        fprintf (stderr, "text does not survive parsing: %s\n", text);
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
    print_violations (cluster);
    sim_cluster_free (cluster);
    printf ("%u rules broken\n", broken);
    return broken > 0;
  }
  guint from = argc == 3 ? atoi (argv[1]) : 0, to = argc == 3 ? atoi (argv[2]) : DAYS, bad = 0;
  if (!fault_texts_round_trip ())
    return 1;
  for (guint number = from; number < MIN (to, DAYS); number++)
    bad += search_day (number);
  print_coverage ();
  printf ("days %u to %u of %d: %u with a broken rule\n", from, MIN (to, DAYS), DAYS, bad);
  return bad > 0;
}
