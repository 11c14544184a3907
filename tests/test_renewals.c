/* An answer that renews a worker's lease names a stop for each of its tasks that must not run.
 * Checked message by message (scripted_fleet.h) and with generated heartbeats.
 * src/protocol/wire_names.h explains the fields of heartbeats and orders. */
#include "scripted_fleet.h"
#include "coordination/invariant.h"
#include "coordination/agents/lease_renewal.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define REPORTS 3000
#define SEED 20261202

static gboolean
task_runs (Fleet *fleet, gpointer piece)
{
  return fleet_count_running (fleet, piece) > 0;
}

static FleetMachine *
machine_running (Fleet *fleet, const char *job_id)
{
  g_autofree char *piece = g_strconcat (job_id, "/0", NULL);
  FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  fleet_submit (fleet, 0, job_id, NULL);
  fleet_run_until (fleet, task_runs, piece, 8);
  fleet_run (fleet, 3);
  return machine;
}

/* Returns the fencing token ("b") in the leader record (h/map). */
static guint64
current_token (Fleet *fleet)
{
  json_t *map = json_loads (cluster_value (fleet->cluster, "h/map"), 0, NULL);
  guint64 number = json_integer_value (json_object_get (map, "b"));
  json_decref (map);
  return number;
}

static gboolean
another_leads (Fleet *fleet, gpointer before)
{
  int leader = cluster_leader (fleet->cluster);
  return current_token (fleet) > *(guint64 *)before && leader >= 0 &&
         fleet->cluster->nodes[leader].core;
}

/* Ends the leader and waits until another controller leads. The machine reaches no controller
 * in the meantime. */
static void
change_leader (Fleet *fleet, FleetMachine *machine)
{
  guint64 before = current_token (fleet);
  machine->sends_heartbeats = FALSE;
  cluster_stop_node (fleet->cluster, cluster_leader (fleet->cluster));
  fleet_run_until (fleet, another_leads, &before, 12);
  fleet_run (fleet, 0.5);
}

/* Returns the orders in the answer to the heartbeat; NULL if the answer renews no lease. */
static json_t *
orders_of_renewal (Fleet *fleet, int node, const char *report)
{
  guint64 id = cluster_request (fleet->cluster, node, HR_POST, "/hello", report);
  const ClusterReply *reply = cluster_reply (fleet->cluster, node, id);
  return reply && reply->status == 200 ? json_object_get (reply->body, "orders") : NULL;
}

/* Returns whether the orders name a stop for that attempt of the task. */
static gboolean
names_stop (json_t *orders, const char *piece, int attempt)
{
  size_t i;
  json_t *order;
  json_array_foreach (orders, i, order)
  {
    if (strcmp (hr_json_str (order, "verb"), "kill") == 0 &&
        strcmp (hr_json_str (order, "piece"), piece) == 0 &&
        json_integer_value (json_object_get (order, "try")) == attempt)
      return TRUE;
  }
  return FALSE;
}

/* ---- heartbeats of a cancelled job's tasks ---- */

static gboolean
answered_by_the_leader (Fleet *fleet, gpointer machine)
{
  return ((FleetMachine *)machine)->token == current_token (fleet);
}

/* Each leader ends right after its first answer to the worker, which renews the lease. Unless that
 * answer names the stop, the task of a job that every leader knows to be cancelled outlives
 * cancel_s, although the worker follows the protocol. */
static void
leaders_that_end_after_their_first_answer (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_new (3);
  Cluster *cluster = fleet->cluster;
  FleetMachine *machine = machine_running (fleet, "job-a");
  machine->receives_direct_calls = machine->sends_heartbeats = FALSE;
  fleet_cancel (fleet, (cluster_leader (cluster) + 1) % 3, "job-a");
  double cancelled_at = cluster->now;
  while (cluster->now < cancelled_at + fleet->cancel_s + 2 && !fleet->violations->len) {
    int leader = cluster_leader (cluster);
    guint64 before = current_token (fleet);
    cluster_stop_node (cluster, leader);
    fleet_run_until (fleet, another_leads, &before, 10);
    cluster_start_node (cluster, leader);
    machine->sends_heartbeats = TRUE;
    machine->node = cluster_leader (cluster);
    machine->next_heartbeat_at = cluster->now;
    fleet_run_until (fleet, answered_by_the_leader, machine, 5);
  }
  assert_int_equal (machine->incarnation, 1); /* its lease never ran out */
  fleet_check_and_free (fleet);
}

static void
a_report_from_before_the_token_gets_the_stop (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_new (2);
  FleetMachine *machine = machine_running (fleet, "job-a");
  machine->receives_direct_calls = machine->sends_heartbeats = FALSE;
  fleet_cancel (fleet, 0, "job-a");
  change_leader (fleet, machine);
  g_autofree char *report = fleet_heartbeat_text (machine);
  json_t *orders = orders_of_renewal (fleet, cluster_leader (fleet->cluster), report);
  assert_non_null (orders);
  assert_true (names_stop (orders, "job-a/0", 1));
  /* No other order, since the age of the heartbeat is unknown. */
  assert_int_equal (json_array_size (orders), 1);
  fleet_check_and_free (fleet);
}

static void
an_out_of_order_report_gets_the_stop (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_new (2);
  FleetMachine *machine = machine_running (fleet, "job-a");
  machine->receives_direct_calls = machine->sends_heartbeats = FALSE;
  fleet_cancel (fleet, 0, "job-a");
  int leader = cluster_leader (fleet->cluster);
  g_autofree char *older = fleet_heartbeat_text (machine), *newer = fleet_heartbeat_text (machine);
  assert_true (names_stop (orders_of_renewal (fleet, leader, newer), "job-a/0", 1));
  json_t *orders = orders_of_renewal (fleet, leader, older);
  assert_true (names_stop (orders, "job-a/0", 1));
  assert_int_equal (json_array_size (orders), 1);
  fleet_check_and_free (fleet);
}

/* The heartbeat was sent before the direct launch arrived and is answered after the
 * cancellation. */
static void
a_task_that_the_report_lacks_gets_the_stop (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_new (2);
  FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  machine->sends_heartbeats = FALSE;
  g_autofree char *before = fleet_heartbeat_text (machine);
  fleet_submit (fleet, 0, "job-a", NULL);
  fleet_run_until (fleet, task_runs, "job-a/0", 8);
  machine->receives_direct_calls = FALSE;
  fleet_cancel (fleet, 0, "job-a");
  json_t *orders = orders_of_renewal (fleet, cluster_leader (fleet->cluster), before);
  assert_true (names_stop (orders, "job-a/0", 1));
  fleet_check_and_free (fleet);
}

/* ---- a launch that is still in flight ---- */

/* The launch of a cancelled job is in flight for longer than the leader may keep renewing the
 * lease, the write of a higher fencing token, which would invalidate the launch, gets no answer,
 * and the cloud deletes no machine. The worker's lease has to run out in time. */
static void
a_launch_in_flight_lets_the_lease_expire (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_new (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  int leader = cluster_leader (cluster);
  machine->sends_heartbeats = fleet->cloud_deletes = FALSE;
  ClusterCall *late = cluster_delay (cluster, fleet_launch_call (fleet, machine, leader, "job-a"));
  fleet_cancel (fleet, 1 - leader, "job-a");
  double cancelled_at = cluster->now;
  cluster_hold (cluster, leader, "/commit", "h/map");
  machine->sends_heartbeats = TRUE;
  while (cluster->now < cancelled_at + fleet->cancel_s - fleet->lease_s + 3) {
    fleet_run (fleet, 0.5);
    ClusterCall *token_write = cluster_find_call (cluster, leader, "/commit", "h/map");
    if (token_write && cluster->now - token_write->sent > token_write->timeout)
      cluster_lose (cluster, token_write);
  }
  fleet_apply_direct_call (machine, late->body);
  cluster_carry_out_delayed (cluster, late);
  machine->sends_heartbeats = FALSE;
  fleet_run (fleet, fleet->lease_s + 2);
  fleet_check_and_free (fleet);
}

/* ---- generated heartbeats ---- */

static const char *const task_states[] = {"fetching", "gathering", "running", "flushing", "exited"};

/* Returns a heartbeat with tasks of known, unknown and cancelled jobs, and random attempts,
 * sequence numbers and fencing tokens. */
static json_t *
generated_report (GRand *rand, guint64 newest_token)
{
  static const char *const jobs[] = {"job-a", "job-b", "job-c", "job-d", "job-unknown"};
  json_t *pieces = json_array ();
  for (int n = g_rand_int_range (rand, 0, 7); n > 0; n--) {
    g_autofree char *piece =
        g_strdup_printf ("%s/%d", jobs[g_rand_int_range (rand, 0, G_N_ELEMENTS (jobs))],
                         g_rand_int_range (rand, 0, 3));
    json_t *item = json_pack ("{sssiss}", "piece", piece, "try", g_rand_int_range (rand, 0, 3),
                              "stance", task_states[g_rand_int_range (rand, 0, 5)]);
    if (g_rand_boolean (rand))
      json_object_set_new (item, "cause", json_string (g_rand_boolean (rand) ? "done" : "halted"));
    json_array_append_new (pieces, item);
  }
  return json_pack ("{sssssssssbsisisIsnso}", "rockhand", g_rand_boolean (rand) ? "m-1" : "m-2",
                    "addr", "m-1", "hull", "g2", "quarry", "z0", "loaners", 0, "tenure",
                    g_rand_int_range (rand, 1, 4), "tally", g_rand_int_range (rand, 1, 400),
                    "baton", (json_int_t)newest_token - g_rand_int_range (rand, -1, 3), "warning_s",
                    "pieces", pieces);
}

/* Checks that the orders stop every task in the heartbeat that has not exited and whose job is in
 * ended_jobs. */
static void
check_answer (json_t *report, json_t *orders, const char *const *ended_jobs)
{
  size_t i;
  json_t *item;
  json_array_foreach (json_object_get (report, "pieces"), i, item)
  {
    const char *piece = hr_json_str (item, "piece");
    g_autofree char *job_id = g_strndup (piece, strcspn (piece, "/"));
    if (!g_strv_contains (ended_jobs, job_id) ||
        strcmp (hr_json_str (item, "stance"), "exited") == 0)
      continue;
    if (!names_stop (orders, piece, json_integer_value (json_object_get (item, "try")))) {
      g_autofree char *text = json_dumps (report, JSON_COMPACT);
      fail_msg ("no stop for %s in the answer to %s", piece, text);
    }
  }
}

static void
generated_reports_get_their_stops (void **state G_GNUC_UNUSED)
{
  static const char *const ended_jobs[] = {"job-b", "job-c", NULL};
  Fleet *fleet = fleet_new (2);
  FleetMachine *machine = machine_running (fleet, "job-a");
  fleet_submit (fleet, 0, "job-b", NULL);
  fleet_run_until (fleet, task_runs, "job-b/0", 8);
  fleet_exit_task (machine, "job-b/0", "done");
  fleet_submit (fleet, 0, "job-c", NULL);
  fleet_run_until (fleet, task_runs, "job-c/0", 8);
  fleet_run (fleet, 6);
  assert_string_equal (fleet_job_state (fleet, 0, "job-b"), "done");
  machine->sends_heartbeats = machine->receives_direct_calls = FALSE;
  fleet_submit (fleet, 0, "job-d", NULL);
  fleet_cancel (fleet, 0, "job-c");
  change_leader (fleet, machine);
  int leader = cluster_leader (fleet->cluster);
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  guint renewed = 0;
  for (int i = 0; i < REPORTS; i++) {
    json_t *report = generated_report (rand, current_token (fleet));
    g_autofree char *text = json_dumps (report, JSON_COMPACT);
    json_t *orders = orders_of_renewal (fleet, leader, text);
    if (orders)
      check_answer (report, orders, ended_jobs);
    renewed += orders != NULL;
    json_decref (report);
  }
  assert_true (renewed > REPORTS / 20);
  fleet_check_and_free (fleet);
}

/* ---- the check of the orders ---- */

/* The check is independent of the code that compiles the orders. It finds a missing stop both for a
 * task in the heartbeat and for one that only the record places on the machine. A release build
 * counts the violation and does not abort. */
static void
the_check_finds_a_missing_stop (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_new (2);
  FleetMachine *fleet_worker = machine_running (fleet, "job-a");
  fleet_worker->receives_direct_calls = fleet_worker->sends_heartbeats = FALSE;
  fleet_cancel (fleet, 0, "job-a");
  HrCore *core = fleet->cluster->nodes[cluster_leader (fleet->cluster)].core;
  HrMachine *machine = hr_machine_find (&core->store.tables, "m-1");
  g_autofree char *shown = fleet_heartbeat_text (fleet_worker);
  g_ptr_array_set_size (fleet_worker->tasks, 0);
  g_autofree char *empty = fleet_heartbeat_text (fleet_worker);
  g_autoptr (HrHeartbeat) with = hr_heartbeat_parse (shown, strlen (shown), NULL);
  g_autoptr (HrHeartbeat) without = hr_heartbeat_parse (empty, strlen (empty), NULL);
  g_autoptr (GArray) orders = hr_order_list_new ();
  g_autofree char *first = hr_lease_renewal_missing_stop (core, machine, with, orders);
  g_autofree char *second = hr_lease_renewal_missing_stop (core, machine, without, orders);
  assert_string_equal (first, "job-a/0");
  assert_string_equal (second, "job-a/0");
  hr_order_stop (orders, "job-a", 0, 2, 0);
  g_autofree char *other_attempt = hr_lease_renewal_missing_stop (core, machine, with, orders);
  assert_string_equal (other_attempt, "job-a/0");
  hr_order_stop (orders, "job-a", 0, 1, 0);
  assert_null (hr_lease_renewal_missing_stop (core, machine, with, orders));
  assert_null (hr_lease_renewal_missing_stop (core, machine, without, orders));
  hr_invariant_set_fatal (FALSE);
  hr_invariant_violated (core, "%s", "reported by a test");
  hr_invariant_set_fatal (TRUE);
  assert_int_equal (core->metrics.counters.invariants_violated, 1);
  fleet_check_and_free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (leaders_that_end_after_their_first_answer),
      cmocka_unit_test (a_report_from_before_the_token_gets_the_stop),
      cmocka_unit_test (an_out_of_order_report_gets_the_stop),
      cmocka_unit_test (a_task_that_the_report_lacks_gets_the_stop),
      cmocka_unit_test (a_launch_in_flight_lets_the_lease_expire),
      cmocka_unit_test (generated_reports_get_their_stops),
      cmocka_unit_test (the_check_finds_a_missing_stop),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
