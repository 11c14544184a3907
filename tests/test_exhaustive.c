/* Bounded exhaustive search over the outcomes of single requests on a small cluster: two
 * controllers, one machine, one job at a time. The default schedule delivers everything. A schedule
 * of depth d deviates from it at d requests within the scenario's time window: the request gets
 * another outcome (lost, answer lost, late, duplicated, a controller crashes), or at that moment
 * the user cancels the job at one controller, or polls and resubmits it at all of them. All
 * schedules up to the depth are played through the real hr_core_step, and every rule of the
 * protocol is checked at every event.
 *
 *   test_exhaustive SCENARIO DEPTH [STRIDE]   plays every STRIDE-th schedule of the last depth
 *   test_exhaustive SCENARIO replay P:C ...   plays one schedule: choice C at request number P
 */
#include "coordination/command.h"
#include "sim/log.h"
#include "sim/request.h"
#include "sim/request_outcomes.h"
#include "sim/store.h"
#include "sim/user.h"
#include "sim/worker.h"
#include "sim/cluster.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DEPTH 4
#define SEED 7
#define END_S 190.0

/* Actions of users at the moment of a request. The numbers continue those of SimOutcome. */
enum { USER_CANCELS_AT_0 = OUTCOME_COUNT, USER_CANCELS_AT_1, USER_POLLS_ALL, CHOICES };

typedef struct {
  guint point;  /* number of the request within the window */
  guint choice; /* a SimOutcome, or one of the user's actions */
} Deviation;

typedef struct {
  Deviation deviations[MAX_DEPTH];
  guint depth;
} Schedule;

typedef struct {
  const char *name;
  double from, to; /* the time window in which requests are varied, s */
  guint tasks;
  double run_s;                /* run time of a task */
  double submit_at, cancel_at; /* times of submission and cancellation (0: none), s */
} Scenario;

/* An array that is submitted earlier ensures that a machine is up at 40 s. */
static const Scenario scenarios[] = {
    {"accept", 39.9, 42.0, 1, 4, 40, 0},
    {"end", 43.0, 47.0, 1, 4, 40, 0},
    {"cancel", 41.5, 46.0, 2, 30, 40, 42},
    {"cancel_at_end", 43.5, 47.0, 1, 4, 40, 44.6},
};

typedef struct {
  const Scenario *scenario;
  const Schedule *schedule;
  guint points; /* number of varied requests so far */
  /* Digests of the state outside the controllers at the requests of the window. */
  GHashTable *states;
} Play;

typedef struct {
  GHashTable *states;
  guint64 schedules, broken;
} Totals;

/* Returns whether the search varies the request's outcome. Lease renewals, list requests, short
 * reads of the store and users' polls are always delivered: a lost short read is only repeated,
 * while a lost watch leaves a follower with outdated records. */
static gboolean
is_choice_point (const SimRequest *request)
{
  if (request->node < 0)
    return request->method == HR_POST;
  if (request->target == HR_TO_STORE && request->method == HR_GET)
    return g_str_has_suffix (request->path, "hold_ms=10000");
  return request->method == HR_POST &&
         (request->target == HR_TO_WORKER ||
          (request->target == HR_TO_STORE && strcmp (request->path, "/commit") == 0));
}

/* Returns a digest of the store's records, the machines' tasks and the answers to users. It does
 * not cover the cores' memory, so equal digests do not end a search; they are only counted. */
static char *
digest (SimCluster *cluster)
{
  g_autoptr (GChecksum) sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_autoptr (GList) keys =
      g_list_sort (g_hash_table_get_keys (cluster->keys), (GCompareFunc)strcmp);
  for (GList *k = keys; k; k = k->next) {
    const char *text = store_text (cluster, k->data);
    g_checksum_update (sum, k->data, -1);
    g_checksum_update (sum, (const guchar *)text, -1);
  }
  for (guint i = 0; i < cluster->machines->len; i++) {
    SimMachine *machine = cluster->machines->pdata[i];
    for (guint k = 0; k < machine->tasks->len; k++) {
      const SimTask *task = &g_array_index (machine->tasks, SimTask, k);
      guint32 facts[] = {i, machine->incarnation, task->job, task->task, task->try, task->state};
      g_checksum_update (sum, (const guchar *)facts, sizeof facts);
    }
  }
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    guint32 replies[] = {job->accepted, job->done_reply_at > 0, job->cancelled_reply_at > 0};
    g_checksum_update (sum, (const guchar *)replies, sizeof replies);
  }
  return g_strdup (g_checksum_get_string (sum));
}

static void
user_acts (SimCluster *cluster, gpointer choice)
{
  SimJob *job = cluster->jobs->pdata[cluster->jobs->len - 1];
  guint action = GPOINTER_TO_UINT (choice);
  if (action != USER_POLLS_ALL) {
    user_cancel_at (cluster, job, action - USER_CANCELS_AT_0);
    return;
  }
  for (int node = 0; node < cluster->n; node++) {
    user_poll_at (cluster, job, node);
    user_submit_at (cluster, job, node);
  }
}

static SimOutcome
choose (SimCluster *cluster, const SimRequest *request, gpointer data)
{
  Play *play = data;
  if (cluster->now < play->scenario->from || cluster->now > play->scenario->to ||
      !is_choice_point (request))
    return OUTCOME_DELIVERED;
  guint point = play->points++;
  g_hash_table_add (play->states, digest (cluster));
  for (guint i = 0; i < play->schedule->depth; i++) {
    const Deviation *deviation = &play->schedule->deviations[i];
    if (deviation->point != point)
      continue;
    if (deviation->choice < OUTCOME_COUNT)
      return deviation->choice;
    /* The simulated network decides whether the request or the user's action arrives first. */
    sim_schedule (cluster, cluster->now, user_acts, GUINT_TO_POINTER (deviation->choice));
  }
  return OUTCOME_DELIVERED;
}

static void
print_violations (const Scenario *scenario, const Schedule *schedule, const SimCluster *cluster)
{
  fprintf (stderr, "%s replay", scenario->name);
  for (guint i = 0; i < schedule->depth; i++)
    fprintf (stderr, " %u:%u", schedule->deviations[i].point, schedule->deviations[i].choice);
  for (guint i = 0; i < MIN (cluster->violations->len, 4); i++)
    fprintf (stderr, "\n    %s", (char *)cluster->violations->pdata[i]);
  fprintf (stderr, "\n");
}

static void
check_ends (SimCluster *cluster)
{
  for (guint i = 0; i < cluster->jobs->len; i++) {
    const SimJob *job = cluster->jobs->pdata[i];
    if (!job->accepted)
      sim_report_violation (cluster, "liveness", "%s was never accepted", job->id);
    else if (!job->done_reply_at && !job->cancelled_reply_at)
      sim_report_violation (cluster, "liveness", "%s is neither done nor withdrawn", job->id);
  }
}

/* Plays one schedule. Returns the number of requests that may deviate. */
static guint
play_schedule (const Scenario *scenario, const Schedule *schedule, Totals *totals)
{
  Play play = {scenario, schedule, 0, totals->states};
  SimCluster *cluster = sim_cluster_new (SEED, 2);
  cluster->loss_share = cluster->duplicate_share = 0;
  cluster->capacity = 1;
  cluster->choose_outcome = choose;
  cluster->choose_outcome_data = &play;
  users_init (cluster, 0, 0);
  users_probe (cluster);
  cluster->faults.close_polls = (HrFaultWindow){END_S, 0};
  users_array (cluster, 1, 8, 1, 0);
  users_array (cluster, scenario->tasks, scenario->run_s, scenario->submit_at, scenario->cancel_at);
  sim_cluster_run (cluster, END_S);
  check_ends (cluster);
  if (cluster->violations->len)
    print_violations (scenario, schedule, cluster);
  totals->broken += cluster->violations->len > 0;
  totals->schedules++;
  sim_cluster_free (cluster);
  return play.points;
}

/* Plays this schedule and all that extend it up to `depth`; of those of that depth, every
 * stride-th. */
static void
search (const Scenario *scenario, const Schedule *schedule, guint depth, guint stride,
        Totals *totals, guint64 *number)
{
  guint points = play_schedule (scenario, schedule, totals);
  if (schedule->depth == depth)
    return;
  Schedule next = *schedule;
  Deviation *last = &next.deviations[next.depth++];
  guint first = schedule->depth ? schedule->deviations[schedule->depth - 1].point + 1 : 0;
  for (last->point = first; last->point < points; last->point++)
    for (last->choice = OUTCOME_DELIVERED + 1; last->choice < CHOICES; last->choice++) {
      if (next.depth == depth && (*number)++ % stride)
        continue;
      search (scenario, &next, depth, stride, totals, number);
    }
}

static gboolean
parse_schedule (char **words, Schedule *schedule)
{
  for (; *words; words++) {
    guint point, choice;
    if (schedule->depth == MAX_DEPTH || sscanf (*words, "%u:%u", &point, &choice) != 2 ||
        choice >= CHOICES)
      return FALSE;
    schedule->deviations[schedule->depth++] = (Deviation){point, choice};
  }
  return TRUE;
}

static int
usage (void)
{
  fprintf (stderr, "usage: test_exhaustive SCENARIO DEPTH [STRIDE] | SCENARIO replay P:C ...\n");
  return 2;
}

int
main (int argc, char **argv)
{
  const Scenario *scenario = NULL;
  for (guint i = 0; argc >= 3 && i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (scenarios[i].name, argv[1]) == 0)
      scenario = &scenarios[i];
  if (!scenario)
    return usage ();
  sim_log_init ();
  g_autoptr (GHashTable) states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  Totals totals = {states, 0, 0};
  Schedule schedule = {0};
  gint64 started_us = g_get_monotonic_time ();
  guint depth = 0;
  if (strcmp (argv[2], "replay") == 0) {
    if (!parse_schedule (argv + 3, &schedule))
      return usage ();
    play_schedule (scenario, &schedule, &totals);
  } else {
    guint64 number = 0;
    depth = CLAMP (atoi (argv[2]), 0, MAX_DEPTH);
    search (scenario, &schedule, depth, argc > 3 ? MAX (1, atoi (argv[3])) : 1, &totals, &number);
  }
  printf ("%s: depth %u, %" G_GUINT64_FORMAT " schedules, %u states, %.1f s, %" G_GUINT64_FORMAT
          " broken\n",
          scenario->name, depth, totals.schedules, g_hash_table_size (states),
          (g_get_monotonic_time () - started_us) / (double)G_USEC_PER_SEC, totals.broken);
  return totals.broken != 0;
}
