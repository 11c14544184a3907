/* Interleavings (orders of messages) of heartbeats, leases and changes of leader, message by
 * message (scripted_fleet.h). docs/meetings.md describes the interleaving of each test and the
 * check in the controller without which it fails. */
#include "coordination/command.h"
#include "coordination/core.h"
#include "protocol/json_util.h"
#include "scripted_fleet.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* In the text of a record: the list of tasks with their machines (HR_RECORD_TASKS). */
#define RECORD_TASKS "\"x\""

/* ---- conditions for fleet_run_until ---- */

static gboolean
task_runs (Fleet *fleet, gpointer task_id)
{
  return fleet_count_running (fleet, task_id) > 0;
}

static gboolean
task_runs_nowhere (Fleet *fleet, gpointer task_id)
{
  return fleet_count_running (fleet, task_id) == 0;
}

static gboolean
c1_leads (Fleet *fleet, gpointer data G_GNUC_UNUSED)
{
  return cluster_leader (fleet->cluster) == 1;
}

/* Starts two or more controllers and restarts leaders until c0 leads. */
static Fleet *
fleet_led_by_c0 (int nodes)
{
  Fleet *fleet = fleet_new (nodes);
  Cluster *cluster = fleet->cluster;
  for (int i = 0; cluster_leader (cluster) != 0 && i < 10; i++) {
    int leader = cluster_leader (cluster);
    cluster_stop_node (cluster, leader);
    fleet_run (fleet, 6);
    cluster_start_node (cluster, leader);
    fleet_run (fleet, 3);
  }
  assert_int_equal (cluster_leader (cluster), 0);
  return fleet;
}

/* Submits a job of one task and waits until the task runs on the machine. */
static void
submit_and_run (Fleet *fleet, FleetMachine *machine, const char *id)
{
  g_autofree char *task_id = g_strconcat (id, "/0", NULL);
  fleet_submit (fleet, 0, id, NULL);
  fleet_run_until (fleet, task_runs, task_id, 8);
  assert_true (fleet_machine_runs (machine, task_id));
  fleet_run (fleet, 3);
}

/* Cuts the controller off from the state store, and all controllers from one another. Workers and
 * users still reach them. */
static void
cut_off_controller (Fleet *fleet, int node)
{
  fleet->cluster->nodes[node].store_available = FALSE;
  fleet->cluster->exchange_statuses = FALSE;
}

static json_t *
whole_machine (const char *id)
{
  json_t *body = cluster_job_body (id, 1);
  json_object_set_new (body, "vcpus", json_real (12));
  return body;
}

/* Returns the fencing token ("b") in the leader record (h/map). */
static guint64
current_token (Fleet *fleet)
{
  json_t *object = json_loads (cluster_value (fleet->cluster, "h/map"), 0, NULL);
  guint64 fencing_token = json_integer_value (json_object_get (object, "b"));
  json_decref (object);
  return fencing_token;
}

/* ---- the fencing token ---- */

/* The leader has to read the whole state store again and remains the leader. It no longer knows
 * which orders are in flight, so it has to raise its fencing token. */
static void
a_leader_that_rereads_raises_its_token (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0"),
               *second = fleet_machine (fleet, "m-2", "z0");
  second->sends_heartbeats = FALSE;
  fleet_run (fleet, 4);
  cluster_hold (cluster, 0, "/changes", NULL);
  first->sends_heartbeats = FALSE;
  guint64 before = current_token (fleet);
  ClusterCall *late = cluster_delay (cluster, fleet_launch_call (fleet, first, 0, "job-a"));
  /* The leader's next read of changes finds that those since its last read are discarded. */
  fleet_submit (fleet, 1, "job-b", NULL);
  cluster_compact_changes (cluster);
  fleet_release_calls (fleet);
  fleet_run (fleet, 1);
  /* The machine's heartbeats lack the task, and the machine is about to be preempted: the task is
   * placed on another machine. */
  fleet->cloud_deletes = FALSE;
  second->sends_heartbeats = first->sends_heartbeats = TRUE;
  first->preemption_in_s = 60;
  fleet_run (fleet, 9);
  fleet_apply_direct_call (first, late->body);
  cluster_carry_out_delayed (cluster, late);
  fleet_run (fleet, 8);
  assert_true (fleet_machine_runs (second, "job-a/0"));
  assert_int_equal (cluster_leader (cluster), 0);
  gboolean raised = current_token (fleet) > before;
  fleet_check_and_free (fleet);
  assert_true (raised);
}

/* The leader's process restarts within a fraction of a second and takes over the leader lock of its
 * predecessor: a launch of the predecessor that is still in flight is rejected. */
static void
a_leader_that_restarts_at_once_raises_its_token (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0"),
               *second = fleet_machine (fleet, "m-2", "z0");
  second->sends_heartbeats = FALSE;
  fleet_run (fleet, 4);
  first->sends_heartbeats = FALSE;
  guint64 before = current_token (fleet);
  ClusterCall *late = cluster_delay (cluster, fleet_launch_call (fleet, first, 0, "job-a"));
  cluster_stop_node (cluster, 0);
  fleet_run (fleet, 0.3);
  cluster_start_node (cluster, 0);
  fleet->cloud_deletes = FALSE;
  first->preemption_in_s = 60;
  first->sends_heartbeats = second->sends_heartbeats = TRUE;
  fleet_run (fleet, 12);
  assert_int_equal (cluster_leader (cluster), 0);
  assert_true (fleet_machine_runs (second, "job-a/0"));
  gboolean raised = current_token (fleet) > before;
  int status = fleet_apply_direct_call (first, late->body);
  cluster_carry_out_delayed (cluster, late);
  fleet_check_and_free (fleet);
  assert_true (raised);
  assert_int_equal (status, 409);
}

/* A launch timed out and is still in flight when its job is cancelled. Heartbeats that lack the
 * task prove nothing until the worker has seen a newer fencing token. */
static void
a_late_launch_of_a_cancelled_job_is_rejected (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  machine->sends_heartbeats = FALSE;
  guint64 before = current_token (fleet);
  ClusterCall *late = cluster_delay (cluster, fleet_launch_call (fleet, machine, 0, "job-a"));
  fleet_cancel (fleet, 1, "job-a");
  fleet_run (fleet, 1);
  machine->sends_heartbeats = TRUE;
  machine->node = 0;
  fleet_run (fleet, 10);
  assert_true (current_token (fleet) > before);
  guint starts = fleet->task_starts;
  assert_int_equal (fleet_apply_direct_call (machine, late->body), 409);
  cluster_carry_out_delayed (cluster, late);
  assert_int_equal (fleet->task_starts, starts);
  fleet_check_and_free (fleet);
}

/* A launch was carried out, and a copy of it arrives long after the task's end. Until the worker
 * has seen a newer fencing token, its heartbeats keep the task, so that the copy changes
 * nothing. */
static void
a_duplicate_launch_after_the_task_ended_is_ignored (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *machine = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  ClusterCall *call = fleet_launch_call (fleet, machine, 0, "job-a");
  g_autofree char *copy = g_strdup (call->body);
  machine->receives_direct_calls = TRUE;
  fleet_run (fleet, 3);
  assert_true (fleet_machine_runs (machine, "job-a/0"));
  fleet_exit_task (machine, "job-a/0", "done");
  fleet_run (fleet, 8);
  assert_string_equal (fleet_job_state (fleet, 1, "job-a"), "done");
  guint starts = fleet->task_starts;
  fleet_apply_direct_call (machine, copy);
  assert_int_equal (fleet->task_starts, starts);
  (void)cluster;
  fleet_check_and_free (fleet);
}

/* ---- leases ---- */

/* The leader is cut off from the state store and from the other controller; its worker and users
 * still reach it. It stops answering in time: the task of a job that is cancelled through the next
 * leader ends, and other tasks are placed again only when they have certainly ended. */
static void
a_partitioned_leader_steps_down (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  submit_and_run (fleet, first, "job-b");
  first->only_node = 0;
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  second->only_node = 1;
  fleet->cloud_deletes = FALSE;
  cut_off_controller (fleet, 0);
  fleet_run_until (fleet, c1_leads, NULL, 12);
  fleet_run (fleet, 0.5);
  assert_true (fleet_machine_runs (first, "job-a/0"));
  fleet_cancel (fleet, 1, "job-a");
  fleet_run (fleet, fleet->cluster->policy.alone_s + fleet->lease_s);
  /* c0 knows of no outage of the state store that affects all members, so it stops answering after
   * alone_s and not only after hold_s. */
  assert_true (first->incarnation > 1);
  fleet_run (fleet, fleet->cancel_s);
  assert_false (fleet_machine_runs (first, "job-a/0"));
  fleet_run_until (fleet, task_runs, "job-b/0", 40);
  assert_true (fleet_machine_runs (second, "job-b/0"));
  fleet_check_and_free (fleet);
}

/* Several machines with long tasks reach only a former leader, which keeps answering them for a
 * while. The new leader leaves their tasks assigned until the former leader has certainly stopped
 * answering and a lease has passed since. */
static void
a_new_leader_waits_for_leases_that_a_former_one_renewed (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *machines[4];
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++) {
    g_autofree char *name = g_strdup_printf ("m-%u", i), *id = g_strdup_printf ("job-%u", i);
    machines[i] = fleet_machine (fleet, name, "z0");
    fleet_run (fleet, 4);
    fleet_submit (fleet, 0, id, whole_machine (id));
    fleet_run (fleet, 4);
    assert_int_equal (machines[i]->tasks->len, 1);
  }
  cut_off_controller (fleet, 0);
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++)
    machines[i]->only_node = 0;
  FleetMachine *spare = fleet_machine (fleet, "m-9", "z0");
  spare->only_node = 1;
  fleet_run_until (fleet, c1_leads, NULL, 12);
  guint starts = fleet->task_starts;
  fleet_run (fleet, 10);
  assert_int_equal (fleet->task_starts, starts); /* the tasks may still run */
  fleet_run (fleet, 40);
  assert_true (fleet->task_starts > starts);
  fleet_check_and_free (fleet);
}

/* A machine's heartbeats reach the new leader, but the answers are lost. Its task is placed again
 * only when a heartbeat shows that the worker's incarnation is over, and then at once: long before
 * a machine that is being returned would count as ended without such a heartbeat. */
static void
a_machine_with_inbound_loss_keeps_its_task_until_its_incarnation_ends (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  fleet_run (fleet, 4);
  fleet->cloud_deletes = FALSE;
  first->receives_answers = first->receives_direct_calls = FALSE;
  cluster_stop_node (fleet->cluster, 0);
  fleet_run_until (fleet, c1_leads, NULL, 12);
  fleet_run (fleet, fleet->cluster->policy.silent_s + 8);
  assert_true (first->incarnation > 1);
  assert_true (fleet_machine_runs (second, "job-a/0"));
  fleet_check_and_free (fleet);
}

/* A machine reaches no controller, but direct orders reach the machine. They stop the task of a
 * cancelled job. Another task is placed again only after the lease, which direct orders do not
 * renew. */
static void
a_machine_with_outbound_loss_gets_direct_orders (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  submit_and_run (fleet, first, "job-b");
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  fleet_run (fleet, 4);
  fleet->cloud_deletes = FALSE;
  first->sends_heartbeats = FALSE;
  fleet_cancel (fleet, 1, "job-a");
  fleet_run_until (fleet, task_runs_nowhere, "job-a/0", 2);
  assert_int_equal (first->incarnation, 1);
  fleet_run (fleet, 20);
  assert_true (first->incarnation > 1);
  assert_true (fleet_machine_runs (second, "job-b/0"));
  fleet_check_and_free (fleet);
}

/* The cloud answers no deletion. The tasks of a machine that is being returned wait no longer than
 * its lease, since no controller has answered the machine after its last heartbeat. */
static void
a_deletion_without_answer_holds_tasks_no_longer_than_a_lease (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 20);
  submit_and_run (fleet, first, "job-a");
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  fleet_run (fleet, 4);
  fleet->cloud_deletes = FALSE;
  first->sends_heartbeats = FALSE; /* the leader returns a silent machine */
  fleet_run (fleet, fleet->lease_s + 6);
  assert_true (first->incarnation > 1);
  assert_true (fleet_machine_runs (second, "job-a/0"));
  fleet_check_and_free (fleet);
}

/* A hung machine resumes within its lease, after its job was cancelled. The task is stopped then,
 * and the record names the task's machine until a heartbeat shows that. */
static void
a_task_on_a_hung_machine_is_stopped_when_it_resumes (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  fleet->cloud_deletes = FALSE;
  fleet_send_heartbeat (first, 0);
  first->is_hung = TRUE;
  first->node = 0;
  fleet_cancel (fleet, 1, "job-a");
  fleet_run (fleet, 5);
  assert_true (fleet_machine_runs (first, "job-a/0"));
  assert_true (fleet_job_record_contains (fleet, "job-a", RECORD_TASKS));
  first->is_hung = FALSE;
  fleet_run (fleet, 3);
  assert_false (fleet_machine_runs (first, "job-a/0"));
  assert_int_equal (first->incarnation, 1); /* stopped by an order, not by the end of the lease */
  assert_false (fleet_job_record_contains (fleet, "job-a", RECORD_TASKS));
  fleet_check_and_free (fleet);
}

/* The leader launches a task whose job another controller has just confirmed as cancelled. The task
 * is stopped as soon as the leader reads the cancellation, and does not start again. */
static void
a_launch_after_an_unread_cancellation_is_stopped (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  cluster_hold (cluster, 0, "/commit", "m-1");
  fleet_submit (fleet, 1, "job-a", NULL);
  for (int i = 0; i < 60 && !cluster_find_call (cluster, 0, "/commit", "m-1"); i++)
    fleet_run (fleet, 0.05);
  ClusterCall *write = cluster_find_call (cluster, 0, "/commit", "m-1");
  assert_non_null (write);
  cluster_carry_out (cluster, write);
  cluster_hold (cluster, 0, "/changes", NULL);
  fleet_cancel (fleet, 1, "job-a");
  cluster_answer (cluster, write); /* the leader launches the recorded assignment */
  fleet_run (fleet, 0.5);
  assert_int_equal (fleet->task_starts, 1);
  fleet_release_calls (fleet);
  fleet_run_until (fleet, task_runs_nowhere, "job-a/0", 2);
  fleet_run (fleet, 10);
  assert_int_equal (fleet->task_starts, 1);
  fleet_check_and_free (fleet);
}

/* The state store refuses the leader alone, another controller confirms a cancellation, and right
 * after that the store is unavailable to all controllers, for longer than cancel_s. named: the
 * other controller names the cancellation to the leader in its statuses. */
static void
check_unread_cancellation (gboolean named)
{
  Fleet *fleet = fleet_led_by_c0 (3);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  first->only_node = 0;
  fleet->cluster->nodes[0].store_available = FALSE;
  fleet_run (fleet, 0.5);
  fleet->cluster->exchange_statuses = named;
  fleet_cancel (fleet, 1, "job-a");
  fleet->cluster->store_outage = TRUE;
  fleet_run (fleet, fleet->cancel_s + 6);
  assert_false (fleet_machine_runs (first, "job-a/0"));
  fleet_check_and_free (fleet);
}

static void
a_cancellation_that_the_leader_cannot_read_stops_its_task_in_time (void **state G_GNUC_UNUSED)
{
  check_unread_cancellation (FALSE);
  check_unread_cancellation (TRUE);
}

/* An assignment is recorded and its launch was lost. The state store refuses the leader alone, and
 * another controller confirms that the job is cancelled. The leader still answers its workers, but
 * launches nothing. */
static void
a_leader_refused_by_the_state_service_launches_nothing (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  first->sends_heartbeats = FALSE;
  fleet_launch_call (fleet, first, 0, "job-a");
  cut_off_controller (fleet, 0);
  fleet_cancel (fleet, 1, "job-a");
  fleet_run (fleet, 6);
  assert_int_equal (fleet_send_heartbeat (first, 0), 200);
  assert_int_equal (fleet->task_starts, 0);
  fleet_check_and_free (fleet);
}

/* A zone with a worker and a controller that does not lead is partitioned for longer than a lease.
 * That controller does not renew the worker's lease. */
static void
a_controller_in_a_partitioned_zone_renews_no_lease (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (3);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  fleet_run (fleet, 4);
  fleet->cloud_deletes = FALSE;
  first->only_node = 2;
  first->receives_direct_calls = FALSE;
  fleet->cluster->nodes[2].store_available = FALSE;
  fleet_run (fleet, fleet->lease_s + 8);
  assert_true (first->incarnation > 1);
  assert_true (fleet_machine_runs (second, "job-a/0"));
  fleet_check_and_free (fleet);
}

/* The leader is paused, resumes, and first receives a heartbeat of a worker that knows no newer
 * leader. The leader's latest read of the leader record is too old for an answer. */
static void
a_leader_that_was_paused_does_not_answer (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  first->only_node = 0;
  fleet_freeze (fleet, 0);
  fleet_run (fleet, fleet->cluster->policy.alone_s + 2);
  assert_int_equal (cluster_leader (fleet->cluster), 1);
  assert_true (first->token < current_token (fleet));
  g_autofree char *report = fleet_heartbeat_text (first);
  fleet_thaw (fleet, 0);
  assert_int_not_equal (fleet_deliver_heartbeat (fleet, 0, report), 200);
  first->only_node = -1;
  fleet_run (fleet, 10);
  assert_int_equal (fleet_count_running (fleet, "job-a/0"), 1);
  fleet_check_and_free (fleet);
}

/* During an outage of the state store, copies of a status keep arriving after the process that sent
 * it has ended. A status attests nothing newer than the leader's clock that it echoes, so the
 * leader stops answering in time. */
static void
late_copies_of_statuses_attest_nothing_new (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  submit_and_run (fleet, first, "job-a");
  cluster->store_outage = TRUE;
  fleet_run (fleet, 5);
  HrPeerStatus copy = cluster->nodes[1].status;
  cluster_stop_node (cluster, 1);
  for (int i = 0; i < cluster->policy.hold_s + 2; i++) {
    HrCommand *command = hr_command_new (HR_COMMAND_PEER_STATUS);
    *command->peer_status = copy;
    cluster_step (cluster, 0, command);
    fleet_run (fleet, 1);
  }
  assert_int_not_equal (fleet_send_heartbeat (first, 0), 200);
  fleet_check_and_free (fleet);
}

/* ---- machines that nobody expects ---- */

static void
add_unrecorded_task (FleetMachine *machine, const char *task_id)
{
  FleetTask *task = g_new0 (FleetTask, 1);
  *task = (FleetTask){.task_id = g_strdup (task_id), .attempt = 1};
  g_ptr_array_add (machine->tasks, task);
}

/* Its rental was carried out late, and it is back at once in another incarnation. */
static void
a_machine_that_no_controller_knows_keeps_its_task (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  fleet_run (fleet, 20);
  FleetMachine *machine = fleet_machine (fleet, "m-9", "z0");
  for (int i = 0; i < 2; i++) {
    add_unrecorded_task (machine, "job-x/0");
    fleet_run (fleet, 4 * fleet->report_s);
    assert_false (fleet_machine_runs (machine, "job-x/0"));
    machine->incarnation++;
  }
  fleet_check_and_free (fleet);
}

/* ---- heartbeats ---- */

/* A heartbeat of a deleted machine is delayed until the next leader has begun, and arrives there.
 * The leader places nothing on that machine. */
static void
a_delayed_report_of_a_deleted_machine_gets_no_task (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z1");
  fleet_run (fleet, 6);
  assert_true (first->token > 0);
  g_autofree char *report = fleet_heartbeat_text (first);
  first->deleted = TRUE;
  cluster_stop_node (fleet->cluster, 0);
  fleet_run_until (fleet, c1_leads, NULL, 12);
  fleet_run (fleet, 3);
  fleet_submit (fleet, 1, "job-a", NULL);
  fleet_deliver_heartbeat (fleet, 1, report);
  fleet_run (fleet, 5);
  assert_false (fleet_job_record_contains (fleet, "job-a", "m-1"));
  fleet_check_and_free (fleet);
}

/* An old heartbeat that lacks a task arrives after newer heartbeats that showed it. The cancelled
 * job's record names the task's machine until a heartbeat shows that the task has ended.
 * earlier_incarnation: the old heartbeat is from an earlier incarnation of the worker. */
static void
check_old_report (gboolean earlier_incarnation)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  g_autofree char *report = fleet_heartbeat_text (first);
  if (earlier_incarnation) { /* the sequence number alone does not show that the heartbeat is old */
    first->sequence += 100;
    g_free (report);
    report = fleet_heartbeat_text (first);
    first->sequence -= 101;
    first->sends_heartbeats = FALSE;
    first->lease_renewed_at -= fleet->lease_s;
    fleet_run (fleet, 0.1);
    first->sends_heartbeats = TRUE;
    fleet_run (fleet, 3);
    assert_int_equal (first->incarnation, 2);
  }
  submit_and_run (fleet, first, "job-a");
  fleet_send_heartbeat (first, 0);
  first->is_hung = TRUE;
  fleet_cancel (fleet, 1, "job-a");
  fleet_run (fleet, 3.5); /* the direct stop has timed out by now */
  fleet_deliver_heartbeat (fleet, 0, report);
  fleet_run (fleet, 1);
  assert_true (fleet_machine_runs (first, "job-a/0"));
  assert_true (fleet_job_record_contains (fleet, "job-a", RECORD_TASKS));
  first->is_hung = FALSE;
  fleet_run (fleet, 6);
  assert_false (fleet_machine_runs (first, "job-a/0"));
  assert_false (fleet_job_record_contains (fleet, "job-a", RECORD_TASKS));
  fleet_check_and_free (fleet);
}

static void
an_old_report_proves_nothing (void **state G_GNUC_UNUSED)
{
  check_old_report (FALSE);
}

static void
a_report_of_an_earlier_incarnation_proves_nothing (void **state G_GNUC_UNUSED)
{
  check_old_report (TRUE);
}

/* ---- records ---- */

/* The write that assigns a task to a new machine is delayed, and the leader stops. The leader has
 * not launched the task, since its assignment is not recorded; so the next leader may place it on
 * any machine, and the store rejects the delayed write. */
static void
nothing_is_launched_before_its_record (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  guint64 request = cluster_submit (cluster, 1, "job-a", 1);
  cluster_hold (cluster, 0, "/commit", "m-1");
  fleet_run (fleet, 3);
  assert_int_equal (cluster_reply_status (cluster, 1, request), 201);
  ClusterCall *write = cluster_find_call (cluster, 0, "/commit", "m-1");
  assert_non_null (write);
  assert_null (fleet_find_direct_call (first, 0));
  assert_int_equal (fleet->task_starts, 0);
  ClusterCall *late = cluster_delay (cluster, write);
  cluster_stop_node (cluster, 0);
  first->only_node = 1;
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  (void)second;
  fleet_run_until (fleet, c1_leads, NULL, 12);
  fleet_run (fleet, 1);
  assert_int_equal (cluster_carry_out_delayed (cluster, late),
                    409); /* a write of a former leader */
  fleet_run_until (fleet, task_runs, "job-a/0", 20);
  assert_int_equal (fleet->task_starts, 1);
  fleet_check_and_free (fleet);
}

/* Restarts the controllers with direct_launch = 0: orders go out only in the answers to
 * heartbeats. */
static void
disable_direct_launch (Fleet *fleet)
{
  Cluster *cluster = fleet->cluster;
  cluster->policy.direct_launch = 0;
  for (int i = cluster->n - 1; i >= 0; i--) {
    cluster_stop_node (cluster, i);
    cluster_start_node (cluster, i);
  }
  fleet_run (fleet, 8);
  assert_int_equal (cluster_leader (cluster), 0);
}

/* One task of two has ended, and the leader ends before that is recorded. The worker keeps
 * reporting the end, so the task does not run again; the job is done once the other task ends. */
static void
the_end_of_a_task_is_reported_until_it_is_recorded (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  Cluster *cluster = fleet->cluster;
  disable_direct_launch (fleet);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  fleet_submit (fleet, 0, "job-a", cluster_job_body ("job-a", 2));
  fleet_run_until (fleet, task_runs, "job-a/0", 8);
  fleet_run_until (fleet, task_runs, "job-a/1", 8);
  fleet_run (fleet, 3);
  cluster_hold (cluster, 0, "/commit", "job-a");
  fleet_exit_task (first, "job-a/0", "done");
  fleet_run (fleet, 6);
  assert_int_equal (first->tasks->len, 2);
  ClusterCall *write = cluster_find_call (cluster, 0, "/commit", "job-a");
  assert_non_null (write);
  ClusterCall *late = cluster_delay (cluster, write);
  cluster_stop_node (cluster, 0);
  fleet_run_until (fleet, c1_leads, NULL, 12);
  fleet_run (fleet, 1);
  cluster_carry_out_delayed (cluster, late);
  fleet_run (fleet, 10);
  assert_int_equal (fleet->task_starts, 2);
  assert_string_not_equal (fleet_job_state (fleet, 1, "job-a"), "done");
  fleet_exit_task (first, "job-a/1", "done");
  fleet_run (fleet, 8);
  assert_string_equal (fleet_job_state (fleet, 1, "job-a"), "done");
  assert_int_equal (fleet->task_starts, 2);
  fleet_check_and_free (fleet);
}

/* ---- limits and zones ---- */

static void
set_team_limit (Fleet *fleet, double cpus)
{
  for (int i = 0; i < fleet->cluster->n; i++)
    if (fleet->cluster->nodes[i].core)
      g_array_index (fleet->cluster->nodes[i].settings->teams, HrTeam, 0).cpus_max = cpus;
}

/* A team is at its limit, its job is cancelled, the leader changes, and the machine is unreachable.
 * The task counts against the limit until it has provably ended. */
static void
a_cancelled_task_counts_against_the_limit_until_it_is_gone (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  set_team_limit (fleet, 12);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0");
  fleet_run (fleet, 4);
  fleet_submit (fleet, 0, "job-a", whole_machine ("job-a"));
  fleet_run_until (fleet, task_runs, "job-a/0", 8);
  fleet_run (fleet, 3);
  FleetMachine *second = fleet_machine (fleet, "m-2", "z0");
  fleet_run (fleet, 4);
  fleet->cloud_deletes = FALSE;
  fleet_send_heartbeat (first, 0);
  first->sends_heartbeats = first->receives_direct_calls = FALSE;
  fleet_cancel (fleet, 1, "job-a");
  cluster_stop_node (fleet->cluster, 0);
  fleet_run_until (fleet, c1_leads, NULL, 12);
  fleet_submit (fleet, 1, "job-b", whole_machine ("job-b"));
  for (int i = 0; i < 60 && !fleet_machine_runs (second, "job-b/0"); i++) {
    fleet_run (fleet, 1);
    assert_true (fleet_count_running (fleet, "job-a/0") + fleet_count_running (fleet, "job-b/0") <=
                 1);
  }
  assert_true (fleet_machine_runs (second, "job-b/0"));
  fleet_check_and_free (fleet);
}

/* The first task of an array of two is on an unreachable machine in zone z1. The job's rule
 * (`together`: all tasks in one zone, `apart`: at most half of them in one zone) then allows no
 * task in other_zone, where the only other machine is. No task starts there until the first one has
 * provably ended. new_leader: the next leader knows the unreachable machine from the record alone,
 * without its zone. */
static void
check_bound_zone (gboolean new_leader, const char *rule, const char *other_zone)
{
  Fleet *fleet = fleet_led_by_c0 (2);
  FleetMachine *first = fleet_machine (fleet, "m-1", "z1");
  fleet_run (fleet, 4);
  json_t *body = cluster_job_body ("job-a", 2);
  json_object_set_new (body, rule, json_true ());
  json_object_set_new (body, "vcpus", json_real (12));
  fleet_submit (fleet, 0, "job-a", body);
  fleet_run_until (fleet, task_runs, "job-a/0", 8);
  fleet_run (fleet, 3);
  fleet->cloud_deletes = FALSE;
  first->sends_heartbeats = first->receives_direct_calls = FALSE;
  fleet_send_heartbeat (first, 0);
  if (new_leader) {
    cluster_stop_node (fleet->cluster, 0);
    fleet_run_until (fleet, c1_leads, NULL, 12);
  }
  FleetMachine *second = fleet_machine (fleet, "m-2", other_zone);
  for (int i = 0; i < 60 && !second->tasks->len; i++) {
    fleet_run (fleet, 1);
    assert_true (!fleet_machine_runs (first, "job-a/0") || !second->tasks->len);
  }
  assert_true (second->tasks->len > 0);
  fleet_check_and_free (fleet);
}

static void
a_task_that_may_still_run_binds_its_zone (void **state G_GNUC_UNUSED)
{
  check_bound_zone (FALSE, "together", "z0");
}

static void
a_task_that_may_still_run_counts_for_the_zone_spread (void **state G_GNUC_UNUSED)
{
  check_bound_zone (FALSE, "apart", "z1");
}

static void
an_unknown_zone_rules_out_all_zones (void **state G_GNUC_UNUSED)
{
  check_bound_zone (TRUE, "together", "z0");
  check_bound_zone (TRUE, "apart", "z1");
}

/* ---- the deployed policy ---- */

/* Checks the deployed policy for many values of lease_s and cancel_s, with clocks that drift apart
 * by 0.05%. A leader that cannot read a cancellation renews leases for up to hold_s; the last of
 * them ends before cancel_s has passed, and the next leader waits until after that. The
 * factor 1.002 is the drift allowance of the next leader (HR_LEASE_DRIFT_FACTOR). */
static void
the_deployed_policy_ends_leases_in_time (void **state G_GNUC_UNUSED)
{
  static const double drift = 0.0005;
  for (int i = 0; i < 22; i++)
    for (int k = 0; k < 13; k++) {
      const double lease = 5 + 2.5 * i, cancel_margin = 8 + 4 * k; /* below 60 s both */
      g_autoptr (GHashTable) vars = hr_policy_vars_new ();
      g_autoptr (GError) error = NULL;
      HrPolicy policy;
      hr_core_policy_vars (NULL, vars);
      hr_policy_vars_set (vars, "lease_s", lease);
      hr_policy_vars_set (vars, "report_s", lease / 5);
      hr_policy_vars_set (vars, "cancel_s", lease + cancel_margin);
      assert_true (hr_policy_load (SOURCE_ROOT "/deploy/policy.hop", vars, &policy, &error));
      assert_true (hr_core_policy_check (&policy, vars, &error));
      double ends = (policy.hold_s + lease) * (1 + drift);
      assert_true (ends < lease + cancel_margin);
      assert_true (policy.hold_s + lease * 1.002 + policy.lease_margin_s > ends);
      policy.hold_s = cancel_margin;
      assert_false (hr_core_policy_check (&policy, vars, &error));
    }
}

/* ---- changes of leader ---- */

/* The leader changes ten times in two minutes, once during an outage, while machines hang or lose
 * answers and a job is cancelled. */
static void
ten_leaders_in_two_minutes (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (3);
  Cluster *cluster = fleet->cluster;
  FleetMachine *machines[5];
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++) {
    g_autofree char *name = g_strdup_printf ("m-%u", i);
    machines[i] = fleet_machine (fleet, name, "z0");
  }
  fleet_run (fleet, 4);
  fleet_submit (fleet, 1, "job-a", cluster_job_body ("job-a", 6));
  fleet_submit (fleet, 2, "job-b", cluster_job_body ("job-b", 6));
  fleet_run (fleet, 8);
  for (int i = 0; i < 10; i++) {
    int leader = cluster_leader (cluster);
    guint64 before = current_token (fleet);
    g_autofree char *report = fleet_heartbeat_text (machines[i % 5]);
    machines[(i + 1) % 5]->is_hung = i % 3 == 0;
    machines[(i + 2) % 5]->receives_answers = i % 4 != 1;
    cluster_stop_node (cluster, leader);
    cluster->store_outage = i == 5;
    fleet_run (fleet, 5);
    if (i == 4)
      fleet_cancel (fleet, (leader + 1) % 3, "job-b");
    cluster_start_node (cluster, leader);
    fleet_run (fleet, 6);
    cluster->store_outage = FALSE;
    for (int k = 0; k < 3; k++)
      if (cluster->nodes[k].core)
        fleet_deliver_heartbeat (fleet, k, report);
    fleet_run (fleet, 1);
    assert_true (i == 5 || current_token (fleet) > before);
  }
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++) {
    machines[i]->receives_answers = TRUE;
    machines[i]->is_hung = FALSE;
  }
  fleet_run (fleet, 60);
  guint runs = 0;
  for (int i = 0; i < 6; i++) {
    g_autofree char *task_id = g_strdup_printf ("job-a/%d", i);
    runs += fleet_count_running (fleet, task_id);
  }
  assert_int_equal (runs, 6);
  fleet_check_and_free (fleet);
}

/* All controllers are down for longer than a lease, so all tasks end. One controller then starts,
 * stops after 2 s and starts again 0.4 s later. A heartbeat from before the downtime arrives, and
 * each task is launched exactly once more. */
static void
all_controllers_are_down_longer_than_a_lease (void **state G_GNUC_UNUSED)
{
  Fleet *fleet = fleet_led_by_c0 (3);
  Cluster *cluster = fleet->cluster;
  FleetMachine *first = fleet_machine (fleet, "m-1", "z0"),
               *second = fleet_machine (fleet, "m-2", "z0");
  fleet_run (fleet, 4);
  fleet_submit (fleet, 0, "job-a", cluster_job_body ("job-a", 4));
  fleet_run (fleet, 6);
  g_autofree char *report = fleet_heartbeat_text (first);
  for (int i = 0; i < 3; i++)
    cluster_stop_node (cluster, i);
  fleet_run (fleet, fleet->lease_s + 3);
  assert_int_equal (first->tasks->len + second->tasks->len, 0);
  cluster_start_node (cluster, 1);
  fleet_run (fleet, 2);
  cluster_stop_node (cluster, 1);
  fleet_run (fleet, 0.4);
  cluster_start_node (cluster, 1);
  fleet_run (fleet, 2);
  fleet_deliver_heartbeat (fleet, 1, report);
  fleet_run (fleet, 1);
  fleet_deliver_heartbeat (fleet, 1, report);
  fleet_run (fleet, 30);
  assert_int_equal (first->tasks->len + second->tasks->len, 4);
  assert_int_equal (fleet->task_starts, 8);
  cluster_start_node (cluster, 0);
  cluster_start_node (cluster, 2);
  fleet_run (fleet, 2);
  fleet_check_and_free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_leader_that_rereads_raises_its_token),
      cmocka_unit_test (a_leader_that_restarts_at_once_raises_its_token),
      cmocka_unit_test (a_late_launch_of_a_cancelled_job_is_rejected),
      cmocka_unit_test (a_duplicate_launch_after_the_task_ended_is_ignored),
      cmocka_unit_test (a_partitioned_leader_steps_down),
      cmocka_unit_test (a_new_leader_waits_for_leases_that_a_former_one_renewed),
      cmocka_unit_test (a_machine_with_inbound_loss_keeps_its_task_until_its_incarnation_ends),
      cmocka_unit_test (a_machine_with_outbound_loss_gets_direct_orders),
      cmocka_unit_test (a_deletion_without_answer_holds_tasks_no_longer_than_a_lease),
      cmocka_unit_test (a_task_on_a_hung_machine_is_stopped_when_it_resumes),
      cmocka_unit_test (a_launch_after_an_unread_cancellation_is_stopped),
      cmocka_unit_test (a_cancellation_that_the_leader_cannot_read_stops_its_task_in_time),
      cmocka_unit_test (a_leader_refused_by_the_state_service_launches_nothing),
      cmocka_unit_test (a_controller_in_a_partitioned_zone_renews_no_lease),
      cmocka_unit_test (a_leader_that_was_paused_does_not_answer),
      cmocka_unit_test (late_copies_of_statuses_attest_nothing_new),
      cmocka_unit_test (a_delayed_report_of_a_deleted_machine_gets_no_task),
      cmocka_unit_test (a_machine_that_no_controller_knows_keeps_its_task),
      cmocka_unit_test (an_old_report_proves_nothing),
      cmocka_unit_test (a_report_of_an_earlier_incarnation_proves_nothing),
      cmocka_unit_test (nothing_is_launched_before_its_record),
      cmocka_unit_test (the_end_of_a_task_is_reported_until_it_is_recorded),
      cmocka_unit_test (a_cancelled_task_counts_against_the_limit_until_it_is_gone),
      cmocka_unit_test (a_task_that_may_still_run_binds_its_zone),
      cmocka_unit_test (a_task_that_may_still_run_counts_for_the_zone_spread),
      cmocka_unit_test (an_unknown_zone_rules_out_all_zones),
      cmocka_unit_test (the_deployed_policy_ends_leases_in_time),
      cmocka_unit_test (ten_leaders_in_two_minutes),
      cmocka_unit_test (all_controllers_are_down_longer_than_a_lease),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
