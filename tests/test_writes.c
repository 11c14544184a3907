/* Interleavings of transactions whose answer is lost, late or a refusal with users' requests, the
 * end of a job and changes of leader, message by message (scripted_cluster.h).
 * docs/meetings.md describes the interleaving of each test and the check in the controller
 * without which it fails. */
#include "scripted_cluster.h"
#include "protocol/json_util.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* Queries of a read of the store's changes and of a watch (long poll). */
#define READ "hold_ms=0"
#define WATCH "hold_ms=10000"

/* Parts of the text of a job's record (src/bookkeeping/record_fields.h): the states done and
 * cancelled, and the number of tasks, which only a tombstone has. */
#define STATE_DONE "\"s\":1"
#define STATE_CANCELLED "\"s\":2"
#define ONE_TASK_TOMBSTONE "\"n\":1"

typedef struct {
  Cluster *cluster;
  int leader, other;
  ClusterWorker *worker;
} ControllerPair;

/* Starts two controllers, and a worker that has reported to the leader. */
static ControllerPair
controller_pair (void)
{
  ControllerPair pair = {.cluster = cluster_new_with_leader (2)};
  pair.leader = cluster_leader (pair.cluster);
  pair.other = 1 - pair.leader;
  pair.worker = cluster_worker (pair.cluster, "m-000001");
  cluster_send_heartbeat (pair.cluster, pair.worker, pair.leader);
  cluster_send_heartbeat (pair.cluster, pair.worker, pair.leader);
  return pair;
}

/* Checks that every controller answers with this state of the job. */
static void
assert_state_at_every_node (ControllerPair *pair, const char *id, const char *state)
{
  for (int i = 0; i < pair->cluster->n; i++)
    assert_string_equal (cluster_poll_state (pair->cluster, i, id), state);
}

/* Lets the leader lock expire, so that the other controller becomes the leader. The former leader's
 * reads, watches and lease renewals ("/touch") are held, so that it does not learn of this, until
 * the test releases them. */
static void
depose_unnoticed (ControllerPair *pair)
{
  cluster_hold (pair->cluster, pair->leader, READ, NULL);
  cluster_hold (pair->cluster, pair->leader, WATCH, NULL);
  cluster_hold (pair->cluster, pair->leader, "/touch", NULL);
  pair->cluster->exchange_statuses = FALSE;
  for (int i = 0; i < 200 && cluster_leader (pair->cluster) == pair->leader; i++)
    cluster_run (pair->cluster, 0.05);
  assert_int_equal (cluster_leader (pair->cluster), pair->other);
  cluster_run (pair->cluster, 0.5);
}

/* Lets every attempt of the write that contains `text` time out until the user's request is
 * answered. Held reads are answered with 503, so that the node cannot learn of the write from them.
 */
static void
lose_every_write (Cluster *cluster, int node, const char *text, guint64 request)
{
  cluster_hold (cluster, node, "/commit", text);
  for (int i = 0; i < 100 && !cluster_reply_status (cluster, node, request); i++) {
    ClusterCall *call = cluster_find_call (cluster, node, "/commit", text);
    ClusterCall *read_call = cluster_find_call (cluster, node, READ, NULL);
    if (call)
      cluster_lose (cluster, call);
    if (read_call && read_call->held)
      cluster_answer_with (cluster, read_call, 503, "{}");
    cluster_run (cluster, 0.05);
  }
}

/* ---- writes that are carried out at once and whose answer is lost ---- */

static void
a_submission_without_answer_is_known_everywhere (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (2);
  ControllerPair pair = {cluster, cluster_leader (cluster), 1 - cluster_leader (cluster),
                         NULL}; /* no machine: the job waits */
  cluster_hold (cluster, pair.other, "/commit", NULL);
  guint64 id = cluster_submit (cluster, pair.other, "job-a", 1);
  cluster_tick (cluster, 0.05);
  ClusterCall *write = cluster_find_call (cluster, pair.other, "/commit", "job-a");
  cluster_carry_out (cluster, write);
  cluster_release (cluster);
  write->held = TRUE;
  assert_state_at_every_node (&pair, "job-a", "queued");
  cluster_hold (cluster, pair.other, READ, NULL); /* else the node reads the record at once */
  cluster_lose (cluster, write);
  lose_every_write (cluster, pair.other, "job-a", id);
  assert_int_equal (cluster_reply_status (cluster, pair.other, id), 503);
  cluster_release (cluster);
  cluster_run (cluster, 1.5);
  id = cluster_submit (cluster, pair.other, "job-a", 1);
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, pair.other, id), 200);
  assert_string_equal (cluster_job_state (cluster, pair.other, id), "queued");
  cluster_free (pair.cluster);
}

/* The submission is repeated at the same node before that node has read the record. The write's
 * condition that no record exists fails, and the node answers with the recorded job. */
static void
a_submission_without_answer_is_repeated (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_hold (cluster, pair.other, "/commit", NULL);
  cluster_hold (cluster, pair.other, READ, NULL);
  cluster_hold (cluster, pair.other, WATCH, NULL);
  guint64 id = cluster_submit (cluster, pair.other, "job-a", 1);
  cluster_tick (cluster, 0.05);
  ClusterCall *write = cluster_find_call (cluster, pair.other, "/commit", "job-a");
  cluster_carry_out (cluster, write);
  guint64 revision = cluster_key_revision (cluster, "h/j/job-a");
  lose_every_write (cluster, pair.other, "job-a", id);
  assert_int_equal (cluster_reply_status (cluster, pair.other, id), 503);
  guint64 cancel_request = cluster_cancel (cluster, pair.leader, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, pair.leader, cancel_request), "withdrawn");
  id = cluster_submit (cluster, pair.other, "job-a", 2);
  cluster_tick (cluster, 0.05);
  write = cluster_find_call (cluster, pair.other, "/commit", "job-a");
  assert_non_null (write); /* the node knows no record and writes */
  cluster_answer (cluster, write);
  assert_int_equal (cluster_reply_status (cluster, pair.other, id), 0);
  cluster_release (cluster);
  cluster_run (cluster, 0.3);
  assert_int_equal (cluster_reply_status (cluster, pair.other, id), 200);
  assert_string_equal (cluster_job_state (cluster, pair.other, id), "withdrawn");
  assert_true (cluster_key_revision (cluster, "h/j/job-a") > revision);
  cluster_free (cluster);
}

static void
a_cancellation_without_answer_is_known_everywhere (void **state G_GNUC_UNUSED)
{
  for (int at_leader = 0; at_leader < 2; at_leader++) {
    ControllerPair pair = controller_pair ();
    Cluster *cluster = pair.cluster;
    int node = at_leader ? pair.leader : pair.other;
    cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
    cluster_hold (cluster, node, "/commit", STATE_CANCELLED);
    guint64 id = cluster_cancel (cluster, node, "job-a");
    cluster_run (cluster, 0.3);
    ClusterCall *write = cluster_find_call (cluster, node, "/commit", STATE_CANCELLED);
    assert_non_null (write);
    cluster_carry_out (cluster, write);
    cluster_release (cluster);
    write->held = TRUE;
    assert_state_at_every_node (&pair, "job-a", "withdrawn");
    cluster_hold (cluster, node, READ, NULL);
    cluster_lose (cluster, write);
    lose_every_write (cluster, node, STATE_CANCELLED, id);
    assert_int_equal (cluster_reply_status (cluster, node, id), 503);
    cluster_release (cluster);
    cluster_run (cluster, 1.5);
    id = cluster_cancel (cluster, node, "job-a");
    cluster_run (cluster, 0.3);
    assert_string_equal (cluster_job_state (cluster, node, id), "withdrawn");
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    assert_false (cluster_worker_runs (pair.worker, "job-a"));
    cluster_free (cluster);
  }
}

/* A write whose answer is lost is sent again, and the user is answered within half a second. */
static void
a_lost_answer_delays_the_user_by_less_than_half_a_second (void **state G_GNUC_UNUSED)
{
  static const char *const wanted[] = {"queued", "withdrawn"};
  for (int carried_out = 0; carried_out < 2; carried_out++) {
    Cluster *cluster = cluster_new_with_leader (2);
    int node = 1 - cluster_leader (cluster);
    for (int cancels = 0; cancels < 2; cancels++) {
      cluster_hold (cluster, node, "/commit", NULL);
      guint64 id = cancels ? cluster_cancel (cluster, node, "job-a")
                           : cluster_submit (cluster, node, "job-a", 1);
      cluster_run (cluster, 0.1);
      ClusterCall *write = cluster_find_call (cluster, node, "/commit", "job-a");
      assert_non_null (write);
      assert_true (write->timeout < 0.21);
      if (carried_out)
        cluster_carry_out (cluster, write);
      guint64 revision = cluster_key_revision (cluster, "h/j/job-a");
      /* After a write that was carried out, further writes stay held: only a read shows the record.
       */
      if (!carried_out)
        cluster_release (cluster);
      ClusterCall *late = cluster_delay (cluster, write);
      cluster_run (cluster, 0.15);
      assert_string_equal (cluster_job_state (cluster, node, id), wanted[cancels]);
      if (carried_out && !cancels) /* the leader's tombstone follows a cancellation */
        assert_int_equal (cluster_key_revision (cluster, "h/j/job-a"), revision);
      assert_int_equal (cluster_carry_out_delayed (cluster, late), 409);
      assert_string_equal (cluster_poll_state (cluster, node, "job-a"), wanted[cancels]);
      cluster_release (cluster);
    }
    cluster_free (cluster);
  }
}

/* The answer to the write of an assignment is lost. The leader launches the task once it has read
 * the record, and writes the assignment only once. */
static void
an_assignment_without_answer_is_launched_once (void **state G_GNUC_UNUSED)
{
  for (int by_read = 0; by_read < 2; by_read++) {
    ControllerPair pair = controller_pair ();
    Cluster *cluster = pair.cluster;
    cluster_hold (cluster, pair.leader, "/commit", "m-000001");
    if (!by_read) {
      cluster_hold (cluster, pair.leader, READ, NULL);
      cluster_hold (cluster, pair.leader, WATCH, NULL);
    }
    cluster_submit (cluster, pair.leader, "job-a", 1);
    cluster_run (cluster, 0.5);
    ClusterCall *write = cluster_find_call (cluster, pair.leader, "/commit", "m-000001");
    assert_non_null (write);
    cluster_carry_out (cluster, write);
    guint64 revision = cluster_key_revision (cluster, "h/j/job-a");
    cluster_run (cluster, 0.5);
    if (by_read) /* the leader has read its own write tag */
      assert_true (cluster_worker_runs (pair.worker, "job-a"));
    else
      assert_false (cluster_worker_runs (pair.worker, "job-a"));
    cluster_lose (cluster, write);
    if (!by_read) { /* sent again and refused: the leader reads before it writes again */
      cluster_run (cluster, 0.2);
      write = cluster_find_call (cluster, pair.leader, "/commit", "m-000001");
      assert_non_null (write);
      cluster_answer (cluster, write);
      cluster_run (cluster, 0.5);
      assert_null (cluster_find_call (cluster, pair.leader, "/commit", "m-000001"));
    }
    cluster_release (cluster);
    cluster_run (cluster, 1);
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    assert_true (cluster_worker_runs (pair.worker, "job-a"));
    assert_int_equal (pair.worker->tasks->len, 1);
    assert_int_equal (cluster_key_revision (cluster, "h/j/job-a"), revision);
    cluster_free (cluster);
  }
}

/* The answer to the write of a finished job's tombstone is lost. Users get the state "done" as soon
 * as the tombstone is read, and it is written only once. */
static void
a_tombstone_without_answer_is_reported (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
  cluster_hold (cluster, pair.leader, "/commit", STATE_DONE);
  cluster_worker_exit_tasks (pair.worker, "done");
  cluster_send_heartbeat (cluster, pair.worker, pair.leader);
  cluster_run (cluster, 0.5);
  ClusterCall *write = cluster_find_call (cluster, pair.leader, "/commit", STATE_DONE);
  assert_non_null (write);
  for (int i = 0; i < 2; i++) /* the job is done in the leader's memory only */
    assert_string_not_equal (cluster_poll_state (cluster, i, "job-a"), "done");
  cluster_carry_out (cluster, write);
  guint64 revision = cluster_key_revision (cluster, "h/j/job-a");
  assert_string_equal (cluster_poll_state (cluster, pair.other, "job-a"), "done");
  assert_string_equal (cluster_poll_state (cluster, pair.leader, "job-a"), "done");
  cluster_lose (cluster, write);
  cluster_release (cluster);
  cluster_run (cluster, 1);
  assert_state_at_every_node (&pair, "job-a", "done");
  assert_int_equal (cluster_key_revision (cluster, "h/j/job-a"), revision);
  cluster_free (cluster);
}

/* The answer to the write of the leader record is lost: a read tells the candidate the result. */
static void
an_election_without_answer_is_decided_by_a_read (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new (2);
  cluster_hold (cluster, 0, "/commit", "h/leader");
  cluster_hold (cluster, 1, "/commit", "h/leader");
  for (int i = 0; i < 100 && !cluster_find_call (cluster, 0, "/commit", "h/leader"); i++)
    cluster_run (cluster, 0.05);
  ClusterCall *write = cluster_find_call (cluster, 0, "/commit", "h/leader");
  assert_non_null (write);
  cluster_carry_out (cluster, write);
  cluster_run (cluster, 0.2);
  cluster_lose (cluster, write);
  cluster_release (cluster);
  cluster_run (cluster, 3);
  assert_int_equal (cluster_leader (cluster), 0);
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  assert_int_equal (cluster_send_heartbeat (cluster, worker, 0), 200);
  assert_int_equal (cluster_send_heartbeat (cluster, worker, 1), 421);
  cluster_free (cluster);
}

/* ---- writes that are carried out late, after newer ones of the same controller ---- */

/* The write of a submission whose answer was lost arrives after the job is over. */
static void
a_late_submission_does_not_recreate_a_finished_job (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_hold (cluster, pair.other, "/commit", NULL);
  cluster_submit (cluster, pair.other, "job-a", 1);
  cluster_tick (cluster, 0.05);
  ClusterCall *late =
      cluster_delay (cluster, cluster_find_call (cluster, pair.other, "/commit", "job-a"));
  cluster_release (cluster);
  /* Recorded by the next attempt and by the repeated submission. */
  cluster_submit_and_start (cluster, pair.worker, pair.other, "job-a");
  cluster_worker_exit_tasks (pair.worker, "done");
  cluster_send_heartbeat (cluster, pair.worker, pair.leader);
  cluster_run (cluster, 1);
  assert_state_at_every_node (&pair, "job-a", "done");
  assert_int_equal (cluster_carry_out_delayed (cluster, late), 409);
  cluster_run (cluster, 1);
  assert_state_at_every_node (&pair, "job-a", "done");
  cluster_free (cluster);
}

/* The write of an unconfirmed cancellation arrives after the job is done. */
static void
a_late_cancellation_does_not_change_a_finished_job (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
  cluster_hold (cluster, pair.other, "/commit", NULL);
  guint64 id = cluster_cancel (cluster, pair.other, "job-a");
  cluster_run (cluster, 0.3);
  ClusterCall *late =
      cluster_delay (cluster, cluster_find_call (cluster, pair.other, "/commit", "job-a"));
  lose_every_write (cluster, pair.other, "job-a", id);
  assert_int_equal (cluster_reply_status (cluster, pair.other, id), 503);
  cluster_release (cluster);
  cluster_worker_exit_tasks (pair.worker, "done");
  cluster_send_heartbeat (cluster, pair.worker, pair.leader);
  cluster_run (cluster, 1);
  assert_state_at_every_node (&pair, "job-a", "done");
  assert_int_equal (cluster_carry_out_delayed (cluster, late), 409);
  cluster_run (cluster, 1);
  assert_state_at_every_node (&pair, "job-a", "done");
  cluster_free (cluster);
}

/* The write of an assignment arrives after another controller became the leader: the assignment is
 * neither recorded nor launched. */
static void
a_late_assignment_of_a_former_leader_fails (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_hold (cluster, pair.leader, "/commit", "m-000001");
  cluster_submit (cluster, pair.leader, "job-a", 1);
  cluster_run (cluster, 0.5);
  ClusterCall *write = cluster_find_call (cluster, pair.leader, "/commit", "m-000001");
  assert_non_null (write);
  depose_unnoticed (&pair);
  guint64 revision = cluster_key_revision (cluster, "h/j/job-a");
  cluster_carry_out (cluster, write);
  assert_int_equal (write->status, 409);
  assert_int_equal (cluster_key_revision (cluster, "h/j/job-a"), revision);
  cluster_free (cluster);
}

/* A former leader's tombstone arrives after the job was cancelled under the next leader. */
static void
a_late_tombstone_of_a_former_leader_fails (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
  cluster_hold (cluster, pair.leader, "/commit", STATE_DONE);
  cluster_worker_exit_tasks (pair.worker, "done");
  cluster_send_heartbeat (cluster, pair.worker, pair.leader);
  cluster_run (cluster, 0.5);
  ClusterCall *write = cluster_find_call (cluster, pair.leader, "/commit", STATE_DONE);
  assert_non_null (write);
  depose_unnoticed (&pair);
  guint64 cancel_request = cluster_cancel (cluster, pair.other, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, pair.other, cancel_request), "withdrawn");
  cluster_carry_out (cluster, write);
  assert_int_equal (write->status, 409);
  cluster_release (cluster);
  cluster->exchange_statuses = TRUE;
  cluster_run (cluster, 2);
  assert_state_at_every_node (&pair, "job-a", "withdrawn");
  cluster_free (cluster);
}

/* A candidate's write of the leader lock and the leader record arrives late: after a newer write
 * has made the candidate the leader, and after the lease of the leader lock has expired, when no
 * controller leads. */
static void
a_late_election_changes_nothing (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  /* The other controller stands for election, and its write is delayed. The leader lock expires,
   * the controller stands again, and that write is delayed as well. */
  cluster_hold (cluster, pair.leader, "/touch", NULL);
  cluster_hold (cluster, pair.leader, "/commit", "h/leader");
  cluster_hold (cluster, pair.other, "/commit", "h/leader");
  for (int i = 0; i < 200 && !cluster_find_call (cluster, pair.other, "/commit", "h/leader"); i++)
    cluster_run (cluster, 0.05);
  ClusterCall *late =
      cluster_delay (cluster, cluster_find_call (cluster, pair.other, "/commit", "h/leader"));
  for (int i = 0; i < 200 && !cluster_find_call (cluster, pair.other, "/commit", "h/leader"); i++)
    cluster_run (cluster, 0.05);
  ClusterCall *later =
      cluster_delay (cluster, cluster_find_call (cluster, pair.other, "/commit", "h/leader"));
  cluster_release (cluster);
  for (int i = 0; i < 200 && cluster_leader (cluster) != pair.other; i++)
    cluster_run (cluster, 0.05);
  guint64 map = cluster_key_revision (cluster, "h/map");
  assert_int_equal (cluster_carry_out_delayed (cluster, late), 409);
  assert_int_equal (cluster_key_revision (cluster, "h/map"), map);
  /* The process ends, its lease expires, and then its write arrives. */
  cluster_stop_node (cluster, pair.other);
  cluster_hold (cluster, pair.leader, "/commit", "h/leader");
  cluster_run (cluster, 10);
  assert_null (cluster_value (cluster, "h/leader"));
  /* 400: the lease that the write names no longer exists. */
  assert_int_equal (cluster_carry_out_delayed (cluster, later), 400);
  assert_null (cluster_value (cluster, "h/leader"));
  cluster_free (cluster);
}

/* ---- a cancellation concurrent with the end of the last task ---- */

/* Both writes are in flight. The one that is carried out first decides the answer of every node. */
static void
a_cancellation_is_concurrent_with_the_end (void **state G_GNUC_UNUSED)
{
  for (int variant = 0; variant < 4; variant++) {
    gboolean at_leader = variant & 1, end_first = variant & 2;
    ControllerPair pair = controller_pair ();
    Cluster *cluster = pair.cluster;
    int node = at_leader ? pair.leader : pair.other;
    cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
    cluster_hold (cluster, pair.leader, "/commit", STATE_DONE);
    cluster_hold (cluster, node, "/commit", STATE_CANCELLED);
    cluster_worker_exit_tasks (pair.worker, "done");
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    guint64 cancel_request = cluster_cancel (cluster, node, "job-a");
    cluster_run (cluster, 0.5);
    ClusterCall *end = cluster_find_call (cluster, pair.leader, "/commit", STATE_DONE);
    ClusterCall *cancellation = cluster_find_call (cluster, node, "/commit", STATE_CANCELLED);
    assert_non_null (end);
    assert_non_null (cancellation);
    cluster_carry_out (cluster, end_first ? end : cancellation);
    cluster_carry_out (cluster, end_first ? cancellation : end);
    assert_int_equal (end_first ? cancellation->status : end->status, 409);
    guint64 poll = cluster_poll (cluster, pair.other, "job-a"),
            again = cluster_submit (cluster, node, "job-a", 1);
    cluster_run (cluster, 0.3);
    const char *job_state = end_first ? "done" : "withdrawn";
    assert_string_equal (cluster_job_state (cluster, pair.other, poll), job_state);
    assert_string_equal (cluster_job_state (cluster, node, again), job_state);
    cluster_answer (cluster, end);
    cluster_answer (cluster, cancellation);
    cluster_release (cluster);
    cluster_run (cluster, 1);
    assert_string_equal (cluster_job_state (cluster, node, cancel_request), job_state);
    assert_state_at_every_node (&pair, "job-a", job_state);
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    cluster_run (cluster, 1);
    assert_state_at_every_node (&pair, "job-a", job_state);
    cluster_free (cluster);
  }
}

/* Without faults, the tasks are stopped whichever controller confirmed the cancellation. */
static void
a_cancellation_stops_the_tasks (void **state G_GNUC_UNUSED)
{
  for (int at_leader = 0; at_leader < 2; at_leader++) {
    ControllerPair pair = controller_pair ();
    Cluster *cluster = pair.cluster;
    int node = at_leader ? pair.leader : pair.other;
    cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
    guint64 cancel_request = cluster_cancel (cluster, node, "job-a");
    cluster_run (cluster, 0.5);
    assert_string_equal (cluster_job_state (cluster, node, cancel_request), "withdrawn");
    assert_false (cluster_worker_runs (pair.worker, "job-a"));
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    cluster_send_heartbeat (cluster, pair.worker, pair.leader);
    cluster_run (cluster, 1);
    assert_non_null (strstr (cluster_value (cluster, "h/j/job-a"), ONE_TASK_TOMBSTONE));
    cluster_free (cluster);
  }
}

/* ---- change of leader ---- */

/* A former leader that has not learned of the new one confirms a cancellation: the new leader stops
 * the tasks. */
static void
a_former_leader_confirms_a_cancellation (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  cluster_submit_and_start (cluster, pair.worker, pair.leader, "job-a");
  depose_unnoticed (&pair);
  assert_int_equal (cluster_send_heartbeat (cluster, pair.worker, pair.other), 200);
  assert_int_equal (cluster_send_heartbeat (cluster, pair.worker, pair.other), 200);
  assert_true (cluster_worker_runs (pair.worker, "job-a"));
  guint64 cancel_request = cluster_cancel (cluster, pair.leader, "job-a");
  /* The former leader's read does not return the new leader record. */
  cluster_tick (cluster, 0.05);
  ClusterCall *read_call = cluster_find_call (cluster, pair.leader, READ, NULL);
  g_autofree char *nothing = g_strdup_printf ("{\"epoch\":0,\"log\":[]}");
  cluster_answer_with (cluster, read_call, 200, nothing);
  cluster_run (cluster, 0.3);
  if (!cluster_reply_status (cluster, pair.leader, cancel_request)) {
    cluster_tick (cluster, 0.05);
    cluster_answer_with (cluster, cluster_find_call (cluster, pair.leader, READ, NULL), 200,
                         nothing);
    cluster_run (cluster, 0.3);
  }
  assert_string_equal (cluster_job_state (cluster, pair.leader, cancel_request), "withdrawn");
  cluster_run (cluster, 0.5);
  cluster_send_heartbeat (cluster, pair.worker, pair.other);
  assert_false (cluster_worker_runs (pair.worker, "job-a"));
  cluster->exchange_statuses = TRUE;
  cluster_release (cluster);
  cluster_run (cluster, 2);
  assert_state_at_every_node (&pair, "job-a", "withdrawn");
  cluster_free (cluster);
}

/* The cancellation is confirmed after the write of the leader record and before the new leader has
 * read that. */
static void
a_cancellation_during_a_change_of_leader_is_carried_out (void **state G_GNUC_UNUSED)
{
  Cluster *cluster = cluster_new_with_leader (3);
  int old = cluster_leader (cluster);
  ClusterWorker *worker = cluster_worker (cluster, "m-000001");
  cluster_send_heartbeat (cluster, worker, old);
  cluster_send_heartbeat (cluster, worker, old);
  cluster_submit_and_start (cluster, worker, old, "job-a");
  for (int i = 0; i < 3; i++)
    cluster_hold (cluster, i, "/commit", "h/leader");
  cluster_stop_node (cluster, old);
  int next = -1;
  for (int i = 0; i < 400 && next < 0; i++) {
    cluster_run (cluster, 0.05);
    for (int k = 0; k < 3; k++)
      if (k != old && cluster_find_call (cluster, k, "/commit", "h/leader"))
        next = k;
  }
  int third = 3 - old - next;
  cluster_hold (cluster, next, READ, NULL);
  cluster_hold (cluster, next, WATCH, NULL);
  ClusterCall *write = cluster_find_call (cluster, next, "/commit", "h/leader");
  cluster_carry_out (cluster, write);
  guint64 cancel_request = cluster_cancel (cluster, third, "job-a");
  cluster_run (cluster, 0.3);
  assert_string_equal (cluster_job_state (cluster, third, cancel_request), "withdrawn");
  cluster_answer (cluster, write);
  cluster_release (cluster);
  cluster_run (cluster, 1);
  assert_int_equal (cluster_leader (cluster), next);
  for (int i = 0; i < 3; i++)
    cluster_send_heartbeat (cluster, worker, next);
  assert_false (cluster_worker_runs (worker, "job-a"));
  cluster_run (cluster, 1);
  assert_string_equal (cluster_poll_state (cluster, next, "job-a"), "withdrawn");
  cluster_free (cluster);
}

/* The changes since the leader's last read are discarded. The leader reads the whole store again
 * and no longer knows which of its orders are in flight. The worker's heartbeat lacks the task,
 * which is placed again, so the old order has to be rejected when it arrives. */
static void
a_leader_that_rereads_the_store_invalidates_its_orders (void **state G_GNUC_UNUSED)
{
  ControllerPair pair = controller_pair ();
  Cluster *cluster = pair.cluster;
  ClusterWorker *other = cluster_worker (cluster, "m-000002");
  cluster_hold (cluster, pair.leader, "/do", NULL);
  cluster_submit (cluster, pair.other, "job-a", 1);
  cluster_run (cluster, 0.5);
  ClusterCall *order = cluster_find_call (cluster, pair.leader, "/do", "job-a");
  assert_non_null (order); /* still in flight */
  cluster_hold (cluster, pair.leader, READ, NULL);
  cluster_hold (cluster, pair.leader, WATCH, NULL);
  cluster_tick (cluster, 1.1);
  cluster_submit (cluster, pair.other, "job-b", 1); /* a change that the leader misses */
  cluster_serve (cluster);
  cluster_compact_changes (cluster);
  cluster_answer (cluster, cluster_find_call (cluster, pair.leader, READ, NULL));
  cluster_release (cluster);
  order->held = TRUE;
  for (int i = 0; i < 40; i++) {
    cluster_run (cluster, 0.5);
    int leader = cluster_leader (cluster);
    if (cluster_send_heartbeat (cluster, pair.worker, leader) == 200 && i > 2)
      cluster_send_heartbeat (cluster, other, leader);
  }
  assert_true (cluster_worker_runs (pair.worker, "job-a") || cluster_worker_runs (other, "job-a"));
  assert_int_equal (cluster_deliver_direct_call (pair.worker, order), 409);
  cluster_free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
      cmocka_unit_test (a_submission_without_answer_is_known_everywhere),
      cmocka_unit_test (a_submission_without_answer_is_repeated),
      cmocka_unit_test (a_cancellation_without_answer_is_known_everywhere),
      cmocka_unit_test (a_lost_answer_delays_the_user_by_less_than_half_a_second),
      cmocka_unit_test (an_assignment_without_answer_is_launched_once),
      cmocka_unit_test (a_tombstone_without_answer_is_reported),
      cmocka_unit_test (an_election_without_answer_is_decided_by_a_read),
      cmocka_unit_test (a_late_submission_does_not_recreate_a_finished_job),
      cmocka_unit_test (a_late_cancellation_does_not_change_a_finished_job),
      cmocka_unit_test (a_late_assignment_of_a_former_leader_fails),
      cmocka_unit_test (a_late_tombstone_of_a_former_leader_fails),
      cmocka_unit_test (a_late_election_changes_nothing),
      cmocka_unit_test (a_cancellation_is_concurrent_with_the_end),
      cmocka_unit_test (a_cancellation_stops_the_tasks),
      cmocka_unit_test (a_former_leader_confirms_a_cancellation),
      cmocka_unit_test (a_cancellation_during_a_change_of_leader_is_carried_out),
      cmocka_unit_test (a_leader_that_rereads_the_store_invalidates_its_orders),
  };
  g_log_set_writer_func (cluster_log_writer, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
