/* Random interleavings of worker and leader messages on the machines of scripted_fleet.h, drawn
 * from seeds. Each seed gives one run, called a day: about twice a second a process or task ends, a
 * machine or node is cut off or hangs, or a message is delayed. Every rule is checked at every
 * event; once the faults are over every job has to finish.
 *
 *   test_windows [FROM TO]        plays the seeds FROM to TO - 1 instead of the default ones */
#include "coordination/command.h"
#include "protocol/json_util.h"
#include "protocol/random_range.h"
#include "scripted_fleet.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define NODES 3
#define MACHINES 6
#define FAULTS_S 110
#define RECOVERY_S 90
#define CPUS_MAX 30.0

/* A delayed message: one of write, heartbeat and orders. */
typedef struct {
  double at;          /* when it arrives */
  ClusterCall *write; /* a transaction */
  FleetMachine *machine;
  char *heartbeat, *orders; /* a heartbeat of the machine; orders to it */
  int node;
} DelayedMessage;

typedef struct {
  guint64 request;
  int node;
  guint process;
  char *id;
  gboolean submission;
} UserRequest;

typedef struct {
  Fleet *fleet;
  GRand *rand;
  FleetMachine *machines[MACHINES];
  double machine_until[MACHINES], node_until[NODES], outage_until, peers_cut_until, cloud_until;
  gboolean frozen[NODES];
  GPtrArray *delayed;  /* DelayedMessage */
  GPtrArray *requests; /* UserRequest */
  GPtrArray *accepted;
  GHashTable *cancelled; /* jobs that a user asked to cancel, whatever the answer was */
  guint jobs;
} Day;

static double
draw (Day *day, double low, double high)
{
  return hr_random_range (day->rand, low, high);
}

static guint
pick (Day *day, guint n)
{
  return g_rand_int_range (day->rand, 0, n);
}

static void
delayed_message_free (gpointer data)
{
  DelayedMessage *message = data;
  g_free (message->heartbeat);
  g_free (message->orders);
  g_free (message);
}

static void
user_request_free (gpointer data)
{
  UserRequest *user_request = data;
  g_free (user_request->id);
  g_free (user_request);
}

/* ---- users ---- */

static void
send_user_request (Day *day, const char *id, const char *body, gboolean abort)
{
  Cluster *cluster = day->fleet->cluster;
  int node = pick (day, NODES);
  if (!cluster->nodes[node].core)
    return;
  UserRequest *user_request = g_new0 (UserRequest, 1);
  user_request->node = node;
  user_request->process = cluster->nodes[node].process;
  user_request->id = g_strdup (id);
  user_request->submission = body != NULL;
  user_request->request = body    ? cluster_request (cluster, node, HR_POST, HR_JOBS_PATH, body)
                          : abort ? cluster_cancel (cluster, node, id)
                                  : cluster_poll (cluster, node, id);
  g_ptr_array_add (day->requests, user_request);
  if (abort)
    g_hash_table_add (day->cancelled, g_strdup (id));
}

static void
submit (Day *day)
{
  g_autofree char *id = g_strdup_printf ("job-%u", day->jobs++);
  json_t *body = cluster_job_body (id, 1 + pick (day, 4));
  json_object_set_new (body, "vcpus", json_real (1 + pick (day, 6)));
  guint kind = pick (day, 4);
  if (kind == 1)
    json_object_set_new (body, "together", json_true ());
  if (kind == 2)
    json_object_set_new (body, "apart", json_true ());
  fleet_register_job (day->fleet, id, body);
  g_autofree char *text = hr_json_take_text (body);
  send_user_request (day, id, text, FALSE);
}

static void
receive_answers (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  for (guint i = 0; i < day->requests->len;) {
    UserRequest *user_request = day->requests->pdata[i];
    const ClusterReply *reply =
        user_request->process == cluster->nodes[user_request->node].process
            ? cluster_reply (cluster, user_request->node, user_request->request)
            : NULL;
    if (!reply && user_request->process == cluster->nodes[user_request->node].process) {
      i++;
      continue;
    }
    const char *state = reply ? hr_json_str (reply->body, "stance") : NULL;
    if (reply && user_request->submission && (reply->status == 201 || reply->status == 200))
      g_ptr_array_add (day->accepted, g_strdup (user_request->id));
    if (state && reply->status < 300)
      fleet_check_answer (day->fleet, user_request->id, state, reply->at);
    g_ptr_array_remove_index (day->requests, i);
  }
}

/* ---- faults ---- */

static void
inject_node_fault (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  int node = pick (day, 2) ? MAX (0, cluster_leader (cluster)) : (int)pick (day, NODES);
  if (day->node_until[node] > cluster->now || !cluster->nodes[node].core)
    return;
  switch (pick (day, 3)) {
  case 0:
    cluster_stop_node (cluster, node);
    day->node_until[node] = cluster->now + (pick (day, 2) ? 0.3 : draw (day, 3, 20));
    break;
  case 1:
    fleet_freeze (day->fleet, node);
    day->frozen[node] = TRUE;
    day->node_until[node] = cluster->now + draw (day, 1, 15);
    break;
  default:
    cluster->nodes[node].store_available = FALSE;
    day->node_until[node] = cluster->now + draw (day, 2, 40);
  }
}

static void
inject_machine_fault (Day *day)
{
  guint i = pick (day, MACHINES);
  FleetMachine *machine = day->machines[i];
  if (day->machine_until[i] > day->fleet->cluster->now)
    return;
  day->machine_until[i] = day->fleet->cluster->now + draw (day, 2, 30);
  switch (pick (day, 5)) {
  case 0:
    machine->sends_heartbeats = FALSE; /* reaches no controller */
    break;
  case 1:
    machine->receives_answers = machine->receives_direct_calls = FALSE; /* receives nothing */
    break;
  case 2:
    machine->is_hung = TRUE;
    break;
  case 3:
    machine->sends_heartbeats = machine->receives_direct_calls = FALSE; /* cut off */
    break;
  default:
    machine->only_node = pick (day, NODES);
  }
}

static void
delay_message (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  FleetMachine *machine = day->machines[pick (day, MACHINES)];
  int leader = MAX (0, cluster_leader (cluster));
  DelayedMessage *message = g_new0 (DelayedMessage, 1);
  message->at = cluster->now + (pick (day, 2) ? draw (day, 1, 16) : draw (day, 10, 60));
  message->machine = machine;
  message->node = pick (day, NODES);
  gboolean leader_runs =
      cluster->nodes[leader].core != NULL; /* a frozen leader receives nothing now */
  ClusterCall *call =
      leader_runs && pick (day, 2) ? fleet_find_direct_call (machine, leader) : NULL;
  if (call) {
    message->orders = g_strdup (call->body);
    if (pick (day, 2)) /* else the call is also carried out now, and this is a duplicate */
      cluster_lose (cluster, call);
  } else if (leader_runs && pick (day, 2) &&
             (call = cluster_find_call (cluster, leader, "/commit", NULL)) && call->held)
    message->write = cluster_delay (cluster, call);
  else if (!machine->deleted)
    message->heartbeat = fleet_heartbeat_text (machine);
  g_ptr_array_add (day->delayed, message);
}

static void
deliver_delayed (Day *day, gboolean all)
{
  Cluster *cluster = day->fleet->cluster;
  for (guint i = 0; i < day->delayed->len;) {
    DelayedMessage *message = day->delayed->pdata[i];
    if (message->at > cluster->now && !all) {
      i++;
      continue;
    }
    if (message->write)
      cluster_carry_out_delayed (cluster, message->write);
    if (message->orders)
      fleet_apply_direct_call (message->machine, message->orders);
    if (message->heartbeat && cluster->nodes[message->node].core)
      fleet_deliver_heartbeat (day->fleet,
                               pick (day, 2) ? MAX (0, cluster_leader (cluster)) : message->node,
                               message->heartbeat);
    g_ptr_array_remove_index (day->delayed, i);
  }
}

static void
end_tasks (Day *day, gboolean all_done)
{
  FleetMachine *machine = day->machines[pick (day, MACHINES)];
  if (!machine->tasks->len || machine->is_hung)
    return;
  FleetTask *task = machine->tasks->pdata[pick (day, machine->tasks->len)];
  g_autofree char *task_id = g_strdup (task->task_id);
  fleet_exit_task (machine, task_id, all_done || pick (day, 5) ? "done" : "error");
}

static void
end_faults (Day *day, gboolean all)
{
  Cluster *cluster = day->fleet->cluster;
  for (int i = 0; i < NODES; i++) {
    if (day->node_until[i] > cluster->now && !all)
      continue;
    if (day->frozen[i])
      fleet_thaw (day->fleet, i);
    day->frozen[i] = FALSE;
    cluster->nodes[i].store_available = TRUE;
    if (!cluster->nodes[i].core)
      cluster_start_node (cluster, i);
    g_array_index (cluster->nodes[i].settings->teams, HrTeam, 0).cpus_max = CPUS_MAX;
  }
  for (int i = 0; i < MACHINES; i++) {
    FleetMachine *machine = day->machines[i];
    if (day->machine_until[i] > cluster->now && !all)
      continue;
    machine->sends_heartbeats = machine->receives_answers = machine->receives_direct_calls = TRUE;
    machine->is_hung = FALSE;
    machine->only_node = -1;
    if (machine->deleted) { /* a new machine replaces it */
      g_autofree char *name = g_strdup_printf ("m-%u", 100 + day->fleet->machines->len);
      day->machines[i] = fleet_machine (day->fleet, name, i % 2 ? "z1" : "z0");
      day->machines[i]->node = pick (day, NODES);
    }
  }
  cluster->store_outage = cluster->now < day->outage_until && !all;
  cluster->exchange_statuses = cluster->now >= day->peers_cut_until || all;
  day->fleet->cloud_deletes = cluster->now >= day->cloud_until || all;
}

static void
inject_event (Day *day)
{
  Cluster *cluster = day->fleet->cluster;
  switch (pick (day, 12)) {
  case 0:
    inject_node_fault (day);
    break;
  case 1:
  case 2:
  case 3:
    inject_machine_fault (day);
    break;
  case 4:
  case 5:
    delay_message (day);
    break;
  case 6:
    if (cluster->now > day->outage_until + 20)
      day->outage_until = cluster->now + draw (day, 2, 45);
    break;
  case 7:
    day->peers_cut_until = cluster->now + draw (day, 1, 12);
    break;
  case 8:
    day->cloud_until = cluster->now + draw (day, 1, 25);
    break;
  case 9:
  case 10:
    end_tasks (day, FALSE);
    break;
  default:
    fleet_release_calls (day->fleet);
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
  day->delayed = g_ptr_array_new_with_free_func (delayed_message_free);
  day->requests = g_ptr_array_new_with_free_func (user_request_free);
  day->accepted = g_ptr_array_new_with_free_func (g_free);
  day->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < MACHINES; i++) {
    g_autofree char *name = g_strdup_printf ("m-%d", i);
    day->machines[i] = fleet_machine (day->fleet, name, i % 2 ? "z1" : "z0");
  }
  end_faults (day, TRUE);
  fleet_run (day->fleet, 3);
}

/* Returns whether the job is done, or cancelled at its user's request; prints its state if not. */
static gboolean
job_finished (Day *day, const char *id, guint seed)
{
  const FleetJob *job = g_hash_table_lookup (day->fleet->jobs, id);
  const char *state = fleet_job_state (day->fleet, pick (day, NODES), id);
  gboolean cancelled = g_hash_table_contains (day->cancelled, id);
  if (g_strcmp0 (state, "done") == 0 || (cancelled && g_strcmp0 (state, "withdrawn") == 0))
    return TRUE;
  print_message ("seed %u: at the end %s is %s, %u of %u tasks done\n", seed, id,
                 state ? state : "unknown", job->n_done, job->tasks);
  return FALSE;
}

static guint
play (guint seed)
{
  Day storage, *day = &storage;
  day_begin (day, seed);
  Cluster *cluster = day->fleet->cluster;
  double faults_end = cluster->now + FAULTS_S;
  while (cluster->now < faults_end) {
    end_faults (day, FALSE);
    inject_event (day);
    if (!pick (day, 5) && day->jobs < 25)
      submit (day);
    for (int i = 0; i < 2 && day->jobs; i++) {
      g_autofree char *id = g_strdup_printf ("job-%u", pick (day, day->jobs));
      send_user_request (day, id, NULL, !pick (day, 8));
    }
    fleet_run (day->fleet, draw (day, 0.1, 1));
    deliver_delayed (day, FALSE);
    receive_answers (day);
  }
  fleet_release_calls (day->fleet);
  end_faults (day, TRUE);
  deliver_delayed (day, TRUE);
  for (int i = 0; i < RECOVERY_S; i++) {
    end_faults (day, TRUE);
    for (int k = 0; k < MACHINES; k++) /* tasks end soon, so that queued jobs can run */
      end_tasks (day, TRUE);
    fleet_run (day->fleet, 1);
    receive_answers (day);
  }
  guint violations = 0;
  for (guint i = 0; i < day->accepted->len; i++)
    violations += !job_finished (day, day->accepted->pdata[i], seed);
  for (guint i = 0; i < MIN (day->fleet->violations->len, 4); i++)
    print_message ("seed %u: %s\n", seed, (char *)day->fleet->violations->pdata[i]);
  violations += day->fleet->violations->len;
  if (g_getenv ("HR_SIM_VERBOSE"))
    print_message ("seed %u: %u jobs, %u starts, epoch %" G_GUINT64_FORMAT "\n", seed, day->jobs,
                   day->fleet->task_starts, cluster->store_revision);
  g_ptr_array_set_size (day->fleet->violations, 0);
  g_ptr_array_unref (day->delayed);
  g_ptr_array_unref (day->requests);
  g_ptr_array_unref (day->accepted);
  g_hash_table_unref (day->cancelled);
  g_rand_free (day->rand);
  fleet_check_and_free (day->fleet);
  return violations;
}

/* Plays the seeds from_seed to end_seed - 1. */
static guint from_seed = 1, end_seed = 61;

static void
random_fault_days_break_no_rule (void **state G_GNUC_UNUSED)
{
  guint violations = 0;
  for (guint seed = from_seed; seed < end_seed; seed++)
    violations += play (seed);
  assert_int_equal (violations, 0);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {cmocka_unit_test (random_fault_days_break_no_rule)};
  if (argc > 2) {
    from_seed = strtoul (argv[1], NULL, 10);
    end_seed = strtoul (argv[2], NULL, 10);
  }
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
