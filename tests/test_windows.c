/* Meetings of workers and leaders that are drawn from seeds, on the machines of scripted_fleet.h:
 * each second something ends, is cut off, stands still or is kept back, to arrive later. Every rule
 * is checked at every event; once all is well again every job has to run. test_windows [FROM TO]
 * another range of seeds */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "scripted_fleet.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define NODES 3
#define MACHINES 6
#define TROUBLES_S 110
#define CALM_S 90
#define CPUS_MAX 30.0

/* A message that was kept back. */
typedef struct {
  double at;
  ClusterCall *write; /* a transaction, or NULL */
  FleetMachine *machine;
  char *report, *orders; /* one of them, for or to the machine */
  int node;
} Late;

typedef struct {
  guint64 request;
  int node;
  guint process;
  char *id;
  gboolean submission;
} Asked;

typedef struct {
  Fleet *fleet;
  GRand *rand;
  FleetMachine *machines[MACHINES];
  double flag_until[MACHINES], node_until[NODES], outage_until, apart_until, cloud_until;
  gboolean frozen[NODES];
  GPtrArray *late;  /* Late */
  GPtrArray *asked; /* Asked */
  GPtrArray *accepted;
  GHashTable *cancelled; /* jobs that a user asked to cancel, whatever he heard */
  guint jobs;
} Day;

static double
draw (Day *day, double low, double high)
{
  return g_rand_double_range (day->rand, low, high);
}

static guint
pick (Day *day, guint n)
{
  return g_rand_int_range (day->rand, 0, n);
}

static void
late_free (gpointer data)
{
  Late *late = data;
  g_free (late->report);
  g_free (late->orders);
  g_free (late);
}

static void
asked_free (gpointer data)
{
  Asked *asked = data;
  g_free (asked->id);
  g_free (asked);
}

/* ---- users ---- */

static void
ask (Day *day, const char *id, const char *body, gboolean abort)
{
  Cluster *cluster = day->fleet->cluster;
  int node = pick (day, NODES);
  if (!cluster->nodes[node].core)
    return;
  Asked *asked = g_new0 (Asked, 1);
  asked->node = node;
  asked->process = cluster->nodes[node].process;
  asked->id = g_strdup (id);
  asked->submission = body != NULL;
  asked->request = body    ? cluster_request (cluster, node, HR_POST, HR_JOBS_PATH, body)
                   : abort ? cluster_abort (cluster, node, id)
                           : cluster_poll (cluster, node, id);
  g_ptr_array_add (day->asked, asked);
  if (abort)
    g_hash_table_add (day->cancelled, g_strdup (id));
}

static void
submit (Day *day)
{
  g_autofree char *id = g_strdup_printf ("job-%u", day->jobs++);
  json_t *body = cluster_job (id, 1 + pick (day, 4));
  json_object_set_new (body, "vcpus", json_real (1 + pick (day, 6)));
  guint kind = pick (day, 4);
  if (kind == 1)
    json_object_set_new (body, "together", json_true ());
  if (kind == 2)
    json_object_set_new (body, "apart", json_true ());
  fleet_know (day->fleet, id, body);
  g_autofree char *text = hr_json_take_text (body);
  ask (day, id, text, FALSE);
}

static void
hear_answers (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  for (guint i = 0; i < day->asked->len;) {
    Asked *asked = day->asked->pdata[i];
    const ClusterReply *reply = asked->process == cluster->nodes[asked->node].process
                                    ? cluster_reply (cluster, asked->node, asked->request)
                                    : NULL;
    if (!reply && asked->process == cluster->nodes[asked->node].process) {
      i++;
      continue;
    }
    const char *state = reply ? hr_json_str (reply->body, "stance") : NULL;
    if (reply && asked->submission && (reply->status == 201 || reply->status == 200))
      g_ptr_array_add (day->accepted, g_strdup (asked->id));
    if (state && reply->status < 300)
      fleet_answered (day->fleet, asked->id, state, reply->at);
    g_ptr_array_remove_index (day->asked, i);
  }
}

/* ---- troubles ---- */

static void
trouble_of_node (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  int node = pick (day, 2) ? MAX (0, cluster_leader (cluster)) : (int)pick (day, NODES);
  if (day->node_until[node] > cluster->now || !cluster->nodes[node].core)
    return;
  switch (pick (day, 3)) {
  case 0:
    cluster_end (cluster, node);
    day->node_until[node] = cluster->now + (pick (day, 2) ? 0.3 : draw (day, 3, 20));
    break;
  case 1:
    fleet_freeze (day->fleet, node);
    day->frozen[node] = TRUE;
    day->node_until[node] = cluster->now + draw (day, 1, 15);
    break;
  default:
    cluster->nodes[node].served = FALSE;
    day->node_until[node] = cluster->now + draw (day, 2, 40);
  }
}

static void
trouble_of_machine (Day *day)
{
  guint i = pick (day, MACHINES);
  FleetMachine *machine = day->machines[i];
  if (day->flag_until[i] > day->fleet->cluster->now)
    return;
  day->flag_until[i] = day->fleet->cluster->now + draw (day, 2, 30);
  switch (pick (day, 5)) {
  case 0:
    machine->reports = FALSE; /* mute */
    break;
  case 1:
    machine->hears = machine->reached = FALSE; /* deaf */
    break;
  case 2:
    machine->hangs = TRUE;
    break;
  case 3:
    machine->reports = machine->reached = FALSE; /* cut off */
    break;
  default:
    machine->only = pick (day, NODES);
  }
}

static void
keep_back (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  FleetMachine *machine = day->machines[pick (day, MACHINES)];
  int leader = MAX (0, cluster_leader (cluster));
  Late *late = g_new0 (Late, 1);
  late->at = cluster->now + (pick (day, 2) ? draw (day, 1, 16) : draw (day, 10, 60));
  late->machine = machine;
  late->node = pick (day, NODES);
  gboolean hears =
      cluster->nodes[leader].core != NULL; /* one that stands still hears nothing now */
  ClusterCall *call = hears && pick (day, 2) ? fleet_direct (machine, leader) : NULL;
  if (call) {
    late->orders = g_strdup (call->body);
    if (pick (day, 2)) /* it is carried out now, too: a copy */
      cluster_lose (cluster, call);
  } else if (hears && pick (day, 2) && (call = cluster_call (cluster, leader, "/commit", NULL)) &&
             call->held)
    late->write = cluster_delay (cluster, call);
  else if (!machine->gone)
    late->report = fleet_write (machine);
  g_ptr_array_add (day->late, late);
}

static void
arrive (Day *day, gboolean all)
{
  Cluster *cluster = day->fleet->cluster;
  for (guint i = 0; i < day->late->len;) {
    Late *late = day->late->pdata[i];
    if (late->at > cluster->now && !all) {
      i++;
      continue;
    }
    if (late->write)
      cluster_late (cluster, late->write);
    if (late->orders)
      fleet_obey_direct (late->machine, late->orders);
    if (late->report && cluster->nodes[late->node].core)
      fleet_deliver (day->fleet, pick (day, 2) ? MAX (0, cluster_leader (cluster)) : late->node,
                     late->report);
    g_ptr_array_remove_index (day->late, i);
  }
}

static void
end_tasks (Day *day, gboolean well)
{
  FleetMachine *machine = day->machines[pick (day, MACHINES)];
  if (!machine->tasks->len || machine->hangs)
    return;
  FleetTask *task = machine->tasks->pdata[pick (day, machine->tasks->len)];
  g_autofree char *piece = g_strdup (task->piece);
  fleet_exit (machine, piece, well || pick (day, 5) ? "done" : "error");
}

static void
mend (Day *day, gboolean all)
{
  Cluster *cluster = day->fleet->cluster;
  for (int i = 0; i < NODES; i++) {
    if (day->node_until[i] > cluster->now && !all)
      continue;
    if (day->frozen[i])
      fleet_thaw (day->fleet, i);
    day->frozen[i] = FALSE;
    cluster->nodes[i].served = TRUE;
    if (!cluster->nodes[i].core)
      cluster_start (cluster, i);
    g_array_index (cluster->nodes[i].set->teams, HrTeam, 0).cpus_max = CPUS_MAX;
  }
  for (int i = 0; i < MACHINES; i++) {
    FleetMachine *machine = day->machines[i];
    if (day->flag_until[i] > cluster->now && !all)
      continue;
    machine->reports = machine->hears = machine->reached = TRUE;
    machine->hangs = FALSE;
    machine->only = -1;
    if (machine->gone) { /* rented anew */
      g_autofree char *name = g_strdup_printf ("m-%u", 100 + day->fleet->machines->len);
      day->machines[i] = fleet_machine (day->fleet, name, i % 2 ? "z1" : "z0");
      day->machines[i]->node = pick (day, NODES);
    }
  }
  cluster->outage = cluster->now < day->outage_until && !all;
  cluster->exchange_statuses = cluster->now >= day->apart_until || all;
  day->fleet->cloud_deletes = cluster->now >= day->cloud_until || all;
}

static void
something_happens (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  switch (pick (day, 12)) {
  case 0:
    trouble_of_node (day);
    break;
  case 1:
  case 2:
  case 3:
    trouble_of_machine (day);
    break;
  case 4:
  case 5:
    keep_back (day);
    break;
  case 6:
    if (cluster->now > day->outage_until + 20)
      day->outage_until = cluster->now + draw (day, 2, 45);
    break;
  case 7:
    day->apart_until = cluster->now + draw (day, 1, 12);
    break;
  case 8:
    day->cloud_until = cluster->now + draw (day, 1, 25);
    break;
  case 9:
  case 10:
    end_tasks (day, FALSE);
    break;
  default:
    fleet_release (day->fleet);
    if (pick (day, 2))
      cluster_hold (cluster, MAX (0, cluster_leader (cluster)), "/commit", NULL);
  }
}

static void
day_begin (Day *day, guint seed)
{
  memset (day, 0, sizeof *day);
  day->rand = g_rand_new_with_seed (seed);
  day->fleet = fleet_new (NODES);
  day->fleet->cpus_max = CPUS_MAX;
  day->late = g_ptr_array_new_with_free_func (late_free);
  day->asked = g_ptr_array_new_with_free_func (asked_free);
  day->accepted = g_ptr_array_new_with_free_func (g_free);
  day->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < MACHINES; i++) {
    g_autofree char *name = g_strdup_printf ("m-%d", i);
    day->machines[i] = fleet_machine (day->fleet, name, i % 2 ? "z1" : "z0");
  }
  mend (day, TRUE);
  fleet_run (day->fleet, 3);
}

/* All its tasks have ended, or its user cancelled it. */
static gboolean
ended_well (Day *day, const char *id, guint seed)
{
  const FleetJob *job = g_hash_table_lookup (day->fleet->jobs, id);
  const char *state = fleet_job_state (day->fleet, pick (day, NODES), id);
  gboolean cancelled = g_hash_table_contains (day->cancelled, id);
  if (g_strcmp0 (state, "done") == 0 || (cancelled && g_strcmp0 (state, "withdrawn") == 0))
    return TRUE;
  print_message ("seed %u: %s ends as %s, %u of %u tasks done\n", seed, id,
                 state ? state : "unknown", job->ended, job->tasks);
  return FALSE;
}

static guint
play (guint seed)
{
  Day day, *day_row = &day;
  day_begin (day_row, seed);
  Cluster *cluster = day_row->fleet->cluster;
  double calm = cluster->now + TROUBLES_S;
  while (cluster->now < calm) {
    mend (day_row, FALSE);
    something_happens (day_row);
    if (!pick (day_row, 5) && day_row->jobs < 25)
      submit (day_row);
    for (int i = 0; i < 2 && day_row->jobs; i++) {
      g_autofree char *id = g_strdup_printf ("job-%u", pick (day_row, day_row->jobs));
      ask (day_row, id, NULL, !pick (day_row, 8));
    }
    fleet_run (day_row->fleet, draw (day_row, 0.1, 1));
    arrive (day_row, FALSE);
    hear_answers (day_row);
  }
  fleet_release (day_row->fleet);
  mend (day_row, TRUE);
  arrive (day_row, TRUE);
  for (int i = 0; i < CALM_S; i++) {
    mend (day_row, TRUE);
    for (int k = 0; k < MACHINES; k++) /* what runs ends soon, so that all have their turn */
      end_tasks (day_row, TRUE);
    fleet_run (day_row->fleet, 1);
    hear_answers (day_row);
  }
  guint broken = 0;
  for (guint i = 0; i < day_row->accepted->len; i++)
    broken += !ended_well (day_row, day_row->accepted->pdata[i], seed);
  for (guint i = 0; i < MIN (day_row->fleet->broken->len, 4); i++)
    print_message ("seed %u: %s\n", seed, (char *)day_row->fleet->broken->pdata[i]);
  broken += day_row->fleet->broken->len;
  if (g_getenv ("HR_SIM_VERBOSE"))
    print_message ("seed %u: %u jobs, %u starts, epoch %" G_GUINT64_FORMAT "\n", seed,
                   day_row->jobs, day_row->fleet->starts, cluster->epoch);
  g_ptr_array_set_size (day_row->fleet->broken, 0);
  g_ptr_array_unref (day_row->late);
  g_ptr_array_unref (day_row->asked);
  g_ptr_array_unref (day_row->accepted);
  g_hash_table_unref (day_row->cancelled);
  g_rand_free (day_row->rand);
  fleet_end (day_row->fleet);
  return broken;
}

static guint first = 1, last = 61;

static void
drawn_days_keep_the_rules (void **state G_GNUC_UNUSED)
{
  guint broken = 0;
  for (guint seed = first; seed < last; seed++)
    broken += play (seed);
  assert_int_equal (broken, 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (drawn_days_keep_the_rules)};
  if (argc > 2) {
    first = strtoul (argv[1], NULL, 10);
    last = strtoul (argv[2], NULL, 10);
  }
  g_log_set_writer_func (cluster_log, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
